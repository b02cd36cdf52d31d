"""Control of routed requests: the configuration, and who announces itself."""
