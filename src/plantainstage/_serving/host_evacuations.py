"""Which data centres are evacuated at one entry host, and from when on."""

from collections.abc import Collection

from plantainstage._serving.spreading import spread_weight

# Over this time the hosts turn from an evacuated data centre to the others, so that
# their searchers get the additional requests little by little.
SPREAD_S = 2.0
_WEIGHTS = 2**32


class HostEvacuations:
    """The evacuations that a host has heard of, and those that are in force there.

    An evacuation is in force after a delay that is spread over the hosts by their ids,
    and its end at once. For example::

        evacuations.record(3, ["dc-2"], now=0.0, at_once=False)
        evacuations.update(now=2.0)     # {"dc-2"}, which has changed
        evacuations.in_force            # {"dc-2"}
    """

    def __init__(self, *, host_id: str):
        self.delay_s = SPREAD_S * spread_weight(host_id, "evacuation") / _WEIGHTS
        self.number = 0
        self.due = {}  # data centre -> time from which its evacuation is in force
        self.in_force = frozenset()

    def record(
        self, number: int, data_centres: Collection[str], *, now: float, at_once: bool
    ) -> bool:
        """Takes what a replica reports; returns whether its number is higher.

        A host that has just started, and sends no requests yet, needs no delay: with
        ``at_once`` its evacuations are in force from now on.
        """
        if number <= self.number:
            return False
        self.number = number
        due_at = now if at_once else now + self.delay_s
        self.due = {name: self.due.get(name, due_at) for name in data_centres}
        return True

    def update(self, now: float) -> frozenset[str]:
        """Puts in force what is due; returns the data centres that have changed."""
        before = self.in_force
        self.in_force = frozenset(n for n, due_at in self.due.items() if due_at <= now)
        return before ^ self.in_force
