"""The replicated state machine, and what its leader derives from the state."""
