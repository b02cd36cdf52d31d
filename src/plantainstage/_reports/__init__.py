"""Minute records and the report on service-level burn."""
