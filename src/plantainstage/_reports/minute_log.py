"""Writes closed minutes to the log, one JSON line for each minute."""

import msgspec
from loguru import logger

MINUTE_EVENT = "minute closed"


def log_minute(minute):
    """Logs one HostMinute; ``plantainstage-burn --log`` reads the line.

    The value is encoded here, so that the log's limits on field sizes leave it
    whole.
    """
    logger.info(MINUTE_EVENT, minute=msgspec.Raw(msgspec.json.encode(minute)))


def log_due_minutes(recorder, *, now):
    """Logs the minutes that have passed since the last call."""
    for minute in recorder.close_due(now=now):
        log_minute(minute)


def log_all_minutes(recorder, *, now):
    """Logs the open minute too, as incomplete; for a planned stop."""
    for minute in recorder.close_all(now=now):
        log_minute(minute)
