"""When a hedge is sent."""

# A hedge that is sent less than this many median latencies before the end
# rarely answers in time.
HEDGE_MEDIANS = 2.7
# Beyond this used share of the budget, hedges go only to requests that would
# otherwise miss the minimum coverage.
SCARCE_USED_SHARE = 0.5
# Room in a full budget comes from other requests, and a hedge loses value with
# each millisecond; the learnt delay would be too long a wait.
RECHECK_MEDIANS = 0.3


def hedge_time(latency, used_share, finish_at, now):
    """Returns when to hedge a sub-request that is sent now.

    The learnt delay, moved towards the last useful moment when more than half
    of the extra-load budget is used: a scarce budget goes to the slowest
    sub-requests, and those are known only late.
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

    ``spare`` is the number of documents that may stay unanswered. A scarce
    budget is given only to requests whose missing partitions it can all serve:
    a hedge is lost if another missing partition of its request gets none.
    """
    needed = 0
    for part in parts:
        if part.result is None and not part.given_up and part.may_run_again():
            if part.view.documents <= spare:
                spare -= part.view.documents
            else:
                needed += 1
    return max(1, needed)
