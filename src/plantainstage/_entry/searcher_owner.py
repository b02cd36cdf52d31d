"""Sends sub-requests to one searcher that this entry host owns.

Executes the actions of the searcher's ``OwnerQueue`` with sockets, timers and
HTTP. Events arrive as direct calls on the event loop: a queue and a task switch
for each of the five events of a sub-request would take a third of its CPU target
of 150 microseconds.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgspec
from loguru import logger

from plantainstage._decoding import decode_bytes
from plantainstage._entry.sub_request_status import statuses_of
from plantainstage._errors import ExchangeError, check_invariant
from plantainstage._limits.actions import (
    AbortExchange,
    CloseConnection,
    ProbeSearcher,
    ReportCrashedFingerprint,
    ReturnResult,
    StartExchange,
    WakeQueueAt,
)
from plantainstage._limits.owner_queue import OwnerQueue
from plantainstage._messages.forward import SubOutcome, SubResult
from plantainstage._messages.upstreams import (
    CancelBody,
    SearchAnswer,
    SearchBody,
    SearchRefusal,
    StatusBody,
)
from plantainstage._transport.http_pool import SearcherPool

TIMER_RESOLUTION_S = 1e-6
SEARCH_PATH = b"/v1/search"
CANCEL_PATH = b"/v1/cancel"
STATUS_PATH = b"/v1/status"
# The deadline sent to the searcher is earlier than the owner's by this much, so
# that its 504 arrives in time and the connection stays usable.
ANSWER_MARGIN_MS = 2.0
# How long the owner waits for the searcher's 504 after the deadline. The 504
# proves that the slot is free, and it keeps the connection usable. On a busy
# machine the searcher's timers fired more than 10 ms late, so that a slot freed at
# the deadline alone was used twice.
LATE_REPLY_TIMEOUT_S = 0.25
# An answer sent before the reply to a probe, on another connection, may arrive
# this much later than that reply.
LATE_ANSWER_GRACE_S = 0.01

_encoder = msgspec.json.Encoder()
_answer_decoder = msgspec.json.Decoder(SearchAnswer)
_refusal_decoder = msgspec.json.Decoder(SearchRefusal)


@dataclass(frozen=True, kw_only=True)
class _StatusResult:
    """The result that an HTTP status other than 200 stands for."""

    outcome: SubOutcome
    reason: str


_RESULT_BY_STATUS = {
    409: _StatusResult(outcome=SubOutcome.REFUSED, reason="snapshot_gone"),
    503: _StatusResult(outcome=SubOutcome.REFUSED, reason="shed"),
    499: _StatusResult(outcome=SubOutcome.CANCELLED, reason="cancelled"),
    504: _StatusResult(outcome=SubOutcome.TIMED_OUT, reason="deadline"),
}


def _refusal_matches(body, sub_request):
    """Whether a refusal carries the id of this sub-request."""
    try:
        refusal = decode_bytes(_refusal_decoder, body)
    except msgspec.MsgspecError:
        return False
    return refusal.sub_request_id == sub_request.sub_request_id


def connection_limit(connections):
    """Returns how many of a searcher's connections one owner may use."""
    return connections // 2


class _Exchange:
    """A sub-request that holds a slot until ``OwnerQueue.finished`` is called."""

    __slots__ = ("sub_request", "deadline", "connection_id", "sent")

    def __init__(self, *, sub_request, deadline, connection_id):
        self.sub_request = sub_request
        self.deadline = deadline
        self.connection_id = connection_id
        self.sent = False

    @property
    def abandon_at(self):
        """When the owner abandons the exchange, in seconds on the loop's clock."""
        return self.deadline + LATE_REPLY_TIMEOUT_S if self.sent else self.deadline


class SearcherOwner:
    """The queue, the connections and the running exchanges of one searcher.

    ``on_result`` is called with the requester's entry id and the SubResult,
    ``on_crashes`` with a ReportCrashedFingerprint, and ``on_probe`` with the
    profile that a sent probe is charged to.
    """

    def __init__(
        self,
        *,
        upstream,
        lease,
        quarantines,
        budgets,
        weights,
        on_result: Callable,
        on_crashes: Callable,
        on_probe: Callable,
    ):
        self.upstream = upstream
        self.lease = lease
        self.quarantines = quarantines
        self.on_result = on_result
        self.on_crashes = on_crashes
        self.on_probe = on_probe
        self.loop = asyncio.get_running_loop()
        self.queue = OwnerQueue(
            upstream_id=upstream.upstream_id,
            slots=upstream.slots,
            connections=upstream.connections,
            lease=lease,
            quarantines=quarantines,
            budgets=budgets,
            weights=weights,
        )
        self.pool = SearcherPool(
            address=upstream.address,
            limit=connection_limit(upstream.connections),
            on_lost=self._on_connection_lost,
        )
        self.exchanges = {}
        self.timer = None
        self.deadline_timer = None
        self.pending = deque()
        self.executing = False

    # ---- Ownership -----------------------------------------------------------

    def begin_ownership(self, epoch):
        """Sets the epoch of the ownership and opens connections."""
        self.queue.begin_ownership(epoch=epoch)
        self.pool.closing = False
        self.open_missing_connections()

    def update(self, upstream):
        """Applies a newer record of the searcher, whose limits may have changed."""
        check_invariant(
            upstream.address == self.upstream.address,
            invariant="one address for each owner queue",
            detail=f"{upstream.upstream_id}: {upstream.address}",
        )
        self.upstream = upstream
        self.queue.slots = upstream.slots
        self.pool.limit = connection_limit(upstream.connections)
        self.queue.connections.limit = max(self.pool.limit - 1, 1)

    def open_missing_connections(self):
        """Opens connections until there is one for each slot of the searcher."""
        if self.queue.epoch is not None and self.lease.valid(self.loop.time()):
            self.pool.open_missing_connections(self.queue.slots, self.loop.time())

    def end_ownership(self):
        """Stops sending; running exchanges continue."""
        if self.queue.epoch is not None:
            self._execute(self.queue.end_ownership(self.loop.time()))
            self.pool.close()

    @property
    def released(self):
        """Whether no sub-request of this host can still run on the searcher."""
        return (
            self.queue.epoch is None
            and not self.exchanges
            and self.queue.idle(self.loop.time())
        )

    def abort(self):
        """Closes all sockets at the end of the process."""
        for timer in (self.timer, self.deadline_timer):
            if timer is not None:
                timer.cancel()
        self.pool.abort()

    # ---- Events --------------------------------------------------------------

    def submit(self, requester_id, sub_request):
        """Queues a sub-request of an entry host."""
        actions = self.queue.submit(requester_id, sub_request, self.loop.time())
        self._execute(actions)

    def cancel(self, sub_request_id):
        """Cancels a sub-request that its requester no longer needs."""
        self._execute(self.queue.cancel(sub_request_id, self.loop.time()))

    def _on_connection_lost(self, connection_id):
        self._execute(self.queue.connection_lost(connection_id, self.loop.time()))

    def _on_timer(self):
        self.timer = None
        self._execute(self.queue.on_timer(self.loop.time()))

    # ---- Actions -------------------------------------------------------------

    def _execute(self, actions):
        """Executes actions in order, including those that result from them.

        Executing an action may call the queue again; the actions that this
        returns are executed after all earlier ones.
        """
        self.pending.extend(actions)
        if self.executing:
            return
        self.executing = True
        try:
            while self.pending:
                self._execute_one(self.pending.popleft())
        finally:
            self.executing = False

    def _execute_one(self, action):
        match action:
            case StartExchange():
                self._start(action)
            case ReturnResult(requester_id=requester_id, result=result):
                self.on_result(requester_id, result)
            case WakeQueueAt(time=time):
                self._wake_at(time)
            case AbortExchange(sub_request_id=sub_request_id):
                self._abort(sub_request_id)
            case CloseConnection():
                reason = "silent" if action.silent else "closed"
                self.pool.close_connection(action.connection_id, reason)
            case ProbeSearcher():
                self._probe(action)
            case ReportCrashedFingerprint():
                self.on_crashes(action)

    def _wake_at(self, time):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(time, self._on_timer)

    def _start(self, action):
        exchange = _Exchange(
            sub_request=action.sub_request,
            deadline=action.deadline,
            connection_id=action.connection_id,
        )
        self.exchanges[action.sub_request.sub_request_id] = exchange
        if self.deadline_timer is None or self.deadline_timer.when() > action.deadline:
            self._check_deadlines_at(action.deadline)
        if action.open_connection:
            self.pool.assign(action.connection_id, partial(self._send, exchange))
        else:
            self._send(exchange, self.pool.connection(action.connection_id))

    def _send(self, exchange, connection):
        """Sends the sub-request unless it must no longer be sent."""
        if exchange.sub_request.sub_request_id not in self.exchanges:
            self.pool.close_connection(exchange.connection_id)
            return
        if connection is None or isinstance(connection, ExchangeError):
            self._finish_unsent(exchange, "connection_refused", usable=False)
            return
        now = self.loop.time()
        reason = self._reason_not_to_send(exchange, now)
        if reason:
            self._finish_unsent(exchange, reason, usable=not connection.closed)
            return
        sub_request = exchange.sub_request
        exchange.sent = True
        body = SearchBody(
            request_id=sub_request.request_id,
            sub_request_id=sub_request.sub_request_id,
            index=sub_request.index,
            snapshot=sub_request.snapshot,
            partition=sub_request.partition,
            query=msgspec.Raw(sub_request.query),
            remaining_ms=(exchange.deadline - now) * 1000 - ANSWER_MARGIN_MS,
        )
        connection.start_exchange(
            path=SEARCH_PATH,
            body=_encoder.encode(body),
            on_done=partial(self._on_exchange_done, exchange),
            on_first_byte=partial(self._on_first_byte, exchange),
        )

    def _reason_not_to_send(self, exchange, now):
        """Repeats checks of the queue whose results may have changed since then."""
        if not self.lease.valid(now):
            return "lease_expired"
        if self.queue.epoch != exchange.sub_request.epoch:
            return "not_owner"
        if self.quarantines.is_quarantined(exchange.sub_request.fingerprint, now):
            return "quarantined"
        if now * 1000 + ANSWER_MARGIN_MS >= exchange.deadline * 1000:
            return "deadline"
        return ""

    def _on_first_byte(self, exchange):
        self.queue.first_byte(exchange.sub_request.sub_request_id, self.loop.time())

    # ---- Results of exchanges ------------------------------------------------

    def _on_exchange_done(self, exchange, outcome):
        if isinstance(outcome, ExchangeError):
            result = self._result_of_error(exchange, outcome)
            self._finish(exchange, result, usable=False)
            return
        result = self._result_of_reply(exchange, outcome)
        if result.outcome is SubOutcome.INVALID:
            # The next bytes on it may be the reply to an earlier sub-request.
            self.pool.close_connection(exchange.connection_id, "invalid_reply")
        connection = self.pool.connection(exchange.connection_id)
        usable = connection is not None and not connection.closed
        self._finish(exchange, result, usable=usable)

    def _result_of_error(self, exchange, error):
        if not error.bytes_sent:
            return self._result(exchange, SubOutcome.NOT_SENT, error.reason)
        match error.reason:
            case "reset":
                return self._result(exchange, SubOutcome.RESET, error.reason)
            case "silent":
                self._cancel_at_searcher(exchange)
                return self._result(exchange, SubOutcome.SILENT, error.reason)
            case "deadline":
                self._cancel_at_searcher(exchange)
                return self._result(exchange, SubOutcome.TIMED_OUT, error.reason)
        return self._result(exchange, SubOutcome.INVALID, error.reason)

    def _result_of_reply(self, exchange, reply):
        """Returns the SubResult of an HTTP reply."""
        if reply.status == 200:
            return self._result_of_answer(exchange, reply.body)
        status_result = _RESULT_BY_STATUS.get(reply.status)
        if status_result is None:
            reason = f"status_{reply.status}"
            return self._result(exchange, SubOutcome.INVALID, reason)
        if not _refusal_matches(reply.body, exchange.sub_request):
            return self._result(exchange, SubOutcome.INVALID, "other_sub_request")
        return self._result(exchange, status_result.outcome, status_result.reason)

    def _result_of_answer(self, exchange, body):
        sub_request = exchange.sub_request
        try:
            answer = decode_bytes(_answer_decoder, body)
        except msgspec.MsgspecError:
            return self._result(exchange, SubOutcome.INVALID, "undecodable")
        if (
            answer.sub_request_id != sub_request.sub_request_id
            or answer.snapshot != sub_request.snapshot
            or answer.partition != sub_request.partition
        ):
            return self._result(exchange, SubOutcome.INVALID, "other_sub_request")
        return SubResult(
            sub_request_id=sub_request.sub_request_id,
            upstream_id=self.upstream.upstream_id,
            partition=answer.partition,
            outcome=SubOutcome.ANSWERED,
            snapshot=answer.snapshot,
            documents=answer.documents,
            hits=bytes(answer.hits),
            reported_load=answer.in_flight,
        )

    def _result(self, exchange, outcome, reason):
        return SubResult(
            sub_request_id=exchange.sub_request.sub_request_id,
            upstream_id=self.upstream.upstream_id,
            partition=exchange.sub_request.partition,
            outcome=outcome,
            reason=reason,
        )

    def _finish_unsent(self, exchange, reason, *, usable):
        result = self._result(exchange, SubOutcome.NOT_SENT, reason)
        self._finish(exchange, result, usable=usable)

    def _finish(self, exchange, result, *, usable):
        sub_request_id = exchange.sub_request.sub_request_id
        if self.exchanges.pop(sub_request_id, None) is None:
            return
        now = self.loop.time()
        self._execute(self.queue.finished(result, now, connection_usable=usable))

    def _check_deadlines_at(self, time):
        """Sets the timer that all exchanges share.

        Most exchanges end long before their deadline, so that a timer for each
        would be set and cancelled for nearly every one.
        """
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.deadline_timer = self.loop.call_at(time, self._check_deadlines)

    def _check_deadlines(self):
        self.deadline_timer = None
        # The event loop may fire a timer early by the resolution of its clock.
        now = self.loop.time() + TIMER_RESOLUTION_S
        for exchange in tuple(self.exchanges.values()):
            if exchange.abandon_at <= now:
                self._on_deadline(exchange)
        if self.exchanges and self.deadline_timer is None:
            earliest = min(item.abandon_at for item in self.exchanges.values())
            self._check_deadlines_at(earliest)

    def _on_deadline(self, exchange):
        if exchange.sent:
            self.pool.close_connection(exchange.connection_id, "deadline")
        else:
            self._finish_unsent(exchange, "deadline", usable=False)

    # ---- Cancellations and probes --------------------------------------------

    def _abort(self, sub_request_id):
        exchange = self.exchanges.get(sub_request_id)
        if exchange is None or not self.lease.valid(self.loop.time()):
            return
        if not exchange.sent:
            self._finish_unsent(exchange, "cancelled", usable=False)
            return
        self._request_cancel(sub_request_id)

    def _cancel_at_searcher(self, exchange):
        """Cancels a sub-request that may still run after its connection was closed.

        Its slot is held until the deadline, by which the searcher has to finish.
        A non-idempotent sub-request is never cancelled while it may run.
        """
        if exchange.sub_request.idempotent and self.lease.valid(self.loop.time()):
            self._request_cancel(exchange.sub_request.sub_request_id)

    def _request_cancel(self, sub_request_id):
        self.pool.send_auxiliary_request(
            path=CANCEL_PATH,
            body=_encoder.encode(CancelBody(sub_request_id=sub_request_id)),
            on_done=self._ignore,
        )

    def _ignore(self, outcome):
        """Does nothing: the exchange itself shows whether the cancellation worked."""

    def _probe(self, action):
        finished = False

        def done(outcome):
            nonlocal finished
            if finished:
                return
            finished = True
            limit.cancel()
            answered = not isinstance(outcome, ExchangeError)
            if not answered:
                logger.warning("probe failed", searcher=self.upstream.upstream_id)
            sent = answered or outcome.bytes_sent
            if sent:
                self.on_probe(action.profile)
            statuses = statuses_of(outcome, action.sub_request_ids)
            self.loop.call_later(
                LATE_ANSWER_GRACE_S if answered else 0,
                self._on_probe_finished,
                {"answered": answered, "sent": sent, "statuses": statuses},
            )

        error = ExchangeError(
            address=self.upstream.address, reason="probe_timeout", bytes_sent=True
        )
        limit = self.loop.call_later(action.timeout_s, done, error)
        if not self.lease.valid(self.loop.time()):
            return  # the probe counts as unanswered once it times out
        self.pool.send_auxiliary_request(
            path=STATUS_PATH,
            body=_encoder.encode(StatusBody(sub_request_ids=action.sub_request_ids)),
            on_done=done,
            reconnect=True,
        )

    def _on_probe_finished(self, reply):
        self._execute(self.queue.probe_finished(now=self.loop.time(), **reply))
