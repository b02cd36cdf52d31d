"""Links between processes and connections to searchers."""
