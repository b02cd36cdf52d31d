"""A routed request to one service."""

from plantainstage._gateway import answers
from plantainstage._gateway.messages import SearcherReply, reply_headers
from plantainstage._gateway.routed_request import RoutedRequest
from plantainstage._gateway.unexpected_failures import ends_on_failure


class SingleRequest(RoutedRequest):
    """A request that is answered by one searcher of one service."""

    kind = "single"

    @ends_on_failure
    def start(self):
        """Sends the request to the next service of the route."""
        service = self.router.next_service(self.route)
        self.uses_permits = self._may_use_permits([service])
        part = self._service_request(service)
        self.parts = [part]
        quarantined = self.router.end_checks.remaining_s(self.request)
        if not quarantined and self._leaves_to_helper():
            return
        self._record_permits(served=not part.excluded_s())
        part.start()
        self._schedule()

    def _is_out_of_reach(self):
        return not self.router.fleet.reaches(self.parts[0].service)

    @ends_on_failure
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

    @ends_on_failure
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
            return answers.retry_after_s(outcome.retry_after_s)
        if part.excluded_s():
            return answers.retry_after_s(part.excluded_s())
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
            is_of_searcher=True,
        )

    def _log_fields(self):
        part = self.parts[0]
        return {"service": part.service, "searchers": sorted(part.tried)}
