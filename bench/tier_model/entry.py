"""Entry hosts of the model, which execute the actions of the decision logic.

The logic is that of the program. This module delivers messages after one-way
latencies, runs exchanges with searcher models and measures the CPU time of the logic.
"""

import time

from plantainstage._limits.owner_queue import (
    AbortExchange,
    CloseConnection,
    ProbeSearcher,
    ReportCrashedFingerprint,
    ReturnResult,
    StartExchange,
    WakeQueueAt,
)
from plantainstage._messages.forward import SubOutcome, SubResult
from plantainstage._routing.gather import (
    CancelSubRequest,
    FinishRequest,
    ReportCrashes,
    SendSubRequest,
    WakeAt,
)

CONTROL_COMMIT_S = 0.004  # a quarantine is committed by the control majority
# As in the entry process, so that a 504 arrives before the owner's deadline.
ANSWER_MARGIN_S = 0.002
_read_cpu_ns = time.thread_time_ns


class EntryModel:
    """One entry host; ``policy`` makes its gathers and owner queues."""

    def __init__(self, *, tier, host, policy):
        self.tier = tier
        self.loop = tier.loop
        self.host = host
        self.entry_id = host.entry_id
        self.zone = host.data_centre
        self.policy = policy
        self.alive = True
        self.requests_by_sub_request = {}  # sub-request id -> request
        self.queues = {}
        self.probes = []  # (time, profile)
        self.cpu_ns = 0
        self.messages = 0

    # ---- Requests ------------------------------------------------------------

    def request(self, record, body, profile):
        """Handles a request of a caller; ``record`` receives its outcome."""
        cpu_before_ns = _read_cpu_ns()
        gather = self.policy.gather(record, body, profile, self.loop.now)
        actions = gather.start(self.loop.now)
        self.cpu_ns += _read_cpu_ns() - cpu_before_ns
        request = _Request(gather, record)
        self._gather_actions(request, actions)

    def _gather_event(self, request, method, *arguments):
        if not self.alive:
            return
        cpu_before_ns = _read_cpu_ns()
        actions = method(*arguments, self.loop.now)
        self.cpu_ns += _read_cpu_ns() - cpu_before_ns
        self._gather_actions(request, actions)

    def _gather_actions(self, request, actions):
        for action in actions:
            match action:
                case SendSubRequest(owner_id=owner_id, sub_request=sub_request):
                    self.requests_by_sub_request[sub_request.sub_request_id] = request
                    request.sub_request_ids.append(sub_request.sub_request_id)
                    owner = self.tier.hosts[owner_id]
                    self._deliver(owner, owner.submit, self, sub_request)
                case CancelSubRequest(owner_id=owner_id, sub_request_id=key):
                    owner = self.tier.hosts[owner_id]
                    upstream = self.tier.upstream_of(key)
                    self._deliver(owner, owner.cancel, upstream, key)
                case WakeAt(time=wake_time):
                    request.wake_time = wake_time
                    self.loop.at(wake_time, self._wake, request, wake_time)
                case ReportCrashes(fingerprint=fingerprint):
                    self.tier.quarantine(self, fingerprint)
                    self.loop.after(
                        CONTROL_COMMIT_S,
                        self._gather_event,
                        request,
                        request.gather.on_quarantine_recorded,
                    )
                case FinishRequest():
                    request.wake_time = -1.0
                    if action.refusal is not None and self.tier.trace is not None:
                        self.tier.trace.record_refusal(
                            request.gather, action.refusal, self.loop.now
                        )
                    request.record.finish(action, self.loop.now)

    def _wake(self, request, wake_time):
        if request.wake_time == wake_time:
            self._gather_event(request, request.gather.on_timer)

    def result(self, sub_result):
        """Handles a result from an owner."""
        request = self.requests_by_sub_request.pop(sub_result.sub_request_id, None)
        if request is not None:
            self._gather_event(request, request.gather.on_result, sub_result)

    def _deliver(self, other, method, *arguments):
        if other is self:
            method(*arguments)
            return
        if not (self.alive and other.alive):
            return
        self.messages += 1
        delay = self.tier.deployment.latency_s(self.zone, other.zone)
        self.loop.after(delay, method, *arguments)

    # ---- Ownership -----------------------------------------------------------

    def submit(self, requester, sub_request):
        """Handles a sub-request for a searcher that this host owns."""
        self.tier.sub_request_upstream[sub_request.sub_request_id] = (
            sub_request.upstream_id
        )
        queue = self.queues[sub_request.upstream_id]
        self._queue_event(queue, queue.logic.submit, requester.entry_id, sub_request)

    def cancel(self, upstream_id, sub_request_id):
        """Handles the cancellation of a sub-request by its requester."""
        queue = self.queues.get(upstream_id)
        if queue is not None:
            self._queue_event(queue, queue.logic.cancel, sub_request_id)

    def _queue_event(self, queue, method, *arguments, **options):
        if not self.alive:
            return
        cpu_before_ns = _read_cpu_ns()
        actions = method(*arguments, self.loop.now, **options)
        self.cpu_ns += _read_cpu_ns() - cpu_before_ns
        for action in actions:
            match action:
                case ReturnResult(requester_id=requester_id, result=result):
                    requester = self.tier.hosts[requester_id]
                    self._deliver(requester, requester.result, result)
                case StartExchange():
                    queue.start(action)
                case AbortExchange(sub_request_id=key):
                    queue.abort(key)
                case WakeQueueAt(time=wake_time):
                    queue.wake_time = wake_time
                    self.loop.at(wake_time, self._wake_queue, queue, wake_time)
                case CloseConnection(connection_id=number, silent=silent):
                    queue.close(number, silent)
                case ProbeSearcher(timeout_s=timeout_s, profile=profile):
                    if queue.probe(timeout_s):
                        self.probes.append((self.loop.now, profile))
                case ReportCrashedFingerprint(fingerprint=fingerprint):
                    self.tier.quarantine(self, fingerprint)

    def _wake_queue(self, queue, wake_time):
        if queue.wake_time == wake_time:
            self._queue_event(queue, queue.logic.on_timer)


class _Request:
    __slots__ = ("gather", "record", "wake_time", "sub_request_ids")

    def __init__(self, gather, record):
        self.gather = gather
        self.record = record
        self.wake_time = -1.0
        self.sub_request_ids = []


class _Exchange:
    __slots__ = ("sub_request_id", "connection_id", "done")

    def __init__(self, sub_request_id, connection_id):
        self.sub_request_id = sub_request_id
        self.connection_id = connection_id
        self.done = False


class QueueModel:
    """An owner queue with its connections to one searcher model."""

    def __init__(self, *, entry, searcher, logic):
        self.entry = entry
        self.loop = entry.loop
        self.searcher = searcher
        self.logic = logic
        self.hop_s = entry.tier.deployment.latency_s(entry.zone, searcher.spec.zone)
        self.exchanges = {}
        self.wake_time = -1.0
        searcher.on_termination = self._searcher_terminated

    def start(self, action):
        """Opens a connection if needed and sends the sub-request."""
        sub_request = action.sub_request
        exchange = _Exchange(sub_request.sub_request_id, action.connection_id)
        self.exchanges[action.connection_id] = exchange
        delay = self.hop_s
        if action.open_connection:
            delay += self.searcher.spec.connect_s
            if not self.searcher.alive:
                self.loop.after(2 * self.hop_s, self._refused, exchange)
                return
        remaining = action.deadline - self.loop.now - delay - self.hop_s
        remaining -= ANSWER_MARGIN_S
        self.loop.after(delay, self._arrive, exchange, sub_request, remaining)
        self.loop.at(action.deadline, self._expire, exchange)

    def abort(self, sub_request_id):
        """Sends ``/v1/cancel`` on the auxiliary connection."""
        self.loop.after(self.hop_s, self.searcher.cancel, sub_request_id)

    def probe(self, timeout_s):
        """Opens an auxiliary connection and waits for any reply.

        Returns false if the connection is refused, so that no probe is sent.
        """
        if not self.searcher.alive:
            self.loop.after(2 * self.hop_s, self._probe_refused)
            return False
        needed = self.searcher.spec.connect_s + 4 * self.hop_s
        if needed < timeout_s:
            self.loop.after(needed, self._probed, True)
        else:
            self.loop.after(timeout_s, self._probed, False)
        return True

    def close(self, connection_id, silent):
        """Closes a connection and ends the exchange on it."""
        exchange = self.exchanges.get(connection_id)
        if exchange is None:
            self._closed(connection_id)
        else:
            outcome = SubOutcome.SILENT if silent else SubOutcome.TIMED_OUT
            self._end(exchange, outcome, usable=False)

    def _arrive(self, exchange, sub_request, remaining):
        key = (self.entry.entry_id, exchange.connection_id)

        def reply(answer):
            self.loop.after(self.hop_s, self._replied, exchange, answer)

        self.searcher.receive(key, sub_request, remaining, reply)

    def _replied(self, exchange, answer):
        self._end(
            exchange, answer.outcome, usable=answer.connection_usable, answer=answer
        )

    def _refused(self, exchange):
        self._end(
            exchange, SubOutcome.NOT_SENT, usable=False, reason="connection_refused"
        )

    def _expire(self, exchange):
        self._end(exchange, SubOutcome.TIMED_OUT, usable=False)

    def _searcher_terminated(self):
        # The kernel closes the connections when the searcher's process ends.
        self.loop.after(self.hop_s, self._connections_closed)

    def _connections_closed(self):
        for connection_id in list(self.logic_idle()):
            self.entry._queue_event(self, self.logic.connection_lost, connection_id)

    def logic_idle(self):
        """Returns the ids of the idle connections of the logic."""
        connections = getattr(self.logic, "connections", None)
        return connections.idle if connections is not None else self.logic.idle

    def _probed(self, answered):
        self.entry._queue_event(self, self.logic.probe_finished, answered)

    def _probe_refused(self):
        event = self.logic.probe_finished
        self.entry._queue_event(self, event, False, sent=False)

    def _closed(self, connection_id):
        key = (self.entry.entry_id, connection_id)
        self.loop.after(self.hop_s, self.searcher.connection_closed, key)

    def _end(self, exchange, outcome, *, usable, answer=None, reason=""):
        if exchange.done:
            return
        exchange.done = True
        del self.exchanges[exchange.connection_id]
        if not usable:
            self._closed(exchange.connection_id)
        fields = {"reason": reason}
        if answer is not None:
            fields = {
                "reason": answer.reason,
                "snapshot": answer.snapshot,
                "documents": answer.documents,
                "hits": answer.hits,
                "reported_load": answer.load,
            }
        result = SubResult(
            sub_request_id=exchange.sub_request_id,
            upstream_id=self.searcher.spec.upstream_id,
            partition="",
            outcome=outcome,
            **fields,
        )
        self.entry._queue_event(
            self, self.logic.finished, result, connection_usable=usable
        )
