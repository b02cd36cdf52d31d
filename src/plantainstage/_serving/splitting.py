"""Divides the requests of a route among services by weight."""

from collections.abc import Sequence

from plantainstage._serving.configuration import Share

START_POSITIONS = 64  # of the sequence, to which a phase moves


class WeightedRoundRobin:
    """Smooth weighted round-robin.

    The number of requests of each service stays within one of its share, or within two
    with a ``phase``. The phase, from 0 to 1, is where in the sequence of services the
    first request starts, so that many hosts with a few requests each divide them by
    weight, too.
    """

    def __init__(self, *, shares: Sequence[Share], phase: float = 0.0):
        self.all_shares = tuple(shares)
        self.shares = [share for share in shares if share.weight > 0]
        self.total = sum(share.weight for share in self.shares)
        self.credits = [0.0] * len(self.shares)
        for _ in range(int(phase * START_POSITIONS)):
            self.next()

    def next(self) -> str:
        """Returns the service of the next request."""
        for index, share in enumerate(self.shares):
            self.credits[index] += share.weight
        chosen = max(range(len(self.shares)), key=self.credits.__getitem__)
        self.credits[chosen] -= self.total
        return self.shares[chosen].service
