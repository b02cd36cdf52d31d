"""The stand-in searcher for demos and tests; not part of the product."""
