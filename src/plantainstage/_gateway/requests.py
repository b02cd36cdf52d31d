"""The two kinds of routed requests: to one service, and to all shards."""

import asyncio
from collections.abc import Callable

import xxhash
from tornado import httputil

from plantainstage._gateway import answers
from plantainstage._gateway.messages import (
    CallerRequest,
    SearcherReply,
    reply_headers,
    request_head,
)
from plantainstage._gateway.service_request import ServiceRequest
from plantainstage._serving import gathering
from plantainstage._serving.configuration import AllOf, OneOf, Route
from plantainstage._serving.gathering import GatherLimits, Progress, Step
from plantainstage._serving.records import greatest_records

# Calls that are still running when the answer is sent may end within this time, so
# that their connections can be reused.
UNFINISHED_CALL_GRACE_S = 0.25
# The decisions for a service that took at least this share of the time of a late or
# failed request are logged.
SLOW_SERVICE_SHARE = 0.5
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
        self.uses_permits = True
        self.is_limited = False  # whether it needs permits of limited searchers
        self.timer = None
        self.over = False

    def caller_disconnected(self):
        """Ends the request, since the caller has closed its connection."""
        if self.over:
            return
        self._close(DISCONNECT_GRACE_S)
        self._log("caller_left", status=0)

    def _budget_rank(self):
        return 0.0

    def _may_use_permits(self, services):
        """Whether the request may use permits, if one of the services needs them."""
        if not any(map(self.router.fleet.needs_permits, services)):
            return True
        self.is_limited = True
        return self.router.permit_priority.may_use(self.route.priority)

    def _record_permits(self, *, served):
        if self.is_limited:
            self.router.permit_priority.record(
                self.route.priority, served=served, now=self.loop.time()
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
        )

    def _finish(self, answer):
        if self.over:
            return
        self._close(UNFINISHED_CALL_GRACE_S)
        self.reply(answer)
        self._log(answer.reason or "answered", status=answer.status)

    def _close(self, grace_s):
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        running = [part for part in self.parts if part.calls]
        for part in self.parts:
            part.over = True
            part.abandon_overloaded()
        if running:
            self.loop.call_later(grace_s, _abandon_all, running)

    def _log(self, outcome, *, status):
        elapsed_s = self.loop.time() - self.request.received_at
        elapsed_ms = elapsed_s * 1000
        self._count(status, elapsed_s)
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
        if status == 200 and elapsed_ms <= self.route.aim_ms:
            self.router.events.log_ordinary("request", **fields)
        else:
            self.router.events.log_event("request", **fields)
            self._log_decisions(elapsed_s)

    def _log_decisions(self, elapsed_s):
        """Logs the decisions for services that failed, retried or were slow."""
        for part in self.parts:
            if (
                part.succeeded_at_once
                and part.duration_s < SLOW_SERVICE_SHARE * elapsed_s
            ):
                continue
            for decision in part.decisions:
                self.router.events.log_event(
                    "decision",
                    request_id=self.request.request_id,
                    service=part.service,
                    **decision.fields(self.request.received_at),
                )

    def _count(self, status, elapsed_s):
        metrics = self.router.metrics
        metrics.requests.labels(self.kind, status).inc()
        metrics.request_seconds.labels(self.kind).observe(elapsed_s)

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


class SingleRequest(RoutedRequest):
    """A request that is answered by one searcher of one service."""

    kind = "single"

    def start(self):
        """Sends the request to the next service of the route."""
        service = self.router.next_service(self.route)
        self.uses_permits = self._may_use_permits([service])
        part = self._service_request(service)
        self.parts = [part]
        self._record_permits(served=not part.permit_wait_s())
        part.start()
        self._schedule()

    def _schedule(self):
        if self.over:
            return
        now = self.loop.time()
        if now >= self.end_at:
            self._time_out()
            return
        wake_at = self.end_at
        if self.parts[0].is_idempotent:
            wake_at = min(wake_at, self._next_hedge(now) or wake_at)
        self.timer = self.loop.call_at(wake_at, self._schedule)

    def _time_out(self):
        part = self.parts[0]
        if part.runs or part.calls:
            self._finish(answers.timed_out())
        else:
            self._finish(answers.refusal(reason="no_room_in_time"))

    def _part_done(self, part, outcome):
        if isinstance(outcome, SearcherReply):
            self._finish(self._forward_reply(outcome, ""))
        elif outcome.reply is not None:
            self._finish(self._forward_reply(outcome.reply, outcome.reason))
        elif outcome.not_run:
            retry_s = self._retry_after_s(part, outcome)
            refusal = answers.refusal(reason=outcome.reason, retry_after_s=retry_s)
            self._finish(refusal)
        else:
            self._finish(answers.failed(reason=outcome.reason))

    def _retry_after_s(self, part, outcome):
        if outcome.retry_after_s is not None:
            return max(answers.RETRY_BUSY_S, outcome.retry_after_s)
        known = self.router.fleet.count(part.service)
        return answers.RETRY_BUSY_S if known else answers.RETRY_NO_SEARCHER_S

    def _forward_reply(self, reply, reason):
        if 200 <= reply.status < 300 and not reply.signature:
            return answers.failed(reason="unsigned_success")
        return answers.Answer(
            status=reply.status,
            body=reply.body,
            headers=reply_headers(reply, self.router.names),
            reason=reason,
        )

    def _log_fields(self):
        part = self.parts[0]
        return {"service": part.service, "searchers": sorted(part.tried)}


class GatherRequest(RoutedRequest):
    """A request to all shards, answered with the greatest of their records."""

    kind = "gather"

    def start(self):
        """Sends the request to all shards except those skipped as too slow."""
        target = self.route.target
        self.answered = {}  # service -> SearcherReply
        self.failures = []
        used_s = self.router.used_by_earlier_attempts_s(
            self.route, self.request.deadline_ms
        )
        self.limits = GatherLimits(
            shards=len(target.shards),
            needed=target.needed,
            partial_answer_at=gathering.partial_answer_time(
                received_at=self.request.received_at,
                aim_s=self.route.aim_ms / 1000,
                used_s=used_s,
            ),
            end_at=self.end_at,
        )
        known = sum(1 for s in target.shards if self.router.fleet.count(s))
        if known < target.needed:
            self._finish(
                answers.refusal(
                    reason="too_few_shards_known",
                    retry_after_s=answers.RETRY_NO_SEARCHER_S,
                )
            )
            return
        self.uses_permits = self._may_use_permits(target.shards)
        self.parts = [self._service_request(service) for service in target.shards]
        limited = self._limited_waits()
        allowed = self.limits.shards - self.limits.needed
        self._record_permits(served=len(limited) <= allowed)
        if len(limited) > allowed:
            self._refuse_limited(limited, allowed)
            return
        for part in self._late_parts(limited, allowed - len(limited)):
            part.leave_out()
        for part in self.parts:
            if not part.over:
                part.start()
        self._step()

    def _limited_waits(self):
        """Returns the wait for a permit by shard, where rate limits exclude it now."""
        if not self.is_limited:
            return {}
        waits = {part.service: part.permit_wait_s() for part in self.parts}
        return {name: wait_s for name, wait_s in waits.items() if wait_s}

    def _refuse_limited(self, limited, allowed):
        """Refuses the request before any shard gets it, as too many are excluded."""
        self.router.metrics.limited.inc(len(limited))
        enough_s = sorted(limited.values())[-allowed - 1]
        self._finish(
            answers.refusal(
                reason="searchers_limited",
                retry_after_s=max(answers.RETRY_BUSY_S, enough_s),
            )
        )

    def _late_parts(self, limited, allowed):
        """Returns the shards to skip, since they are not expected to answer in time.

        A shard whose searchers are all overloaded or slow would delay every request
        until a partial answer may be sent, and its queue would never shrink. The
        slowest shards are skipped, as many as ``allowed``, besides those that rate
        limits exclude.
        """
        work_s = self.router.work_time(self.route).median.value
        remaining_s = self.limits.partial_answer_at - self.loop.time()
        late = []
        for part in self.parts:
            if part.service in limited:
                continue
            choice = part.best_choice()
            expected_s = (
                choice.expected_s if choice is not None else work_s + remaining_s
            )
            if expected_s > remaining_s:
                late.append((expected_s, part))
        late.sort(key=lambda item: -item[0])
        return [part for _, part in late[:allowed]]

    def _budget_rank(self):
        """Returns one rank for all shards, a hash of the request id."""
        return xxhash.xxh32_intdigest(self.request.request_id.encode()) / 2**32

    def _part_done(self, part, outcome):
        if self.over:
            return
        if isinstance(outcome, SearcherReply):
            self.answered[part.service] = outcome
        else:
            self.failures.append(outcome)
        if self.timer is not None:
            self._step()

    def _step(self):
        if self.over:
            return
        now = self.loop.time()
        progress = Progress(
            answered=len(self.answered),
            pending_shards=len(self.parts) - len(self.answered) - len(self.failures),
        )
        match gathering.next_step(self.limits, progress, now):
            case Step.ANSWER:
                self._answer()
            case Step.GIVE_UP:
                self._give_up(now)
            case Step.WAIT:
                self._wait(now)

    def _wait(self, now):
        if self.timer is not None:
            self.timer.cancel()
        wake_at = self._next_hedge(now) or self.end_at
        if now < self.limits.partial_answer_at:
            wake_at = min(wake_at, self.limits.partial_answer_at)
        self.timer = self.loop.call_at(min(wake_at, self.end_at), self._step)

    def _hedges_useful_until(self):
        """Returns when a partial answer may be sent, once the coverage suffices."""
        if len(self.answered) >= self.limits.needed:
            return self.limits.partial_answer_at
        return self.end_at

    def _answer(self):
        replies = list(self.answered.values())
        names = self.router.names
        headers = httputil.HTTPHeaders(
            {
                names.part_signatures: ", ".join(r.signature for r in replies),
                names.missing_parts: str(self.limits.shards - len(replies)),
                "Content-Type": "application/octet-stream",
            }
        )
        body = greatest_records(
            (reply.body for reply in replies), self.route.target.top_records
        )
        self.router.metrics.missing_parts.inc(self.limits.shards - len(replies))
        self._finish(answers.Answer(status=200, body=body, headers=headers))

    def _give_up(self, now):
        if not any(part.runs or part.calls for part in self.parts):
            self._finish(answers.refusal(reason="shards_unavailable"))
        elif now >= self.end_at:
            self._finish(answers.timed_out())
        else:
            self._finish(answers.failed(reason="too_few_shards"))

    def _log_fields(self):
        missing = [p.service for p in self.parts if p.service not in self.answered]
        return {"parts": len(self.answered), "missing": missing}


def start_request(*, router, route: Route, request: CallerRequest, reply: Callable):
    """Starts a request on its route and returns it."""
    match route.target:
        case OneOf():
            kind = SingleRequest
        case AllOf():
            kind = GatherRequest
    routed = kind(router=router, route=route, request=request, reply=reply)
    routed.start()
    return routed
