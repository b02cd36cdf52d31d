"""What both kinds of routed requests have in common."""

import asyncio
from collections.abc import Callable

from plantainstage._gateway import answers
from plantainstage._gateway.messages import CallerRequest, request_head
from plantainstage._gateway.passed_request import PassedRequest
from plantainstage._gateway.relay_headers import OUT_OF_REACH
from plantainstage._gateway.service_request import (
    MIN_REMAINING_S,
    QUARANTINED,
    SEARCHERS_LIMITED,
    RequestProgress,
    ServiceRequest,
)
from plantainstage._gateway.unexpected_failures import (
    INTERNAL_ERROR,
    ends_on_failure,
)
from plantainstage._reports.account_counters import account_outcome
from plantainstage._serving import gathering
from plantainstage._serving.configuration import Route

# Calls that are still running when the answer is sent may end within this time, so
# that their connections can be reused.
UNFINISHED_CALL_GRACE_S = 0.25
# The decisions for a service that took at least this share of the time of a late or
# failed request are logged.
SLOW_SERVICE_SHARE = 0.5
UNANSWERED_STATUSES = frozenset({502, 503, 504})
DISCONNECT_GRACE_S = 0.05  # for running calls once the caller has disconnected


class RoutedRequest:
    """Base class of both kinds; ``reply`` is called once with the Answer.

    It is not called if the caller disconnects first.
    """

    kind = ""  # label in metrics

    def __init__(
        self, *, router, route: Route, request: CallerRequest, reply: Callable
    ):
        self.router = router
        self.route = route
        self.request = request
        self.reply = reply
        self.loop = asyncio.get_running_loop()
        timeout_ms = route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        self.end_at = request.received_at + timeout_ms / 1000
        self.version = router.version
        self.head = request_head(request, router.names)
        self.rank = self._budget_rank()
        self.parts = []
        self.progress = RequestProgress()
        self.uses_permits = True
        self.is_limited = False  # whether it needs permits of limited searchers
        self.timer = None
        self.over = False
        self.replied = False  # or the caller has left
        self.passed = None  # PassedRequest, once a helper has the request
        router.running.add(self)

    @property
    def is_untouched(self):
        """Whether no searcher can have got the request, nor can get it any more."""
        if self.passed is not None:
            return self.passed.call is None and not self.passed.may_have_run
        return not any(part.runs or part.calls for part in self.parts)

    @property
    def may_have_run(self):
        """Whether a searcher has got the request, here or behind a helper."""
        if self.passed is not None:
            return self.passed.may_have_run
        return any(
            part.runs
            or part.sending
            or any(call.sent_at is not None for call in part.calls)
            for part in self.parts
        )

    def caller_disconnected(self):
        """Ends the request, since the caller has closed its connection."""
        self.replied = True
        if self.passed is not None:
            self.passed.abandon()
        elif self.over:
            return
        else:
            self._close(DISCONNECT_GRACE_S)
        self._log("caller_left", status=0)

    def end(self, reason: str):
        """Answers the request now: refused if it cannot have run, else failed."""
        if self.passed is not None:
            self.passed.end(reason)
        elif not self.over:
            self._end_unfinished(reason)

    def fail(self):
        """Answers the request after an unexpected error in its work."""
        if self.replied:
            return
        if self.passed is not None:
            self.passed.fail()
            return
        self._end_unfinished(INTERNAL_ERROR)

    def _end_unfinished(self, reason):
        answer = answers.unfinished(may_have_run=self.may_have_run, reason=reason)
        self._close(0.0)
        self._answer_caller(answer)

    # ---- Passing on to a helper -----------------------------------------------------

    @ends_on_failure
    def pass_on_if_stuck(self):
        """Passes the request on if this host cannot get an answer to it."""
        if self.over or not self._may_pass_on() or not self._is_out_of_reach():
            return
        self._pass_on()

    def _is_out_of_reach(self):
        """Whether the searchers that this host reaches are too few for an answer."""
        raise NotImplementedError

    def _leaves_to_helper(self):
        """Passes a new request on, or refuses it, if no searcher is in reach.

        Returns whether it did. Without a helper the request is tried here, unless no
        searcher accepts connections: all searchers may be slow.
        """
        if not self._is_out_of_reach():
            return False
        if self.request.origin is not None:
            self._finish(answers.relay_refusal(reason=OUT_OF_REACH))
            return True
        if self._may_pass_on():
            self._pass_on()
            return True
        if self.router.fleet.reach.is_certain:
            retry_s = answers.RETRY_CUT_OFF_S
            refusal = answers.refusal(reason=OUT_OF_REACH, retry_after_s=retry_s)
            self._finish(refusal)
            return True
        return False

    def _may_pass_on(self):
        if self.request.origin is not None or not self.router.has_helper():
            return False
        if self.router.end_checks.remaining_s(self.request):
            return False
        # A helper has all attempts of the route, so none may have been used here.
        return not self.may_have_run

    def _pass_on(self):
        counted = any(part.decisions for part in self.parts)
        self._close(0.0)
        for part in self.parts:
            part.abandon()
        self.passed = PassedRequest(
            router=self.router,
            route=self.route,
            request=self.request,
            end_at=self.end_at,
            counted=counted,
            finish=self._answer_caller,
        )
        self.passed.start()

    def _answer_caller(self, answer):
        """Sends the only answer; all answers of routed requests leave here."""
        if self.replied:
            return
        self.replied = True
        answer = answers.without_false_promise(answer, may_have_run=self.may_have_run)
        self.reply(answer)
        self._log(
            answer.reason or "answered",
            status=answer.status,
            received_status=answer.received_status,
        )

    def _is_failure_to_reach(self, answer):
        """Whether a helper may still answer what this host could not."""
        if answer.status not in UNANSWERED_STATUSES or answer.is_of_searcher:
            return False
        if answer.reason in (QUARANTINED, SEARCHERS_LIMITED):
            return False
        remaining_s = self.end_at - self.loop.time()
        if remaining_s < MIN_REMAINING_S or not self._may_pass_on():
            return False
        return self._is_out_of_reach()

    # ---- Shared by both kinds -------------------------------------------------------

    @property
    def _priority(self):
        return self.request.priority_on(self.route)

    def _budget_rank(self):
        return 0.0

    def _may_use_permits(self, services):
        """Whether the request may use permits, if one of the services needs them."""
        if not any(map(self.router.fleet.needs_permits, services)):
            return True
        self.is_limited = True
        return self.router.permit_priority.may_use(self._priority)

    def _record_permits(self, *, served):
        if self.is_limited:
            self.router.permit_priority.record(
                self._priority, served=served, now=self.loop.time()
            )

    def _service_request(self, service):
        return ServiceRequest(
            router=self.router,
            route=self.route,
            service=service,
            request=self.request,
            head=self.head,
            end_at=self.end_at,
            rank=self.rank,
            on_done=self._part_done,
            uses_permits=self.uses_permits,
            progress=self.progress,
        )

    def _finish(self, answer):
        if self.over:
            return
        if self._is_failure_to_reach(answer):
            self._pass_on()
            return
        self._close(UNFINISHED_CALL_GRACE_S)
        self._answer_caller(answer)

    def _close(self, grace_s):
        self.over = True
        self.router.running.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        running = [part for part in self.parts if part.calls]
        for part in self.parts:
            part.over = True
            part.abandon_overloaded()
        if running:
            self.loop.call_later(grace_s, _abandon_all, running)

    def _log(self, outcome, *, status, received_status=None):
        elapsed_s = self.loop.time() - self.request.received_at
        elapsed_ms = elapsed_s * 1000
        self._count(outcome, status, elapsed_s)
        if self.router.room_gate is not None:
            gate = self.router.room_gate
            gate.finished(self.route, self.request, outcome, status)
        fields = {
            "request_id": self.request.request_id,
            "route": self.route.name,
            "version": self.version,
            "outcome": outcome,
            "status": status,
            "elapsed_ms": round(elapsed_ms, 1),
            "hedges": sum(part.hedged for part in self.parts),
            "rejections": sum(part.rejections for part in self.parts),
            **self._log_fields(),
        }
        if received_status is not None:
            fields["received_status"] = received_status
        if self.request.account is not None:
            fields["account"] = self.request.account
        if self.request.origin is not None:
            fields["passed_on_by"] = self.request.origin.host_id
        if self.passed is not None:
            fields["helpers"] = self.passed.tried
        if outcome == QUARANTINED:
            fields["fingerprint"] = self.request.fingerprint
        if status == 200 and elapsed_ms <= self.route.aim_ms:
            self.router.events.log_ordinary("request", **fields)
        else:
            self.router.events.log_event("request", **fields)
            self._log_decisions(elapsed_s)

    def _log_decisions(self, elapsed_s):
        """Logs the decisions for services that failed, retried or were slow."""
        if self.passed is not None:
            self._log_lines(self.passed.decisions)
        for part in self.parts:
            if (
                part.succeeded_at_once
                and part.duration_s < SLOW_SERVICE_SHARE * elapsed_s
            ):
                continue
            self._log_lines(part.decisions, service=part.service)

    def _log_lines(self, decisions, **fields):
        for decision in decisions:
            self.router.events.log_event(
                "decision",
                request_id=self.request.request_id,
                **fields,
                **decision.fields(self.request.received_at),
            )

    def _count(self, reason, status, elapsed_s):
        metrics = self.router.metrics
        metrics.requests.labels(self.kind, status).inc()
        metrics.request_seconds.labels(self.kind).observe(elapsed_s)
        if self.request.account:
            outcome = account_outcome(reason=reason, status=status)
            metrics.account_requests.count(self.request.account, outcome)

    def _log_fields(self):
        return {}

    def _next_hedge(self, now):
        """Sends the hedges that are due; returns when the next is due, or None."""
        after_s = gathering.hedge_after_s(
            aim_s=self.route.aim_ms / 1000,
            p90_work_s=self.router.work_time(self.route).p90.value,
        )
        soonest = None
        for part in self.parts:
            if part.over or part.hedged or part.sent_at is None:
                continue
            due_at = part.sent_at + after_s
            if due_at <= now:
                part.hedge(useful_until=self._hedges_useful_until())
            elif soonest is None or due_at < soonest:
                soonest = due_at
        return soonest

    def _hedges_useful_until(self):
        """Returns the time by which a hedge must be answered to be useful."""
        return self.end_at


def _abandon_all(parts):
    for part in parts:
        part.abandon()
