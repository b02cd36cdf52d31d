"""Running exchanges that have had no byte for too long (section 7.10)."""

import math


def mark(exchanges, threshold_s, now):
    """Marks exchanges without a byte; returns whether any was marked now."""
    marked = False
    for exchange in exchanges:
        if exchange.got_byte or exchange.suspect:
            continue
        if now >= exchange.started_at + threshold_s:
            exchange.suspect = marked = True
    return marked


def silent(exchanges):
    """Returns the exchanges that were marked and still have no byte."""
    return [item for item in exchanges if item.suspect and not item.got_byte]


def next_at(exchanges, threshold_s):
    """Returns when the next exchange becomes suspect, or infinity.

    ``exchanges`` are in the order of their start, so that the first one that
    waits for a byte is the next due.
    """
    for exchange in exchanges:
        if not (exchange.got_byte or exchange.suspect):
            return exchange.started_at + threshold_s
    return math.inf
