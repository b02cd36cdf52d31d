"""A routed request to all shards of an index."""

import xxhash
from tornado import httputil

from plantainstage._gateway import answers
from plantainstage._gateway.messages import SearcherReply
from plantainstage._gateway.routed_request import RoutedRequest
from plantainstage._gateway.service_request import QUARANTINED, SEARCHERS_LIMITED
from plantainstage._gateway.unexpected_failures import ends_on_failure
from plantainstage._serving import gathering
from plantainstage._serving.gathering import GatherLimits, Progress, Step
from plantainstage._serving.records import greatest_records


class GatherRequest(RoutedRequest):
    """A request to all shards, answered with the greatest of their records."""

    kind = "gather"

    @ends_on_failure
    def start(self):
        """Sends the request to all shards that are expected to answer in time.

        It is refused at once if it is quarantined, if too few shards are known, or if
        rate limits of their searchers exclude more of them than the answer may lack.
        """
        shards = self.route.target.shards
        self.answered = {}  # service -> SearcherReply
        self.failures = []
        self.unstarted = []  # parts that wait for the first one to be answered
        self.excluded = []  # shards, if rate limits are why the request is refused
        self.limits = self._gather_limits()
        remaining_s = self.router.end_checks.remaining_s(self.request)
        if remaining_s:
            self.router.metrics.quarantine_refusals.inc()
            self._refuse(QUARANTINED, remaining_s)
            return
        known = sum(1 for shard in shards if self.router.fleet.count(shard))
        if known < self.limits.needed:
            self._refuse("too_few_shards_known", answers.RETRY_NO_SEARCHER_S)
            return
        if self._leaves_to_helper():
            return
        self.uses_permits = self._may_use_permits(shards)
        self.parts = [self._service_request(shard) for shard in shards]
        limited = self._limited_waits()
        allowed = self.limits.shards - self.limits.needed
        self._record_permits(served=len(limited) <= allowed)
        if len(limited) > allowed:
            self._refuse_limited(limited, allowed)
            return
        for part in self._late_parts(limited, allowed - len(limited)):
            part.leave_out()
        self.unstarted = [part for part in self.parts if not part.over]
        on_trial = self.router.end_checks.is_on_trial(self.request)
        self._start_parts(1 if on_trial else len(self.unstarted))
        self._step()

    def _start_parts(self, count):
        starting, self.unstarted = self.unstarted[:count], self.unstarted[count:]
        for part in starting:
            part.start()

    def _is_out_of_reach(self):
        """Whether too few shards have answered or have a searcher in reach."""
        fleet = self.router.fleet
        if fleet.reach.is_clear:
            return False
        usable = sum(
            shard in self.answered or fleet.reaches(shard)
            for shard in self.route.target.shards
        )
        return usable < self.limits.needed

    def _gather_limits(self):
        target = self.route.target
        used_s = self.router.used_by_earlier_attempts_s(
            self.route, self.request.deadline_ms
        )
        return GatherLimits(
            shards=len(target.shards),
            needed=target.needed,
            partial_answer_at=gathering.partial_answer_time(
                received_at=self.request.received_at,
                aim_s=self.route.aim_ms / 1000,
                used_s=used_s,
            ),
            end_at=self.end_at,
        )

    def _refuse(self, reason, retry_after_s):
        self._finish(answers.refusal(reason=reason, retry_after_s=retry_after_s))

    def _limited_waits(self):
        """Returns the wait by shard, where the searchers' own wishes exclude it now."""
        if not self.is_limited and self.router.fleet.wishes.is_empty:
            return {}
        waits = {part.service: part.excluded_s() for part in self.parts}
        return {name: wait_s for name, wait_s in waits.items() if wait_s}

    def _refuse_limited(self, limited, allowed):
        """Refuses the request before any shard gets it, as too many are excluded."""
        self.router.metrics.limited.inc(len(limited))
        self.excluded = sorted(limited)
        enough_s = sorted(limited.values())[-allowed - 1]
        self._refuse(SEARCHERS_LIMITED, answers.retry_after_s(enough_s))

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

    @ends_on_failure
    def _part_done(self, part, outcome):
        if self.over:
            return
        if isinstance(outcome, SearcherReply):
            self.answered[part.service] = outcome
            self._start_parts(len(self.unstarted))
        else:
            self.failures.append(outcome)
            self._skip_unstarted()
        if self.timer is not None:
            self._step()

    def _skip_unstarted(self):
        """Ends the shards that wait for a trial which has failed."""
        unstarted, self.unstarted = self.unstarted, []
        for part in unstarted:
            part.leave_out()

    @ends_on_failure
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
        fields = {"parts": len(self.answered), "missing": missing}
        if self.excluded:
            fields["excluded"] = self.excluded
        return fields
