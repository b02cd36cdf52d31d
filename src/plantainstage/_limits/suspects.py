"""Finds exchanges without a byte for too long (docs/design.md, section 7.10)."""

import math

from plantainstage._limits.actions import ProbeSearcher
from plantainstage._limits.silence import PROBE_TIMEOUT_S

# A sub-request that the searcher reports as running becomes suspect again after this
# multiple of its run time so far, so that a long one causes few probes.
CHECK_AGAIN_FACTOR = 2.0


def mark(exchanges, threshold_s, now):
    """Marks exchanges without a byte as suspect; returns whether any was marked."""
    marked = False
    for exchange in exchanges:
        if exchange.got_byte or exchange.suspect:
            continue
        if now >= _suspect_at(exchange, threshold_s):
            exchange.suspect = marked = True
    return marked


def silent(exchanges):
    """Returns the suspect exchanges that still have received no byte."""
    return [item for item in exchanges if item.suspect and not item.got_byte]


def next_suspect_at(exchanges, threshold_s):
    """Returns when the next exchange becomes suspect, or infinity.

    ``exchanges`` are in order of their start, so that none becomes suspect before
    the first one that has not been probed.
    """
    time = math.inf
    for exchange in exchanges:
        if not (exchange.got_byte or exchange.suspect):
            time = min(time, _suspect_at(exchange, threshold_s))
            if not exchange.check_after_s:
                break
    return time


def make_probe(exchanges, profile):
    """Returns a probe of these exchanges, charged to the profile's budget."""
    return ProbeSearcher(
        timeout_s=PROBE_TIMEOUT_S,
        profile=profile,
        sub_request_ids=tuple(
            item.queued.sub_request.sub_request_id for item in exchanges
        ),
    )


def resolve(exchanges, statuses, now):
    """Returns the suspect exchanges whose reply is lost; clears those still running.

    ``statuses`` maps the sub-requests of the probe to whether the searcher is
    running them. It is None if the searcher does not report this; every suspect
    exchange then counts as lost, since the searcher itself replied.
    """
    lost = []
    for exchange in silent(exchanges):
        key = exchange.queued.sub_request.sub_request_id
        runs = False if statuses is None else statuses.get(key)
        if runs:
            exchange.suspect = False
            exchange.check_after_s = CHECK_AGAIN_FACTOR * (now - exchange.started_at)
        elif runs is not None:
            lost.append(exchange)
    return lost


def _suspect_at(exchange, threshold_s):
    return exchange.started_at + max(threshold_s, exchange.check_after_s)
