"""Slots, extra-load budgets, admission and quarantines."""
