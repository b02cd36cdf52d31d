"""A query tier over many shards that meets named latency and coverage profiles."""

__version__ = "0.1.0"
