"""The whole tier as real processes under load, for ``bench/tier_load.py``."""
