"""Parts of the stand-in searcher; not part of the product."""
