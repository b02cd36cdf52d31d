"""Which searchers are cold: they warm up, and take few requests until then.

A searcher is cold for the time that its service states after its start, and whenever
it says so itself. The searchers of a data centre whose evacuation has ended count as
cold until they have announced themselves again, since they may have become cold while
they got no requests.

A host takes the longest of what it knows: that a warm searcher counts as cold costs
some capacity for a while, that a cold one counts as warm may end it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from plantainstage._serving.configuration import Service
from plantainstage._serving.searchers import COUNTDOWN_MARGIN_S, Searcher

NEVER = float("-inf")
# A searcher that is lost for a while is still the same process when it is found again.
RETENTION_S = 600.0


@dataclass(kw_only=True)
class _KnownStart:
    """What is known of one start; times are on the host's monotonic clock."""

    started_at: float
    announced_until: float = NEVER
    stated_until: float = NEVER  # in a reply
    stated_at: float = NEVER  # when the request of that reply was sent
    heard_after: int = 0  # a reply has confirmed the state after this evacuation


class ColdSearchers:
    """Decides which searchers are cold.

    For example, of a service with ``warm_up_s=30``::

        cold.record_announced(searcher, now=10.0, unix_s=started_s + 5)
        cold.is_cold(searcher, now=34.0)     # True
        cold.is_cold(searcher, now=35.0)     # False
    """

    def __init__(self):
        self.services = {}  # name -> Service, of those with a limit while cold
        self.ended = {}  # data centre -> number of the end of its last evacuation
        self.known = {}  # start -> _KnownStart
        self.latest = {}  # searcher id -> time of its last known start
        self.removed_at = {}  # start -> time

    # ---- Queries ------------------------------------------------------------------

    def is_cold(self, searcher: Searcher, now: float) -> bool:
        """Whether the searcher takes only the requests that its service states."""
        service = self.services.get(searcher.service)
        known = self.known.get(searcher.start)
        if service is None or known is None:
            return False
        if self._is_returning(searcher, known):
            return True
        warm_at = max(
            known.started_at + service.warm_up_s,
            known.announced_until,
            known.stated_until,
        )
        return now < warm_at

    def _is_returning(self, searcher, known):
        """Whether it was not heard since the evacuation of its data centre ended."""
        ended = self.ended.get(searcher.data_centre, 0)
        return max(searcher.heard_after, known.heard_after) < ended

    # ---- Commands -----------------------------------------------------------------

    def set_services(self, services: Iterable[Service]):
        """Takes the services of the configuration in force."""
        self.services = {s.name: s for s in services if s.warm_up_rate_per_s > 0}

    def set_ended(self, ended: Mapping[str, int]):
        """Takes the numbers of the ends of evacuations, by data centre."""
        self.ended = dict(ended)

    def record_announced(self, searcher: Searcher, *, now: float, unix_s: float):
        """Records an announcement; ``unix_s`` is the time on the host's Unix clock."""
        known = self.known.get(searcher.start)
        if known is None:
            started_at = self._started_at(searcher, now, unix_s)
            known = self.known[searcher.start] = _KnownStart(started_at=started_at)
            self.latest[searcher.searcher_id] = searcher.started_at_ms
        self.removed_at.pop(searcher.start, None)
        known.announced_until = _cold_until(searcher.warm_up_ms, now)

    def _started_at(self, searcher, now, unix_s):
        """Returns the time of the start, not later than now.

        Clocks of machines differ. The time of a start that takes the place of an
        earlier one is not read from them: it may have happened just now.
        """
        if searcher.searcher_id in self.latest:
            return now
        return now - max(0.0, unix_s - searcher.started_at_ms / 1000)

    def record_stated(
        self, searcher: Searcher, warm_up_ms: int, *, sent_at: float, now: float
    ):
        """Records how long the searcher still warms up, according to a reply.

        A reply to a request that was sent earlier than that of the last one changes
        nothing unless it prolongs the time: replies may arrive out of order.
        """
        known = self.known.get(searcher.start)
        if known is None:
            return
        until = _cold_until(warm_up_ms, now)
        if sent_at >= known.stated_at:
            known.stated_at = sent_at
            known.stated_until = until
        else:
            known.stated_until = max(known.stated_until, until)

    def confirm(self, searcher: Searcher, number: int):
        """Records that the searcher has replied after the end of an evacuation."""
        known = self.known.get(searcher.start)
        if known is not None:
            known.heard_after = max(known.heard_after, number)

    def searcher_removed(self, searcher: Searcher, now: float):
        """Forgets a searcher after a while, unless it is known again."""
        if searcher.start in self.known:
            self.removed_at[searcher.start] = now
        for start, removed_at in list(self.removed_at.items()):
            if now - removed_at > RETENTION_S:
                self._forget(start)

    def _forget(self, start):
        del self.removed_at[start]
        self.known.pop(start, None)
        searcher_id, started_at_ms = start
        if self.latest.get(searcher_id) == started_at_ms:
            del self.latest[searcher_id]


def _cold_until(warm_up_ms, now):
    if warm_up_ms <= 0:
        return NEVER
    return now + warm_up_ms / 1000 + COUNTDOWN_MARGIN_S
