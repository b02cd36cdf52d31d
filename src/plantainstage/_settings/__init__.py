"""One validated, immutable settings object for each program."""
