"""Tasks of the control process."""
