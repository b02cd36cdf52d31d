"""A soak test of routed requests with real processes; see run_soak.py."""
