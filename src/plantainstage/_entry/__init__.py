"""Tasks of the entry process."""
