"""A single request to a single searcher."""

import asyncio

from plantainstage._gateway.messages import (
    STATUS_MISDIRECTED,
    CallFailure,
    FailureKind,
    SearcherReply,
)
from plantainstage._serving.searcher_observations import TROUBLE_SLOWNESS
from plantainstage._serving.searcher_reach import silent_after_s

# Other searchers are preferred for this time after a failed connection attempt.
UNREACHABLE_RETRY_S = 1.0
NO_CONNECTION = "no connection"
NOT_TO_BE_SENT = "not to be sent"
NO_REPLY_REASONS = frozenset({NO_CONNECTION, "reset"})


class Call:
    """Sends one request and updates the searcher's load from its outcome.

    ``on_done(call, outcome)`` is called exactly once, also if the call is abandoned.
    """

    def __init__(
        self, *, fleet, member, request, request_id, work_s, on_done, may_send
    ):
        self.fleet = fleet
        self.member = member
        self.request = request
        self.request_id = request_id
        self.work_s = work_s
        self.on_done = on_done
        self.may_send = may_send
        self.connection = None
        self.task = None
        self.timer = None
        self.sent_at = None
        self.over = False

    def start(self, remaining_s):
        """Sends on an idle connection, or opens one first."""
        loop = asyncio.get_running_loop()
        self.member.load.started(self, loop.time())
        self.timer = loop.call_later(remaining_s, self.abandon, "deadline_passed")
        connection = self.member.pool.take_idle(loop.time())
        if connection is None:
            self.task = asyncio.ensure_future(self._open())
        else:
            self._send(connection)

    def abandon(self, reason="abandoned"):
        """Abandons the call and closes its connection, so that the searcher stops."""
        if self.over:
            return
        # Set before the connection is closed, so that the close does not count as a
        # broken reply.
        self.over = True
        if self.connection is not None:
            connection, self.connection = self.connection, None
            self.member.pool.discard(connection)
            kind = FailureKind.ABANDONED
        else:
            kind = FailureKind.UNREACHABLE
            if self.task is not None:
                self.task.cancel()
        self._finish(CallFailure(kind=kind, reason=reason))

    async def _open(self):
        connection = await self.member.pool.open()
        if self.over:
            if connection is not None:
                self.member.pool.put_back(connection, None)
            return
        if connection is None:
            loop = asyncio.get_running_loop()
            self.member.load.avoid(loop.time() + UNREACHABLE_RETRY_S)
            failure = CallFailure(kind=FailureKind.UNREACHABLE, reason=NO_CONNECTION)
            self._finish(failure)
            return
        if not (self.may_send() and self.fleet.accepts(self.member)):
            self.member.pool.put_back(connection, None)
            failure = CallFailure(kind=FailureKind.UNREACHABLE, reason=NOT_TO_BE_SENT)
            self._finish(failure)
            return
        self._send(connection)

    def _send(self, connection):
        self.connection = connection
        self.sent_at = asyncio.get_running_loop().time()
        self.member.pool.exchange(
            connection,
            request=self.request,
            request_id=self.request_id,
            on_done=self._replied,
        )

    def _replied(self, outcome):
        self.connection = None
        if self.over:
            return
        self._finish(outcome)

    def _finish(self, outcome):
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self._update_load(outcome)
        self.on_done(self, outcome)
        self.fleet.retry_waiting(self.member.searcher.service)

    def _update_load(self, outcome):
        now = asyncio.get_running_loop().time()
        load = self.member.load
        started_at = load.ended(self)
        self._update_reach(outcome, now - started_at)
        self._observe(outcome, now - started_at)
        match outcome:
            case CallFailure(kind=FailureKind.ABANDONED):
                load.answered(
                    elapsed_s=max(now - started_at, self.work_s),
                    work_s=self.work_s,
                    now=now,
                )
            case CallFailure():
                load.failed(now)
            case reply:
                self._update_load_from_reply(reply, now)

    def _observe(self, outcome, elapsed_s):
        """Records the outcome for the other hosts."""
        if not self.fleet.shares_observations:
            return
        log = self.fleet.observations
        searcher_id = self.member.searcher.searcher_id
        slowness = max(0.1, elapsed_s / max(self.work_s, 1e-4))
        match outcome:
            case CallFailure(kind=FailureKind.ABANDONED):
                # Only a call that took long already says something.
                if slowness > TROUBLE_SLOWNESS:
                    log.record_answer(searcher_id, slowness)
            case SearcherReply(is_success=True):
                log.record_answer(searcher_id, slowness)
            case _:
                log.record_failure(searcher_id)

    def _update_reach(self, outcome, elapsed_s):
        watch = self.fleet.reach_watch
        if watch is None or self.fleet.is_evacuated(self.member):
            return
        start = self.member.searcher.start
        match outcome:
            case CallFailure(reason=reason) if reason in NO_REPLY_REASONS:
                watch.failed(start, connected=False)
            case CallFailure(kind=FailureKind.BROKEN):
                return  # bytes of the searcher have arrived
            case CallFailure() if elapsed_s > silent_after_s(self.work_s):
                watch.failed(start, connected=self.sent_at is not None)
            case CallFailure():
                return
            case _:
                watch.replied(start)

    def _update_load_from_reply(self, reply, now):
        load = self.member.load
        self.fleet.limits.record_reply(
            self.member.searcher, reply, sent_at=self.sent_at, now=now
        )
        self.fleet.wishes.record_reply(self.member.searcher, reply, now=now)
        self.fleet.warm_up.record_reply(
            self.member.searcher, reply, sent_at=self.sent_at, now=now
        )
        if reply.load is not None:
            load.reported(
                running=reply.load.running, waiting=reply.load.waiting, now=now
            )
        if reply.status == STATUS_MISDIRECTED:
            self.fleet.remove_searcher(self.member.searcher.searcher_id)
        elif reply.is_success:
            elapsed_s = now - self.sent_at
            load.answered(elapsed_s=elapsed_s, work_s=self.work_s, now=now)
        else:
            load.failed(now)
