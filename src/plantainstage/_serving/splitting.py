"""Divides the requests of a route among services by weight."""

from collections.abc import Sequence

from plantainstage._serving.configuration import Share


class WeightedRoundRobin:
    """Smooth weighted round-robin.

    The number of requests of each service stays within one of its share. ``phase``,
    from 0 to 1, shifts the first selection, so that hosts that start at the same time
    do not all begin with the same service.
    """

    def __init__(self, *, shares: Sequence[Share], phase: float = 0.0):
        self.shares = [share for share in shares if share.weight > 0]
        self.total = sum(share.weight for share in self.shares)
        self.credits = [share.weight * phase for share in self.shares]

    def next(self) -> str:
        """Returns the service of the next request."""
        for index, share in enumerate(self.shares):
            self.credits[index] += share.weight
        chosen = max(range(len(self.shares)), key=self.credits.__getitem__)
        self.credits[chosen] -= self.total
        return self.shares[chosen].service
