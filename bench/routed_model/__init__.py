"""Entry hosts of routed requests over modelled searchers, in virtual time."""
