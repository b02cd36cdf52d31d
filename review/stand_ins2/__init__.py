"""Stand-ins of the second review: platform, operator, searchers and clients."""
