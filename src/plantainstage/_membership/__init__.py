"""The replicated state machine and what a leader derives from it."""
