"""A randomised run of the rate limits of searchers, in virtual time.

Requests arrive at random hosts, each of which sends to a searcher that its own
SearcherLimits allows. Replies are late or lost, hosts restart, and the searchers change
their limits. Nothing but replies passes between hosts and searchers.
"""

import heapq
import itertools
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from tornado import httputil

from plantainstage._gateway.messages import SearcherReply
from plantainstage._gateway.searcher_limits import SearcherLimits
from plantainstage._serving.decimals import StatedNumber
from plantainstage._serving.searchers import Searcher

sys.path.append(str(Path(__file__).resolve().parents[2] / "bench"))

from routed_model.spans import allowed_in_span, most_in_span  # noqa: E402

KNOWN_S = 0.5  # a host counts from then on after its first reply with a limit
SETTLE_S = 4.0  # after a change of a limit, or a restart of a host

LOST_REPLIES = 0.05
LATE_REPLIES = 0.1
LATE_S = 2.0
USUAL_LATENCY_S = 0.05
PACE_S = 6.0
RESTARTS = 0.0005  # of a host, per request


def searcher_named(searcher_id, started_at_ms=1):
    """Returns the announcement of a searcher."""
    return Searcher(
        searcher_id=searcher_id,
        service="cards",
        address="",
        data_centre="dc-1",
        slots=2,
        started_at_ms=started_at_ms,
    )


def reply_with(*, rate_limit, status=200, not_executed=False):
    """Returns a searcher's reply that states a rate limit, or none."""
    return SearcherReply(
        status=status,
        reason="",
        headers=httputil.HTTPHeaders(),
        body=b"",
        signature="s",
        not_executed=not_executed,
        load=None,
        rate_limit=rate_limit,
    )


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A time during which a searcher states one limit, or none."""

    until_s: float
    limit: float | None


@dataclass(kw_only=True)
class Host:
    """One host; ``told_at`` has the first reply by searcher and limit."""

    limits: SearcherLimits
    restarted_at: float = float("-inf")
    told_at: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class Arrival:
    """A request at a searcher."""

    at: float
    host: Host
    told_at: float


class RateLimitRun:
    """Runs ``requests_per_s`` over ``hosts`` hosts and the searchers of one service."""

    def __init__(
        self, *, hosts: int, searchers: int, requests_per_s: float, phases, seed: int
    ):
        self.random = random.Random(seed)
        self.requests_per_s = requests_per_s
        self.phases = phases
        self.searchers = [searcher_named(f"s-{number}") for number in range(searchers)]
        self.events = Counter()
        self.hosts = [Host(limits=self._new_limits(n, hosts)) for n in range(hosts)]
        # Traffic is uneven over the hosts.
        self.weights = [self.random.random() + 0.2 for _ in self.hosts]
        self.arrivals = {s.searcher_id: [] for s in self.searchers}
        self.pauses = True  # whether requests pause, so that hosts collect permits
        self.queue = []
        self.order = itertools.count()

    def _new_limits(self, number, hosts):
        limits = SearcherLimits(host_id=f"host-{number}", log_event=self._count_event)
        limits.hosts = hosts
        return limits

    def _count_event(self, event, **fields):
        self.events[event] += 1

    # ---- Running ------------------------------------------------------------------

    def run(self):
        """Runs all phases, with a pause in every third PACE_S."""
        now = 0.0
        end_at = self.phases[-1].until_s
        while now < end_at:
            now += self.random.expovariate(self.requests_per_s)
            pace = int(now / PACE_S)
            if self.pauses and pace % 3 == 2:
                now = (pace + 1) * PACE_S
            self._deliver_until(now)
            if self.random.random() < RESTARTS:
                self._restart(now)
            self._request(now)

    def _request(self, now):
        host = self.random.choices(self.hosts, self.weights)[0]
        free = [s for s in self.searchers if not host.limits.wait_s(s, now)]
        if not free:
            return
        searcher = self.random.choice(free)
        host.limits.take(searcher, now)
        key = (searcher.searcher_id, self._limit_at(now))
        told_at = host.told_at.get(key, float("inf"))
        self.arrivals[searcher.searcher_id].append(
            Arrival(at=now, host=host, told_at=told_at)
        )
        latency_s = self.random.expovariate(1 / USUAL_LATENCY_S)
        if self.random.random() < LATE_REPLIES:
            latency_s += self.random.random() * LATE_S
        if self.random.random() >= LOST_REPLIES:
            # The limit is stated when the searcher writes the reply.
            reply = self._reply(now + latency_s / 2)
            entry = (now + latency_s, next(self.order), host, searcher, reply, now)
            heapq.heappush(self.queue, entry)

    def _reply(self, now):
        limit = self._limit_at(now)
        stated = None if limit is None else StatedNumber(text="", value=limit)
        return reply_with(rate_limit=stated)

    def _limit_at(self, now):
        for phase in self.phases:
            if now < phase.until_s:
                return phase.limit
        return self.phases[-1].limit

    def _deliver_until(self, now):
        while self.queue and self.queue[0][0] <= now:
            at, _, host, searcher, reply, sent_at = heapq.heappop(self.queue)
            if sent_at < host.restarted_at:
                continue
            if reply.rate_limit is not None:
                key = (searcher.searcher_id, reply.rate_limit.value)
                host.told_at.setdefault(key, at)
            host.limits.record_reply(searcher, reply, sent_at=sent_at, now=at)

    def _restart(self, now):
        number = self.random.randrange(len(self.hosts))
        host = self.hosts[number]
        host.limits = self._new_limits(number, host.limits.hosts)
        host.told_at = {}
        host.restarted_at = now

    # ---- Checks -------------------------------------------------------------------

    def violations(self):
        """Returns the spans in which a searcher got more than its limit allows."""
        found = []
        began_at = 0.0
        for phase in self.phases:
            if phase.limit is not None:
                bound = allowed_in_span(phase.limit)
                for name, arrivals in self.arrivals.items():
                    counted = [
                        arrival.at
                        for arrival in arrivals
                        if began_at + SETTLE_S <= arrival.at < phase.until_s
                        and arrival.at - arrival.told_at >= KNOWN_S
                        and not 0 <= arrival.at - arrival.host.restarted_at < SETTLE_S
                    ]
                    most = most_in_span(counted)
                    if most > bound:
                        found.append((name, began_at, most, bound))
            began_at = phase.until_s
        return found

    def served_share(self, phase):
        """Returns the requests served in a phase, as a share of the limits' sum."""
        number = self.phases.index(phase)
        began_at = self.phases[number - 1].until_s if number else 0.0
        served = sum(
            began_at <= arrival.at < phase.until_s
            for arrivals in self.arrivals.values()
            for arrival in arrivals
        )
        allowed = phase.limit * len(self.searchers) * (phase.until_s - began_at)
        return served / allowed
