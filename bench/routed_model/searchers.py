"""A searcher model with slots, a queue, pauses and faults."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

import msgspec

from plantainstage._serving.searchers import Searcher

SERVICE_SIGMA = 0.35  # standard deviation of the logarithm
LONG_SHARE = 0.01  # share of the requests that take LONG_FACTOR times as long
LONG_FACTOR = 5.0
# Of a request that ends each searcher which runs it.
RUN_BEFORE_END_S = 0.02
DOWN_S = 2.0


@dataclass(kw_only=True)
class Job:
    """One request at a searcher; ``reply(executed)`` is called at most once."""

    service_s: float
    expires_at: float  # deadline that the request carried
    reply: object
    timer: object = None
    finished: bool = False
    ends_searcher: bool = False


@dataclass(kw_only=True)
class SearcherModel:
    """One searcher; faults set ``slowdown``, ``shed_share`` and the like."""

    searcher: Searcher
    spec: object
    random: random.Random
    service_time_factor: float = 1.0
    slowdown: float = 1.0
    shed_share: float = 0.0
    unresponsive: bool = False
    connections: int = 0
    running: int = 0
    arrivals: int = 0
    rate_limit: float | None = None  # requests a second, stated in replies
    limited_arrivals: list = field(default_factory=list)  # times, while limited
    paused: bool = False
    is_down: bool = False
    ends: list = field(default_factory=list)  # times at which a request ended it
    ending_arrivals: list = field(default_factory=list)  # times of such requests
    pools: list = field(default_factory=list)  # of the hosts that connect to it
    on_restart: object = None  # called with the model once it is up again
    queue: deque = field(default_factory=deque)

    def start_pauses(self):
        """Schedules pauses, independently of other searchers."""
        if self.spec.pause_ms:
            first = self.random.random() * self.spec.pause_every_s
            asyncio.get_running_loop().call_later(first, self._pause)

    def draw_service_s(self, mean_s: float) -> float:
        """Returns the service time of a request here, without faults."""
        draw = self.random.lognormvariate(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA)
        if self.random.random() < LONG_SHARE:
            draw *= LONG_FACTOR
        return mean_s * draw * self.service_time_factor

    def receive(self, job: Job):
        """Handles the arrival of a request."""
        if self.unresponsive:
            return
        self.arrivals += 1
        if job.ends_searcher:
            self.ending_arrivals.append(asyncio.get_running_loop().time())
        if self.rate_limit is not None:
            self.limited_arrivals.append(asyncio.get_running_loop().time())
        full = len(self.queue) >= self.spec.queue
        if full or self.random.random() < self.shed_share:
            job.reply(False)
            return
        self.queue.append(job)
        self._run_next()

    def abort(self, job: Job):
        """Aborts a request whose connection was closed."""
        if job.finished:
            return
        job.finished = True
        if job.timer is not None:
            job.timer.cancel()
            self.running -= 1
            self._run_next()

    def _pause(self):
        self.paused = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.spec.pause_ms / 1000, self._resume)

    def _resume(self):
        self.paused = False
        every_s = self.spec.pause_every_s * self.random.uniform(0.5, 1.5)
        asyncio.get_running_loop().call_later(every_s, self._pause)
        self._run_next()

    def _run_next(self):
        loop = asyncio.get_running_loop()
        while self.queue and self.running < self.spec.slots and not self.paused:
            job = self.queue.popleft()
            if job.finished:
                continue
            if loop.time() >= job.expires_at:
                job.finished = True
                job.reply(False)
                continue
            self.running += 1
            if job.ends_searcher:
                job.timer = loop.call_later(RUN_BEFORE_END_S, self._end)
                continue
            service_s = job.service_s * self.slowdown
            job.timer = loop.call_later(service_s, self._done, job)

    def _end(self):
        """Ends the searcher, which resets its connections, until it restarts."""
        if self.is_down:
            return
        loop = asyncio.get_running_loop()
        self.is_down = True
        self.ends.append(loop.time())
        self.queue.clear()
        self.running = 0
        for pool in self.pools:
            pool.reset_connections()
        loop.call_later(DOWN_S, self._restart)

    def _restart(self):
        self.is_down = False
        started_at_ms = self.searcher.started_at_ms + 1
        self.searcher = msgspec.structs.replace(
            self.searcher, started_at_ms=started_at_ms
        )
        self.on_restart(self)

    def _done(self, job):
        job.finished = True
        self.running -= 1
        if not self.unresponsive:
            job.reply(True)
        self._run_next()
