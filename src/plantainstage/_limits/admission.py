"""Admission control at the entry host that receives a request.

Overload is measured by the wait in the owners' queues, smoothed per partition. As
this wait rises from a low to a high share of the request's remaining time, the
admitted share of requests falls from all to none. The admitted requests are divided
between the profiles in proportion to their weights (weighted max-min fairness).
"""

LOW_WAIT_SHARE = 0.15
HIGH_WAIT_SHARE = 0.45
# Without results queue lengths are not reported; queues drain within this time.
WAIT_DECAY_S = 0.2
REFRESH_S = 0.02
RATE_DECAY = 0.9  # per refresh; a time constant of about 200 ms
# Weight of a new sample in the moving average of the admitted rate. The average spans
# about 1 s, longer than the waits take to oscillate between the two ends of the range.
MEAN_RATE_GAIN = 0.02


class PartitionWait:
    """Smoothed wait for a slot at the searchers of one partition."""

    __slots__ = ("wait_s", "time")

    GAIN = 0.1

    def __init__(self):
        self.wait_s = 0.0
        self.time = 0.0

    def observe(self, wait_s, now):
        """Updates the estimate with the wait that a result reports."""
        self.wait_s += self.GAIN * (wait_s - self.wait_s)
        self.time = now

    def at(self, now):
        """Returns the wait in seconds, decaying while nothing is reported."""
        fade = 1 - (now - self.time) / WAIT_DECAY_S
        return self.wait_s * fade if fade > 0 else 0.0


class _ProfileLoad:
    __slots__ = ("weight", "rate", "arrivals", "admitted_share")

    def __init__(self):
        self.weight = 1
        self.rate = 0.0
        self.arrivals = 0
        self.admitted_share = 1.0


class HostAdmission:
    """Decides whether to admit a request or to refuse it without sending it.

    ``random`` returns numbers from 0 to 1. For example, if the wait is at the
    middle of the range, half of the offered requests are admitted. A profile that
    offers less than its weighted share has all of its requests admitted, even
    while a burst of another profile uses all capacity.
    """

    def __init__(self, *, random):
        self.random = random
        self.profiles = {}
        self.refreshed_at = float("-inf")
        self.overload = 0.0
        self.admitted = 0  # since the last refresh
        self.refreshes = 0
        self.mean_rate = 0.0  # moving average of the admitted rate; unit of load.rate

    def admits(self, *, profile, partitions, needed, remaining_s, now):
        """Whether to admit a request that needs this many documents to be answered."""
        load = self.profiles.get(profile.name)
        if load is None:
            load = self.profiles[profile.name] = _ProfileLoad()
        load.weight = profile.weight
        load.arrivals += 1
        if now - self.refreshed_at >= REFRESH_S:
            self.overload = overload_level(partitions, needed, remaining_s, now)
            self.refreshed_at = now
            self._update_shares()
        share = load.admitted_share
        admitted = share >= 1.0 or self.random() < share
        self.admitted += admitted
        return admitted

    def _update_shares(self):
        """Divides the admitted rate between the profiles by weight."""
        total = 0.0
        for load in self.profiles.values():
            load.rate = RATE_DECAY * load.rate + load.arrivals
            load.arrivals = 0
            total += load.rate
        admitted_rate = self.admitted / (1 - RATE_DECAY)
        self.admitted = 0
        # A plain mean at first, so that a new host does not average from zero.
        self.refreshes += 1
        gain = max(MEAN_RATE_GAIN, 1 / self.refreshes)
        self.mean_rate += gain * (admitted_rate - self.mean_rate)
        remaining = (1 - self.overload) * total
        mean_rate = self.mean_rate
        # The profile with the lowest demand relative to its weight is served first.
        by_demand = sorted(
            self.profiles.values(), key=lambda item: item.rate / item.weight
        )
        weights = sum(item.weight for item in by_demand)
        for load in by_demand:
            share = load.weight / weights
            granted = min(load.rate, remaining * share)
            # The profile with the highest demand relative to its weight causes the
            # long queues; refusing the others as well would not shorten them.
            if load is not by_demand[-1] and load.rate <= mean_rate * share:
                granted = load.rate
            remaining = max(0.0, remaining - granted)
            mean_rate = max(0.0, mean_rate - granted)
            weights -= load.weight
            load.admitted_share = granted / load.rate if load.rate else 1.0


def overload_level(partitions, needed, remaining_s, now):
    """Returns the overload, from 0 to 1, from the longest wait at a needed partition.

    Partitions with the longest waits are ignored as far as the minimum coverage
    allows it.
    """
    waits = sorted(
        ((item.wait.at(now), item.documents) for item in partitions), reverse=True
    )
    spare = sum(item.documents for item in partitions) - needed
    longest = 0.0
    for wait_s, documents in waits:
        spare -= documents
        if spare < 0:
            longest = wait_s
            break
    low = LOW_WAIT_SHARE * remaining_s
    high = HIGH_WAIT_SHARE * remaining_s
    return min(1.0, max(0.0, (longest - low) / (high - low)))
