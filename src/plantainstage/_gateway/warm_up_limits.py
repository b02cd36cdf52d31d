"""The limits of cold searchers, as known to an entry host."""

import time
from collections.abc import Callable, Collection

from plantainstage._gateway.messages import STATUS_MISDIRECTED, SearcherReply
from plantainstage._serving.account_bounds import WarmUpBounds
from plantainstage._serving.configuration import Service
from plantainstage._serving.evacuations import EndedEvacuation
from plantainstage._serving.searchers import Searcher
from plantainstage._serving.spreading import spread_weight
from plantainstage._serving.warm_up import ColdSearchers
from plantainstage._serving.warm_up_permits import SharingHosts, WarmUpPermits

_WEIGHTS = 2**32


class WarmUpLimits:
    """Permits for the searchers that are cold; it does nothing without such services.

    ``log_event(event, **fields)`` gets searchers that become cold or warm, and
    ``unix_s()`` is the time on the host's Unix clock.
    """

    def __init__(
        self,
        *,
        host_id: str,
        bounds: WarmUpBounds,
        log_event: Callable,
        unix_s: Callable[[], float] = time.time,
    ):
        # The same for all searchers, so that a request to many of them finds permits.
        self.phase = spread_weight(host_id, "warm-up") / _WEIGHTS
        self.bounds = bounds
        self.log_event = log_event
        self.unix_s = unix_s
        self.cold = ColdSearchers()
        self.hosts = SharingHosts()
        self.permits = {}  # start -> WarmUpPermits
        self.logged = {}  # start -> Searcher, of those that were logged as cold
        self.ended_at = {}  # data centre -> time since which its evacuation is over

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether no service limits the requests to its cold searchers."""
        return not self.cold.services

    def is_cold(self, searcher: Searcher, now: float) -> bool:
        """Whether the searcher takes only as many requests as its service states."""
        return not self.is_idle and self.cold.is_cold(searcher, now)

    def wait_s(self, searcher: Searcher, now: float) -> float:
        """Returns how long no request may be sent to the searcher, 0 if one may."""
        if not self.is_cold(searcher, now):
            return 0.0
        hosts = self.hosts.number(now)
        if not hosts:
            return self.hosts.unknown_s(now)
        return self._permits_of(searcher, now).wait_s(now, hosts)

    def allows(self, searcher: Searcher, now: float, uses_permits: bool) -> bool:
        """Whether a request, which may use permits or not, may go to the searcher."""
        if not self.is_cold(searcher, now):
            return True
        return uses_permits and not self.wait_s(searcher, now)

    # ---- Commands -----------------------------------------------------------------

    def take(self, searcher: Searcher, now: float):
        """Uses a permit for a request to the searcher, if it is cold."""
        hosts = self.hosts.number(now)
        if hosts and self.is_cold(searcher, now):
            self._permits_of(searcher, now).take(now, hosts)

    def set_services(self, services: Collection[Service]):
        """Takes the services of the configuration in force."""
        self.cold.set_services(services)

    def set_ended(self, ended: Collection[EndedEvacuation], now: float):
        """Takes the evacuations that have ended."""
        before = self.cold.ended
        self.cold.set_ended({entry.data_centre: entry.number for entry in ended})
        for name, number in self.cold.ended.items():
            if before.get(name) != number:
                self.ended_at[name] = now

    def record_announced(self, searcher: Searcher, now: float):
        """Learns from an announcement."""
        self.cold.record_announced(searcher, now=now, unix_s=self.unix_s())

    def record_reply(
        self, searcher: Searcher, reply: SearcherReply, *, sent_at: float, now: float
    ):
        """Learns from a reply of this start of the searcher."""
        if reply.status == STATUS_MISDIRECTED or reply.warm_up_ms is None:
            return
        self.cold.record_stated(searcher, reply.warm_up_ms, sent_at=sent_at, now=now)
        place = searcher.data_centre
        if sent_at > self.ended_at.get(place, float("-inf")):
            self.cold.confirm(searcher, self.cold.ended.get(place, 0))

    def searcher_removed(self, searcher: Searcher, now: float):
        """Forgets a searcher after a while, unless it is known again."""
        self.permits.pop(searcher.start, None)
        self.logged.pop(searcher.start, None)
        self.cold.searcher_removed(searcher, now)

    def refresh(self, searchers: Collection[Searcher], now: float):
        """Logs which searchers have become cold or warm, and drops old permits."""
        if self.is_idle and not self.logged:
            return
        cold = {s.start: s for s in searchers if self.is_cold(s, now)}
        for start in cold.keys() - self.logged.keys():
            self._log("searcher_cold", cold[start])
        for start in self.logged.keys() - cold.keys():
            self._log("searcher_warm", self.logged[start])
            self.permits.pop(start, None)
        self.logged = cold

    def _permits_of(self, searcher, now):
        permits = self.permits.get(searcher.start)
        rate = self.cold.services[searcher.service].warm_up_rate_per_s
        if permits is None or permits.stated_rate != rate:
            permits = self.permits[searcher.start] = WarmUpPermits(
                rate=rate,
                bounds=self.bounds,
                phase=self.phase,
                now=now,
            )
        return permits

    def _log(self, event, searcher):
        self.log_event(event, searcher=searcher.searcher_id, service=searcher.service)
