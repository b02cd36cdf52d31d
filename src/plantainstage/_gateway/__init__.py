"""The tasks of an entry host that sends routed requests straight to searchers."""
