"""Random fault injection against a tier of real processes; see run_chaos.py."""
