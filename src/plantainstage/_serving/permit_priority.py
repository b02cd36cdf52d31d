"""Which requests may use the permits of rate-limited searchers, by priority.

While a service has only searchers that state a limit, its permits do not suffice for
all requests. First come, first served would favour requests that may leave out more
shards, whatever their priority. So a request uses permits only while requests of its
priority have been served no more often than each more urgent one. No priority gets
nothing: the less urgent ones follow the share of the more urgent ones.
"""

import math
from dataclasses import dataclass

# Requests count less with their age, so that the shares follow the load.
TIME_CONSTANT_S = 10.0


@dataclass(kw_only=True)
class _Counts:
    wanted: float = 0.0
    served: float = 0.0
    updated_at: float = 0.0

    @property
    def share(self):
        return self.served / self.wanted if self.wanted else 0.0

    def decay(self, now):
        factor = math.exp(-(now - self.updated_at) / TIME_CONSTANT_S)
        self.wanted *= factor
        self.served *= factor
        self.updated_at = now


class PermitPriority:
    """Requests for services with permits only, by priority; 0 is the most urgent.

    For example, once a request of priority 1 was turned away and one of priority 2 was
    served, the next one of priority 2 may not use permits::

        permits = PermitPriority()
        permits.record(1, served=False, now=0.0)
        permits.record(2, served=True, now=0.1)
        permits.may_use(2)      # False
    """

    def __init__(self):
        self.counts = {}  # priority -> _Counts

    def may_use(self, priority: int) -> bool:
        """Whether a request of this priority may use permits."""
        own = self.counts.get(priority, _Counts()).share
        return all(
            counts.share >= own
            for other, counts in self.counts.items()
            if other < priority
        )

    def record(self, priority: int, *, served: bool, now: float):
        """Records whether a request got what it needed, with permits or without."""
        counts = self.counts.setdefault(priority, _Counts(updated_at=now))
        counts.decay(now)
        counts.wanted += 1.0
        counts.served += served
