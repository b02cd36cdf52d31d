"""Control of routed requests: the configuration and the announced searchers."""
