"""A discrete-event model of entry hosts and searchers, in virtual time."""
