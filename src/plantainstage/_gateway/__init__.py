"""The entry host for routed requests, which it sends directly to searchers."""
