"""Timing of hedges."""

# A hedge sent less than this many median latencies before the end is rarely
# answered in time.
HEDGE_MEDIANS = 2.7
# Once more than this share of the budget is used, hedges are sent only for
# requests that would otherwise miss the minimum coverage.
SCARCE_USED_SHARE = 0.5
# An exhausted budget is checked again after this many median latencies. Other
# requests may add to it at any time, and a hedge loses value with each millisecond,
# so the hedge delay would be too long an interval.
RECHECK_MEDIANS = 0.3


def hedge_time(latency, used_share, finish_at, now):
    """Returns when to hedge a sub-request that is sent now.

    The delay is the 95th percentile latency. If more than half of the extra-load
    budget is used, it is longer, up to the last useful time: a scarce budget is
    kept for the slowest sub-requests, which can be identified only late.
    """
    early = now + latency.p95_s
    latest = finish_at - HEDGE_MEDIANS * latency.median_s
    if latest <= early:
        return max(latest, now + HEDGE_MEDIANS * latency.median_s)
    if used_share <= SCARCE_USED_SHARE:
        return early
    scarcity = (used_share - SCARCE_USED_SHARE) / (1 - SCARCE_USED_SHARE)
    return early + (latest - early) * scarcity


def hedges_needed(parts, spare):
    """Returns how many hedges the minimum coverage may need, at least 1.

    ``spare`` is the number of documents that may remain unanswered. A scarce
    budget is used only for requests whose missing partitions can all be hedged:
    a hedge is wasted if another missing partition of the request gets none.
    """
    needed = 0
    for part in parts:
        if part.result is None and not part.given_up and part.may_run_again():
            if part.view.documents <= spare:
                spare -= part.view.documents
            else:
                needed += 1
    return max(1, needed)
