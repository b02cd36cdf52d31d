"""Writes closed minutes to the log, one JSON line for each minute."""

import msgspec
from loguru import logger

MINUTE_EVENT = "minute closed"


def log_minute(minute):
    """Logs one HostMinute; ``plantainstage-burn --log`` reads the line.

    The value is encoded here, since the log shortens large fields but passes
    encoded JSON unchanged.
    """
    logger.info(MINUTE_EVENT, minute=msgspec.Raw(msgspec.json.encode(minute)))


def log_due_minutes(recorder, *, now):
    """Logs the minutes that were closed since the last call."""
    for minute in recorder.close_due(now=now):
        log_minute(minute)


def log_all_minutes(recorder, *, now):
    """Also logs the open minute, as incomplete, for a planned stop."""
    for minute in recorder.close_all(now=now):
        log_minute(minute)
