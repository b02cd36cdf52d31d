"""A randomised run of the limits of cold searchers, in virtual time.

All searchers of a data centre that has been evacuated return at once. Requests arrive
at random hosts, which send to any searcher that their own WarmUpLimits allow. Now and
then all hosts use every permit that they have, as they do after a lull.
"""

import random
from bisect import bisect_left

from plantainstage._gateway.warm_up_limits import WarmUpLimits
from plantainstage._serving.account_bounds import WarmUpBounds
from plantainstage._serving.configuration import Service
from plantainstage._serving.evacuations import EndedEvacuation
from plantainstage._serving.searchers import Searcher

ENDED = EndedEvacuation(data_centre="dc-2", number=8)
SERVICE = "cards"
UNIX_S = 1_700_000_000.0
BURST_INTERVAL_S = 2.3
# A request arrives at its searcher up to this time after it was sent.
TRAVEL_S = 0.05
RUN_S = 40.0
FIRST_REPORT_S = 0.3  # after a host has started
KNOWN_S = 10.0  # since the hosts have been counted, at the start of a run


def returning(number):
    """Returns a searcher that started long ago in the data centre that returns."""
    return Searcher(
        searcher_id=f"s-{number}",
        service=SERVICE,
        address=f"s-{number}:1",
        data_centre=ENDED.data_centre,
        slots=4,
        started_at_ms=1,
    )


def new_limits(host_id, rate, *, now, bounds=None, log_event=None):
    """Returns the limits of a host that knows the service and the returning ones."""
    limits = WarmUpLimits(
        host_id=host_id,
        bounds=bounds or WarmUpBounds(),
        log_event=log_event or (lambda event, **fields: None),
        unix_s=lambda: UNIX_S,
    )
    service = Service(name=SERVICE, warm_up_s=30.0, warm_up_rate_per_s=rate)
    limits.set_services([service])
    limits.set_ended([ENDED], now)
    return limits


class WarmUpRun:
    """Runs ``requests_per_s`` over ``hosts`` hosts; ``arrivals`` has their times."""

    def __init__(self, *, hosts, searchers, rate, requests_per_s, seed):
        self.random = random.Random(seed)
        self.rate = rate
        self.requests_per_s = requests_per_s
        self.searchers = [returning(number) for number in range(searchers)]
        self.arrivals = {s.searcher_id: [] for s in self.searchers}
        self.hosts = {}
        self.seed = seed
        for number in range(hosts):
            self.start_host(f"host-{seed}-{number}", now=-KNOWN_S)
        self.count_hosts(now=-KNOWN_S)
        self.restarts_at = []

    def start_host(self, host_id, *, now):
        """Starts a host, or starts it again without its state."""
        limits = self.hosts[host_id] = new_limits(host_id, self.rate, now=now)
        for searcher in self.searchers:
            limits.record_announced(searcher, now)

    def count_hosts(self, *, now):
        """Reports the number of hosts to all of them."""
        for limits in self.hosts.values():
            limits.hosts.record(len(self.hosts), now)

    def run(self, *, disturb=None):
        """Runs for RUN_S; ``disturb(now)`` is called once in each second."""
        now, burst_at, second = 0.0, BURST_INTERVAL_S, 0
        while now < RUN_S:
            now += self.random.expovariate(self.requests_per_s)
            if int(now) > second and disturb is not None:
                second = int(now)
                disturb(now)
            if now >= burst_at:
                burst_at += BURST_INTERVAL_S
                self._use_all(now)
            limits = self.random.choice(list(self.hosts.values()))
            free = [s for s in self.searchers if limits.allows(s, now, True)]
            if free:
                self._send(limits, self.random.choice(free), now)

    def _use_all(self, now):
        for limits in self.hosts.values():
            for searcher in self.searchers:
                while limits.allows(searcher, now, True):
                    self._send(limits, searcher, now)

    def _send(self, limits, searcher, now):
        limits.take(searcher, now)
        arrives_at = now + self.random.random() * TRAVEL_S
        self.arrivals[searcher.searcher_id].append(arrives_at)

    def most_in_second(self):
        """Returns the highest number of arrivals of one searcher in any second."""
        return max(map(_most_in_second, self.arrivals.values()))

    def allowed(self):
        """Returns the bound of the page: rate * 1.5 + 5."""
        return self.rate * 1.5 + 5


def _most_in_second(times):
    times = sorted(times)
    ends = (bisect_left(times, start + 1.0) for start in times)
    return max((end - first for first, end in enumerate(ends)), default=0)
