"""The control process: its replica, peer links and request handlers."""
