"""One request to one service: searcher selection, retries and hedges."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plantainstage._gateway.answers import RETRY_BUSY_S
from plantainstage._gateway.decisions import Decision
from plantainstage._gateway.messages import (
    CallerRequest,
    CallFailure,
    FailureKind,
    SearcherReply,
    addressed_request,
)
from plantainstage._gateway.unexpected_failures import (
    INTERNAL_ERROR,
    ends_on_failure,
)
from plantainstage._serving.configuration import Route, RouteKind

QUARANTINED = "request_quarantined"
SEARCHERS_LIMITED = "searchers_limited"
NO_ROOM_IN_TIME = "no_room_in_time"
ROOM_QUEUE_FULL = "room_queue_full"
SERVICE_EVACUATED = "service_evacuated"
# A request that is rejected more often than this is not retried.
MAX_REJECTIONS = 3
# A searcher with more requests than this multiple of its slots has a queue, in which
# a request that is no longer needed delays the others.
OVERLOAD_FACTOR = 1.5
# Until the check of a searcher whose connection broke has a verdict.
HOLD_BACK_S = 0.04
# With less remaining time than this no searcher could complete a request.
MIN_REMAINING_S = 0.002


@dataclass(frozen=True, kw_only=True)
class Failure:
    """Outcome of a request that did not succeed at a service.

    ``reply`` is a searcher's failure reply, if there is one to forward. ``not_run``
    guarantees that no searcher has run the request or will run it. ``retry_after_s``
    is when the rate limits of the searchers allow a request again, if they excluded it.
    """

    reason: str
    not_run: bool
    reply: SearcherReply | None = None
    retry_after_s: float | None = None


def _outcome_label(outcome):
    match outcome:
        case SearcherReply(is_success=True):
            return "success"
        case SearcherReply(not_run=True):
            return "rejected"
        case SearcherReply():
            return "failure"
        case CallFailure():
            return "no_reply"


def _describe(outcome):
    match outcome:
        case CallFailure(kind=kind, reason=reason):
            return f"{kind.value}: {reason}"
        case SearcherReply(status=status, not_run=True):
            return f"{status}, not run"
        case SearcherReply(status=status):
            return str(status)


@dataclass(kw_only=True)
class RequestProgress:
    """What the services of one request share: whether a searcher has answered it."""

    answered: bool = False


class ServiceRequest:
    """Obtains one answer to a request from the searchers of one service.

    ``on_done(self, outcome)`` is called once, with a successful SearcherReply or with
    a Failure. ``router`` holds the state that requests share.
    """

    def __init__(
        self,
        *,
        router,
        route: Route,
        service: str,
        request: CallerRequest,
        head: bytes,
        end_at: float,
        rank: float,
        on_done: Callable,
        uses_permits: bool = True,
        progress: "RequestProgress | None" = None,
    ):
        self.router = router
        self.route = route
        self.service = service
        self.request = request
        self.head = head
        self.end_at = end_at
        self.rank = rank  # for the retry budget
        self.on_done = on_done
        self.uses_permits = uses_permits  # of searchers that state a rate limit
        self.progress = progress or RequestProgress()
        self.calls = []  # in progress
        self.tried = set()
        self.runs = 0  # ended calls whose searcher may have run it
        self.rejections = 0
        self.hedged = False
        self.held_back = False
        self.waiting = False
        self.over = False
        self.sending = False  # also after a call whose start failed
        self.succeeded = False
        self.sent_at = None  # of the first call
        self.decisions = []
        self.last_reply = None
        self.last_reason = "no searcher is known"

    # ---- Queries ------------------------------------------------------------------

    @property
    def succeeded_at_once(self):
        """Whether the first call succeeded, without a wait, retry or hedge."""
        steps = [decision.step for decision in self.decisions]
        return self.succeeded and steps == ["send", "outcome"]

    @property
    def duration_s(self):
        """Time from the first decision to the last, in seconds."""
        if not self.decisions:
            return 0.0
        return self.decisions[-1].at - self.decisions[0].at

    @property
    def is_idempotent(self):
        """Whether the request may be run more than once, according to its route."""
        return self.route.kind is RouteKind.IDEMPOTENT

    @property
    def may_run_again(self):
        """Whether a further searcher may run the request."""
        return self.runs + len(self.calls) < self.attempts

    @property
    def attempts(self):
        """The maximum number of searchers that may run the request."""
        return self.route.attempts if self.is_idempotent else 1

    # ---- Commands -----------------------------------------------------------------

    def start(self):
        """Counts the request for the retry budget and sends it, or waits for room."""
        origin = self.request.origin
        if origin is None or not origin.counted:
            self.router.budget(self.service).count_request()
        self._send_first()

    def best_choice(self):
        """Returns the Choice of a searcher for the next call, or None."""
        work_s = self.router.work_time(self.route).median.value
        return self.router.fleet.choose(
            self.service,
            tried=self.tried,
            work_s=work_s,
            uses_permits=self.uses_permits,
        )

    def permit_wait_s(self) -> float:
        """Returns how long rate limits exclude the request at the service, or 0."""
        fleet = self.router.fleet
        if self.uses_permits:
            return fleet.permit_wait_s(self.service)
        return RETRY_BUSY_S if fleet.needs_permits(self.service) else 0.0

    def excluded_s(self) -> float:
        """Returns how long the searchers' own wishes exclude the request, or 0.

        These are rate limits and pauses; it is infinity if all searchers leave.
        """
        pause_s = self.router.fleet.pause_wait_s(self.service)
        return max(pause_s, self.permit_wait_s())

    def leave_out(self):
        """Ends the request without sending it."""
        self._add_decision("left_out")
        self._end(reason="left_out")

    def hedge(self, *, useful_until: float) -> bool:
        """Sends a hedge to another searcher if allowed; returns whether it was sent.

        No hedge is sent if it is not expected to be answered by ``useful_until``: it
        would load the searcher and use up the budget without effect.
        """
        self.hedged = True
        if not (self.is_idempotent and self.may_run_again):
            return False
        if not self._may_repeat():
            self._add_decision("no_hedge", outcome="searchers ended")
            return False
        choice = self.best_choice()
        now = asyncio.get_running_loop().time()
        if choice is None or choice.avoided or now + choice.expected_s > useful_until:
            self._add_decision("no_hedge", outcome="no searcher in time")
            return False
        budget = self.router.budget(self.service)
        if not budget.take():
            self._add_decision("no_hedge", outcome="budget exhausted")
            return False
        if not self._send("hedge"):
            budget.give_back()
            return False
        self.router.metrics.hedges.inc()
        return True

    def abandon_overloaded(self):
        """Ends calls to searchers with a queue, so that other requests can run."""
        now = asyncio.get_running_loop().time()
        for call in list(self.calls):
            load = call.member.load
            if load.estimated_requests(now) > OVERLOAD_FACTOR * load.searcher.slots:
                call.abandon()

    def abandon(self):
        """Ends all calls immediately, without a call of ``on_done``."""
        self.over = True
        for call in list(self.calls):
            call.abandon()

    def fail(self):
        """Ends the request after an unexpected error."""
        if self.over:
            return
        self.abandon()
        if self.sending:
            # The call whose start has failed may have reached its searcher.
            self.runs += 1
        self._add_decision("given_up", outcome=INTERNAL_ERROR)
        self._end(reason=INTERNAL_ERROR)

    def send_waiting(self) -> bool:
        """Sends a request that waits for room; returns whether it waits no longer."""
        return self._send_first()

    @ends_on_failure
    def turn_away_waiting(self, reason: str, *, retry_after_s: float):
        """Ends a request that cannot wait for room any longer."""
        if not self.over:
            self.router.metrics.room_queue_refusals.inc()
            self._add_decision("given_up", outcome=reason)
            self._end(reason=reason, retry_after_s=retry_after_s)

    # ---- Sending ------------------------------------------------------------------

    @ends_on_failure
    def _send_first(self):
        if self.over:
            return True
        if self._remaining_s() < MIN_REMAINING_S:
            self._add_decision("given_up", outcome="deadline_passed")
            self._end(reason="deadline_passed")
            return True
        if self._is_quarantined():
            return True
        if self._send("send"):
            return True
        if not self.router.fleet.count(self.service):
            reason = self._why_no_searcher()
            self._add_decision("given_up", outcome=reason)
            self._end(reason=reason)
            return True
        wait_s = self.excluded_s()
        if wait_s:
            self._turn_away(wait_s)
            return True
        if not self.waiting:
            self.waiting = True
            self._add_decision("wait", outcome="no searcher has room")
            return self._wait_for_room()
        return False

    def _wait_for_room(self):
        """Waits for room, or ends the request; returns whether it has ended."""
        if self.router.room_gate is not None:
            self.router.room_gate.wait(self, self._remaining_s())
            return self.over
        # The host's own callers come before those of a host that is cut off.
        priority = self.request.priority_on(self.route)
        rank = (priority, self.request.origin is not None)
        self.router.fleet.wait_for_room(self.service, rank, self._send_first)
        return False

    def _why_no_searcher(self):
        if self.router.fleet.is_only_evacuated(self.service):
            return SERVICE_EVACUATED
        return "no searcher is known"

    def _is_quarantined(self):
        """Ends the request at once if it is quarantined; returns whether it is."""
        remaining_s = self.router.end_checks.remaining_s(self.request)
        if not remaining_s:
            return False
        self.router.metrics.quarantine_refusals.inc()
        self._add_decision("given_up", outcome=QUARANTINED)
        self._end(reason=QUARANTINED, retry_after_s=remaining_s)
        return True

    def _may_repeat(self):
        return self.router.end_checks.may_repeat(self.request)

    def _may_send(self):
        return self.router.end_checks.may_send(self.request)

    def _turn_away(self, wait_s):
        """Ends the request at once, since the searchers' own wishes exclude it."""
        self.router.metrics.limited.inc()
        self._add_decision("given_up", outcome="limits or pauses of all searchers")
        self._end(reason=SEARCHERS_LIMITED, retry_after_s=wait_s)

    def _send(self, step):
        choice = self.best_choice()
        remaining_s = self._remaining_s()
        if choice is None or remaining_s < MIN_REMAINING_S:
            return False
        searcher_id = choice.load.searcher.searcher_id
        self.tried.add(searcher_id)
        now = asyncio.get_running_loop().time()
        self.decisions.append(Decision.sent(step=step, choice=choice, now=now))
        if self.sent_at is None:
            self.sent_at = now
        self.sending = True
        call = self.router.fleet.send(
            searcher_id,
            request=addressed_request(
                head=self.head,
                body=self.request.body,
                names=self.router.names,
                searcher_id=searcher_id,
                remaining_ms=int(remaining_s * 1000),
            ),
            request_id=self.request.request_id,
            remaining_s=remaining_s,
            work_s=self.router.work_time(self.route).median.value,
            on_done=self._call_done,
            may_send=self._may_send,
        )
        self.calls.append(call)
        self.sending = False
        return True

    def _add_decision(self, step, searcher="", outcome=""):
        now = asyncio.get_running_loop().time()
        decision = Decision(at=now, step=step, searcher=searcher, outcome=outcome)
        self.decisions.append(decision)

    def _remaining_s(self):
        return self.end_at - asyncio.get_running_loop().time()

    # ---- Outcomes -----------------------------------------------------------------

    @ends_on_failure
    def _call_done(self, call, outcome):
        self.calls.remove(call)
        self.router.metrics.calls.labels(_outcome_label(outcome)).inc()
        self._add_decision(
            "outcome", call.member.searcher.searcher_id, _describe(outcome)
        )
        if not outcome.not_run:
            self.runs += 1
        self._record_evidence(call, outcome)
        if self.over:
            return
        match outcome:
            case SearcherReply(is_success=True):
                elapsed = asyncio.get_running_loop().time() - call.sent_at
                self.router.metrics.call_seconds.observe(elapsed)
                self.router.work_time(self.route).observe(elapsed)
                self.over = self.succeeded = True
                self.on_done(self, outcome)
            case SearcherReply(not_run=True):
                self.last_reason = "rejected"
                self.rejections += 1
                self._try_again(arrived=True)
            case SearcherReply():
                self.last_reason = f"status {outcome.status}"
                self.last_reply = outcome
                self._try_again(arrived=True)
            case CallFailure(kind=kind, reason=reason):
                self.last_reason = reason
                self._try_again(arrived=kind is not FailureKind.UNREACHABLE)

    def _record_evidence(self, call, outcome):
        """Records what the outcome says about an end of the searcher."""
        checks = self.router.end_checks
        match outcome:
            case SearcherReply(shows_run=True):
                checks.searcher_answered(call.member)
                if not self.progress.answered:
                    self.progress.answered = True
                    checks.request_answered(self.request)
            case CallFailure(kind=FailureKind.BROKEN) if not self.progress.answered:
                checks.call_broken(self.request, call.member)

    def _try_again(self, *, arrived):
        """Retries at another searcher, or ends the request.

        ``arrived`` tells that the failed call may have reached its searcher; only then
        does the retry count against the budget.
        """
        if self._is_held_back():
            return
        if self._may_try_again():
            budget = self.router.budget(self.service)
            if not arrived or budget.take(rank=self.rank):
                if self._send("repeat"):
                    self.router.metrics.repeats.inc()
                    return
                if arrived:
                    budget.give_back()
        if not self.calls:
            self._end(reason=self.last_reason)

    def _is_held_back(self):
        """Puts a retry off once, until it is known what breaks before it mean."""
        if self.held_back or self.calls or self._may_repeat():
            return False
        if not self.may_run_again or self._remaining_s() < HOLD_BACK_S:
            return False
        self.held_back = True
        self._add_decision("hold_back", outcome="searchers may have ended")
        loop = asyncio.get_running_loop()
        loop.call_later(HOLD_BACK_S, self._repeat_held_back)
        return True

    @ends_on_failure
    def _repeat_held_back(self):
        if not self.over:
            self._try_again(arrived=True)

    def _may_try_again(self):
        if self._remaining_s() < MIN_REMAINING_S or self.rejections > MAX_REJECTIONS:
            return False
        if not self._may_repeat():
            self._add_decision("no_repeat", outcome="searchers ended")
            return False
        return self.may_run_again

    def _end(self, *, reason, retry_after_s=None):
        self.over = True
        failure = Failure(
            reason=reason,
            not_run=self.runs == 0,
            reply=self.last_reply,
            retry_after_s=retry_after_s,
        )
        self.on_done(self, failure)
