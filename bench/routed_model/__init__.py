"""Simulates routed requests: real routers over modelled searchers, in virtual time."""
