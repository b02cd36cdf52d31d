"""When a hedge is sent."""

# A hedge that is sent less than this many median latencies before the end
# rarely answers in time.
HEDGE_MEDIANS = 2.3
# Beyond this used share of the budget, hedges go only to requests that would
# otherwise miss the minimum coverage.
SPARING_PRESSURE = 0.5


def hedge_time(delay, pressure, finish_at, now):
    """Returns when to hedge a sub-request that is sent now.

    The learnt delay, moved towards the last useful moment when more than half
    of the extra-load budget is used: a scarce budget goes to the slowest
    sub-requests, and those are known only late.
    """
    early = now + delay.value
    latest = finish_at - HEDGE_MEDIANS * delay.median
    if latest <= early:
        return max(latest, now + HEDGE_MEDIANS * delay.median)
    if pressure <= SPARING_PRESSURE:
        return early
    scarcity = (pressure - SPARING_PRESSURE) / (1 - SPARING_PRESSURE)
    return early + (latest - early) * scarcity
