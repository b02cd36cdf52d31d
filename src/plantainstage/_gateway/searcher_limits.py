"""The rate limits that searchers state in their replies, as known to an entry host."""

from collections.abc import Callable

from plantainstage._gateway.messages import STATUS_MISDIRECTED, SearcherReply
from plantainstage._serving.rate_limits import RatePermits
from plantainstage._serving.searchers import Searcher
from plantainstage._serving.spreading import spread_weight

# A searcher that is lost for a while is still the same process when it is found again.
RETENTION_S = 60.0
_WEIGHTS = 2**32


class SearcherLimits:
    """Permits for each searcher that states a limit.

    ``log_event(event, **fields)`` gets each limit that is learnt, changed or ends, and
    ``hosts`` is the number of entry hosts that share the limits.
    """

    def __init__(self, *, host_id: str, log_event: Callable):
        # The same for all searchers, so that a request to many of them finds permits.
        self.phase = spread_weight(host_id, "rate limits") / _WEIGHTS
        self.log_event = log_event
        self.hosts = 1
        self.permits = {}  # (searcher id, start) -> RatePermits
        self.removed_at = {}  # (searcher id, start) -> time
        self.unreadable = {}  # (searcher id, start) -> text of the last such value

    # ---- Queries ------------------------------------------------------------------

    def is_limited(self, searcher: Searcher) -> bool:
        """Whether the searcher states a limit."""
        return searcher.start in self.permits

    def allows(self, searcher: Searcher, now: float, uses_permits: bool) -> bool:
        """Whether a request, which may use permits or not, may go to the searcher."""
        permits = self.permits.get(searcher.start)
        if permits is None:
            return True
        return uses_permits and not permits.wait_s(now, self.hosts)

    def wait_s(self, searcher: Searcher, now: float) -> float:
        """Returns how long no request may be sent to the searcher, 0 if one may."""
        permits = self.permits.get(searcher.start)
        return 0.0 if permits is None else permits.wait_s(now, self.hosts)

    # ---- Commands -----------------------------------------------------------------

    def take(self, searcher: Searcher, now: float):
        """Uses a permit for a request to the searcher, if it states a limit."""
        permits = self.permits.get(searcher.start)
        if permits is not None:
            permits.take(now, self.hosts)

    def record_reply(
        self, searcher: Searcher, reply: SearcherReply, *, sent_at: float, now: float
    ):
        """Learns a limit, or that it has ended, from a reply.

        A limit ends with a success without one, if its request was sent after the last
        reply that stated the limit: earlier replies may arrive late. A value that is
        not a number changes nothing.
        """
        if reply.status == STATUS_MISDIRECTED:
            return
        stated = reply.rate_limit
        if stated is None:
            permits = self.permits.get(searcher.start)
            if permits and reply.is_success and sent_at > permits.stated_at:
                self._end(searcher)
        elif stated.value is None:
            self._refuse(searcher, stated.text)
        else:
            self._learn(searcher, stated.value, now)

    def searcher_added(self, searcher: Searcher):
        """Keeps the limit of a searcher that is known again."""
        self.removed_at.pop(searcher.start, None)

    def searcher_removed(self, searcher: Searcher, now: float):
        """Forgets the limit of a searcher after a while, unless it is known again."""
        self.unreadable.pop(searcher.start, None)
        if searcher.start in self.permits:
            self.removed_at[searcher.start] = now
        for key, removed_at in list(self.removed_at.items()):
            if now - removed_at > RETENTION_S:
                del self.removed_at[key]
                self.permits.pop(key, None)

    def _learn(self, searcher, rate, now):
        permits = self.permits.get(searcher.start)
        before = None if permits is None else permits.rate
        if permits is None:
            permits = RatePermits(rate=rate, phase=self.phase, now=now)
            self.permits[searcher.start] = permits
        else:
            permits.state(rate, now, self.hosts)
        if rate != before:
            self._log(
                "searcher_limited",
                searcher,
                limit_per_s=rate,
                limit_before=before,
                share_per_s=round(permits.share(self.hosts), 3),
                hosts=self.hosts,
            )

    def _end(self, searcher):
        permits = self.permits.pop(searcher.start)
        self.unreadable.pop(searcher.start, None)
        self._log("searcher_limit_ended", searcher, limit_before=permits.rate)

    def _refuse(self, searcher, text):
        if self.unreadable.get(searcher.start) != text:
            self.unreadable[searcher.start] = text
            self._log("searcher_limit_unreadable", searcher, value=text[:40])

    def _log(self, event, searcher, **fields):
        self.log_event(
            event, searcher=searcher.searcher_id, service=searcher.service, **fields
        )
