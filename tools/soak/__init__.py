"""A randomised soak of routed requests with real processes; see run_soak.py."""
