"""A randomised run of faults against a tier of real processes."""
