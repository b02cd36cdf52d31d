"""A routed request that another entry host runs, since this one is cut off."""

import asyncio

from plantainstage._gateway import answers
from plantainstage._gateway.decisions import Decision
from plantainstage._gateway.messages import (
    CallFailure,
    FailureKind,
    SearcherReply,
    relayed_request,
    reply_headers,
)
from plantainstage._gateway.relay_headers import (
    NEWER_CONFIGURATION,
    NO_ROUTE,
    OLDER_CONFIGURATION,
    OUT_OF_REACH,
    RELAY_NOT_RUN,
    RELAY_REFUSED,
    RelayOrigin,
)
from plantainstage._gateway.service_request import MIN_REMAINING_S
from plantainstage._gateway.unexpected_failures import (
    INTERNAL_ERROR,
    ends_on_failure,
)

# Helpers that get a request; each refusal or failure costs a round trip.
MAX_HELPERS = 2
# Reasons that say nothing of other requests.
REFUSALS_OF_REQUEST = frozenset(
    {OLDER_CONFIGURATION, NEWER_CONFIGURATION, NO_ROUTE, OUT_OF_REACH}
)
# Reasons that tell of a newer configuration than that of this host.
REFUSALS_AS_OUTDATED = frozenset({NEWER_CONFIGURATION, NO_ROUTE})


class PassedRequest:
    """Passes one request to a helper and its answer back to the caller.

    It goes to another helper only if the first one cannot have run it, since each
    helper has all attempts of the route. No searcher can have run it before.
    ``finish(answer)`` is called once.
    """

    def __init__(self, *, router, route, request, end_at, counted, finish):
        self.router = router
        self.route = route
        self.request = request
        self.end_at = end_at
        self.may_have_run = False  # behind a helper
        self.finish = finish
        self.origin = RelayOrigin(
            host_id=router.fleet.host_id,
            version=router.version,
            route=route.digest,
            counted=counted,
            account=request.account,
        )
        self.loop = asyncio.get_running_loop()
        self.tried = []
        self.decisions = []
        self.call = None
        self.timer = None

    # ---- Commands -----------------------------------------------------------------

    def start(self):
        """Sends the request to the first helper, or refuses it at once."""
        self.router.metrics.passed_on.inc()
        self.timer = self.loop.call_at(self.end_at, self._time_out)
        self._send("no_helper")

    def abandon(self):
        """Ends the request, since its caller has left."""
        self.timer.cancel()
        if self.call is not None:
            self.call.abandon()

    def fail(self):
        """Ends the request after an unexpected error in its work."""
        self.end(INTERNAL_ERROR)

    def end(self, reason: str):
        """Ends the request with an answer of this host."""
        self.may_have_run = self.may_have_run or self._is_at_helper()
        if self.call is not None:
            self.call.abandon()
        self._end(answers.unfinished(may_have_run=self.may_have_run, reason=reason))

    def _is_at_helper(self):
        return self.call is not None and self.call.connection is not None

    # ---- Sending ------------------------------------------------------------------

    def _send(self, reason):
        """Sends to the next helper, or ends the request for ``reason``."""
        now = self.loop.time()
        remaining_s = self.end_at - now
        address = self.router.helpers.hosts.choose(tried=self.tried, now=now)
        exhausted = len(self.tried) >= MAX_HELPERS or remaining_s < MIN_REMAINING_S
        if address is None or exhausted:
            self._give_up(reason)
            return
        self.tried.append(address)
        self._decide("pass_on", address)
        self.call = self.router.helpers.send(
            address,
            request=relayed_request(
                self.request,
                names=self.router.names,
                origin=self.origin,
                remaining_ms=int(remaining_s * 1000),
            ),
            request_id=self.request.request_id,
            on_done=self._replied,
        )

    def _give_up(self, reason):
        self._decide("given_up", outcome=reason)
        answer = answers.unfinished(
            may_have_run=self.may_have_run,
            reason=reason,
            retry_after_s=answers.RETRY_CUT_OFF_S,
        )
        self._end(answer)

    @ends_on_failure
    def _time_out(self):
        self.may_have_run = self.may_have_run or self._is_at_helper()
        self._decide("given_up", outcome="timed_out")
        if self.call is not None:
            self.call.abandon()
        if self.may_have_run:
            self._end(answers.timed_out())
        else:
            self._end(answers.refusal(reason="no_room_in_time"))

    def _end(self, answer):
        self.timer.cancel()
        self.finish(answer)

    def _decide(self, step, address="", outcome=""):
        decision = Decision(
            at=self.loop.time(), step=step, searcher=address, outcome=outcome
        )
        self.decisions.append(decision)

    # ---- Outcomes -----------------------------------------------------------------

    @ends_on_failure
    def _replied(self, outcome):
        address = self.tried[-1]
        self.call = None
        match outcome:
            case CallFailure(kind=kind, reason=reason):
                self._decide("outcome", address, reason)
                self.router.helpers.hosts.avoid(address, self.loop.time())
                self._failed(kind, reason)
            case SearcherReply() if RELAY_REFUSED in outcome.headers:
                reason = outcome.headers[RELAY_REFUSED]
                self._decide("outcome", address, f"refused: {reason}")
                if reason in REFUSALS_AS_OUTDATED:
                    self.router.on_outdated()
                if reason not in REFUSALS_OF_REQUEST:
                    self.router.helpers.hosts.avoid(address, self.loop.time())
                self._send("helpers_refused")
            case SearcherReply():
                self._decide("outcome", address, str(outcome.status))
                if 200 <= outcome.status < 300:
                    self.router.end_checks.request_answered(self.request)
                if RELAY_NOT_RUN not in outcome.headers:
                    self.may_have_run = True
                self._end(self._answer(outcome))

    def _failed(self, kind, reason):
        if kind is not FailureKind.UNREACHABLE:
            self.may_have_run = True
        if self.may_have_run:
            # The helper may have used all attempts of the route.
            self._end(answers.failed(reason=reason))
        else:
            self._send("helpers_unreachable")

    def _answer(self, reply):
        return answers.Answer(
            status=reply.status,
            body=reply.body,
            headers=reply_headers(reply, self.router.names),
            reason="passed_on",
        )
