"""Decisions about routed requests: no sockets, no clock, no files."""
