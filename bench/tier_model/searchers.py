"""Searcher models with slots, connections, service times and faults."""

import random
from dataclasses import dataclass

from plantainstage._messages.forward import SubOutcome

from .deployment import DOCUMENTS_PER_PARTITION

SERVICE_MEDIAN_S = 0.012
SERVICE_SIGMA = 0.35  # standard deviation of the logarithm; the mean is 1.06 medians
COLD_FACTOR = 3.0
COLD_S = 2.0
CRASH_MARK = b"crash"


@dataclass(kw_only=True)
class Reply:
    """The reply of a searcher to a sub-request."""

    outcome: SubOutcome
    reason: str = ""
    snapshot: str = ""
    documents: int = 0
    hits: bytes = b"[]"
    load: float = 0.0
    connection_usable: bool = True


class CapExceededError(Exception):
    """More slots or connections of a searcher are in use than its caps allow."""


class SearcherModel:
    """One searcher; records the sub-requests that it ran and answered."""

    def __init__(self, *, spec, loop, seed):
        self.spec = spec
        self.loop = loop
        self.random = random.Random(f"{seed}/{spec.upstream_id}")
        self.snapshots = {"s1"}
        self.announced = {"s1"}
        self.partitions = {spec.partition}
        self.announced_partitions = {spec.partition}
        self.state = "serving"
        self.incarnation = 1
        self.alive = True
        self.started_at = -COLD_S
        self.slow_factor = 1.0
        self.straggler_share = 0.0
        self.straggler_factor = 10.0
        self.shed_share = 0.0
        self.reports_random_load = False
        self.running = {}
        self.connections = set()
        self.silent_connections = set()
        self.peak_running = 0
        self.first_arrivals = []
        self.extra_arrivals = []
        # Sub-request id -> (request id, snapshot, partition, documents).
        self.answers = {}
        self.refused = set()  # sub-request ids that were not run
        self.crashes = []  # (time, request id, partition, extra)
        self.busy_s = 0.0
        self.on_termination = None  # called when the process ends

    def receive(self, connection_id, sub_request, remaining_s, reply):
        """Handles a sub-request; calls ``reply`` with a Reply at most once."""
        if not self.alive:
            reply(Reply(outcome=SubOutcome.RESET, connection_usable=False))
            return
        self._check_caps(connection_id)
        if connection_id in self.silent_connections and self.random.random() < 0.5:
            return  # the sub-request is lost; otherwise its answer is
        (self.extra_arrivals if sub_request.extra else self.first_arrivals).append(
            self.loop.now
        )
        if (
            sub_request.snapshot not in self.snapshots
            or sub_request.partition not in self.partitions
        ):
            self.refused.add(sub_request.sub_request_id)
            reply(Reply(outcome=SubOutcome.REFUSED, reason="snapshot_gone"))
            return
        if self.shed_share and self.random.random() < self.shed_share:
            self.refused.add(sub_request.sub_request_id)
            reply(Reply(outcome=SubOutcome.REFUSED, reason="shed"))
            return
        now = self.loop.now
        duration = min(self._service_s(), max(remaining_s, 0.0))
        key = sub_request.sub_request_id
        entry = [sub_request, now, now + duration, remaining_s, reply, connection_id]
        self.running[key] = entry
        self._check_caps(connection_id)
        if CRASH_MARK in sub_request.query:
            self.loop.after(min(0.002, duration), self._crash, key)
        else:
            self.loop.after(duration, self._complete, key, entry)

    def cancel(self, sub_request_id):
        """Stops a running sub-request, which is answered with 499 at once."""
        entry = self.running.pop(sub_request_id, None)
        if entry is not None:
            self.busy_s += self.loop.now - entry[1]
            entry[4](Reply(outcome=SubOutcome.CANCELLED, load=self._load()))

    def connection_closed(self, connection_id):
        """Handles a connection closed by its owner; running sub-requests go on."""
        self.connections.discard(connection_id)
        self.silent_connections.discard(connection_id)

    def turn_silent(self, share):
        """Makes a share of the open connections lose all further answers."""
        for connection_id in sorted(self.connections):
            if self.random.random() < share:
                self.silent_connections.add(connection_id)

    def terminate(self):
        """Ends the process; running sub-requests get a connection reset."""
        self.alive = False
        self.connections.clear()
        self.silent_connections.clear()
        if self.on_termination is not None:
            self.on_termination()
        running, self.running = self.running, {}
        for entry in running.values():
            entry[4](Reply(outcome=SubOutcome.RESET, connection_usable=False))

    def restart(self):
        """Starts a new process, with cold caches."""
        self.alive = True
        self.incarnation += 1
        self.started_at = self.loop.now

    def _service_s(self):
        rng = self.random
        service = SERVICE_MEDIAN_S * rng.lognormvariate(0.0, SERVICE_SIGMA)
        if rng.random() < self.straggler_share:
            service *= self.straggler_factor
        age = self.loop.now - self.started_at
        if age < COLD_S:
            service *= COLD_FACTOR
        return service * self.slow_factor

    def _complete(self, key, entry):
        if self.running.get(key) is not entry:
            return
        del self.running[key]
        sub_request, started_at, _, remaining_s, reply, connection_id = entry
        self.busy_s += self.loop.now - started_at
        if connection_id in self.silent_connections:
            return
        if self.loop.now - started_at >= remaining_s:
            reply(Reply(outcome=SubOutcome.TIMED_OUT, reason="deadline"))
            return
        self.answers[key] = (
            sub_request.request_id,
            sub_request.snapshot,
            sub_request.partition,
            DOCUMENTS_PER_PARTITION,
        )
        reply(
            Reply(
                outcome=SubOutcome.ANSWERED,
                snapshot=sub_request.snapshot,
                documents=DOCUMENTS_PER_PARTITION,
                hits=f'["{key}"]'.encode(),
                load=self._load(),
            )
        )

    def _crash(self, key):
        entry = self.running.get(key)
        if entry is None or not self.alive:
            return
        sub_request = entry[0]
        self.crashes.append(
            (
                self.loop.now,
                sub_request.request_id,
                sub_request.partition,
                sub_request.extra,
            )
        )
        self.terminate()
        self.loop.after(1.0, self.restart)

    def _load(self):
        if self.reports_random_load:
            return self.random.random() * self.spec.slots
        return float(len(self.running))

    def _check_caps(self, connection_id):
        self.connections.add(connection_id)
        self.peak_running = max(self.peak_running, len(self.running))
        if len(self.running) > self.spec.slots:
            raise CapExceededError(
                f"{self.spec.upstream_id}: more slots in use than its cap"
            )
        if len(self.connections) > self.spec.connections:
            raise CapExceededError(
                f"{self.spec.upstream_id}: more connections open than its cap"
            )
