"""The entry process, which takes callers' requests and owns searchers."""
