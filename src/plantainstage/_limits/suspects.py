"""Running exchanges that have had no byte for too long (section 7.10)."""

import math

from plantainstage._limits.actions import ProbeSearcher
from plantainstage._limits.silence import PROBE_TIMEOUT_S

# A sub-request that runs is asked about again after this many times the time that
# it has run, so that a long one costs few probes.
CHECK_AGAIN_FACTOR = 2.0


def mark(exchanges, threshold_s, now):
    """Marks exchanges without a byte; returns whether any was marked now."""
    marked = False
    for exchange in exchanges:
        if exchange.got_byte or exchange.suspect:
            continue
        if now >= _suspect_at(exchange, threshold_s):
            exchange.suspect = marked = True
    return marked


def silent(exchanges):
    """Returns the exchanges that were marked and still have no byte."""
    return [item for item in exchanges if item.suspect and not item.got_byte]


def next_suspect_at(exchanges, threshold_s):
    """Returns when the next exchange becomes suspect, or infinity.

    ``exchanges`` are in the order of their start, so that no later one is due
    before the first one that was not asked about.
    """
    time = math.inf
    for exchange in exchanges:
        if not (exchange.got_byte or exchange.suspect):
            time = min(time, _suspect_at(exchange, threshold_s))
            if not exchange.check_after_s:
                break
    return time


def probe_about(exchanges, profile):
    """Returns the probe that asks about these exchanges, at a profile's expense."""
    return ProbeSearcher(
        timeout_s=PROBE_TIMEOUT_S,
        profile=profile,
        sub_request_ids=tuple(
            item.queued.sub_request.sub_request_id for item in exchanges
        ),
    )


def resolve(exchanges, statuses, now):
    """Returns the suspects whose answer is lost; clears those that still run.

    ``statuses`` maps the sub-requests that the probe asked about to whether they
    run on the searcher. It is None when the searcher does not say; its reply then
    counts against every suspect.
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
