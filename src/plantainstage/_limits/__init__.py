"""Searcher slots, extra-load budgets, admission control and quarantines."""
