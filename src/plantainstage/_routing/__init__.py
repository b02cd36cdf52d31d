"""Snapshot and replica selection, hedging, and scatter-gather of requests."""
