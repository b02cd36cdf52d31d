"""Minute records, the report on service-level burn, and metrics."""
