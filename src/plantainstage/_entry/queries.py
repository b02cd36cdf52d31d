"""Handling of a caller's request, from its body to the encoded reply."""

import asyncio
import time
import uuid
from dataclasses import dataclass

import msgspec
from loguru import logger

from plantainstage._entry.claims import (
    RecordedAnswer,
    convert_unclaimed_refusal,
    outcome_of_answer,
    outcome_of_refusal,
)
from plantainstage._entry.requests import (
    internal_error,
    parse_query,
    stopping_host,
    unconfirmed_configuration,
    unknown_profile,
)
from plantainstage._errors import InvariantViolation, RefusalError
from plantainstage._messages.callers import RefusalBody
from plantainstage._messages.control import ClaimOutcome, ClaimOutcomeKind
from plantainstage._messages.forward import SubOutcome
from plantainstage._reports.metrics import Metric

_encoder = msgspec.json.Encoder()


@dataclass(frozen=True, kw_only=True)
class EncodedReply:
    """HTTP status and JSON body of a reply to a caller."""

    status: int
    body: bytes


def encode_refusal(error, request_id):
    """Returns the EncodedReply of a RefusalError."""
    body = RefusalBody(
        error=error.code,
        run=error.run,
        message=error.message,
        remedy=error.remedy,
        request_id=request_id,
    )
    return EncodedReply(status=error.http_status, body=_encoder.encode(body))


class QueryService:
    """Answers or refuses requests; ``view`` is the current ConfigurationView."""

    def __init__(self, *, lease, gathers, claims, recorder, metrics):
        self.lease = lease
        self.gathers = gathers
        self.claims = claims
        self.recorder = recorder
        self.metrics = metrics
        self.view = None
        self.accepting = True
        self.active = set()

    def begin(self, data):
        """Returns the Query for an encoded request."""
        return Query(service=self, data=data)

    async def wait_idle(self):
        """Returns once no request is in progress."""
        while self.active:
            await asyncio.wait([query.done for query in self.active])


class Query:
    """One request of a caller."""

    def __init__(self, *, service, data):
        self.service = service
        self.data = data
        self.loop = asyncio.get_running_loop()
        self.arrived_at = self.loop.time()
        self.profile = None
        self.request_id = ""
        self.run = None
        self.caller_disconnected = False
        self.done = self.loop.create_future()

    async def reply(self):
        """Returns the EncodedReply, or None if the caller has disconnected."""
        self.service.active.add(self)
        try:
            return await self._reply()
        finally:
            self.service.active.discard(self)
            self.done.set_result(None)

    def on_caller_disconnect(self):
        """Cancels the request, since its reply can no longer be delivered."""
        self.caller_disconnected = True
        if self.run is not None:
            self.run.on_caller_disconnect()

    async def _reply(self):
        try:
            body = parse_query(self.data)
            self.request_id = body.request_id or uuid.uuid4().hex
            if body.idempotent:
                self._admit(body)
                encoded = await self._answer(body)
            else:
                encoded = await self._answer_claimed(body)
        except RefusalError as error:
            return self._refused(error)
        except InvariantViolation as error:
            logger.error("invariant violated", request_id=self.request_id, error=error)
            self.service.metrics.count(Metric.INVARIANT_VIOLATIONS)
            return self._refused(internal_error())
        return EncodedReply(status=200, body=encoded) if encoded else None

    def _admit(self, body):
        """Looks up the profile; refuses a request that this host must not start."""
        service = self.service
        if not service.accepting:
            raise stopping_host()
        if not service.lease.valid(self.loop.time()):
            raise unconfirmed_configuration()
        profile = service.view.profiles.get(body.profile)
        if profile is None:
            raise unknown_profile(body.profile)
        self.profile = profile

    async def _answer(self, body):
        """Runs the request; returns the encoded answer or raises RefusalError."""
        service = self.service
        self.run = service.gathers.start(
            request_id=self.request_id,
            profile=self.profile,
            body=body,
            view=service.view,
            arrived_at=self.arrived_at,
        )
        if self.caller_disconnected:
            self.run.on_caller_disconnect()
        finish = await self.run.outcome
        self._count_sub_requests(self.run.gather)
        if finish.refusal is not None:
            raise finish.refusal
        if finish.answer is None:
            return None
        self._count_answer(finish.answer.coverage)
        return _encoder.encode(finish.answer)

    async def _answer_claimed(self, body):
        try:
            self._admit(body)
        except RefusalError as error:
            raise convert_unclaimed_refusal(error) from error
        deadline = self.arrived_at + self.profile.deadline_ms / 1000
        remaining_s = deadline - self.loop.time()
        claimed = await self.service.claims.claim(body, remaining_s=remaining_s)
        if isinstance(claimed, RecordedAnswer):
            return claimed.body
        outcome = ClaimOutcome(kind=ClaimOutcomeKind.UNKNOWN)
        try:
            encoded = await self._answer(body)
            outcome = outcome_of_answer(encoded)
        except RefusalError as error:
            outcome = outcome_of_refusal(error)
            raise
        finally:
            await self.service.claims.record(claimed, outcome, until=deadline)
        return encoded

    # ---- Metrics and minute records ------------------------------------------

    def _refused(self, error):
        service = self.service
        name = self.profile.name if self.profile is not None else ""
        service.recorder.request_refused(
            profile=name, now=time.time(), code=error.code, run=error.run
        )
        service.metrics.count(Metric.REQUESTS, label=name)
        service.metrics.count(Metric.REFUSALS, label=error.code)
        return encode_refusal(error, self.request_id)

    def _count_answer(self, coverage):
        service = self.service
        elapsed_ms = (self.loop.time() - self.arrived_at) * 1000
        service.recorder.request_answered(
            profile=self.profile.name,
            now=time.time(),
            elapsed_ms=elapsed_ms,
            deadline_ms=self.profile.deadline_ms,
            documents_answered=coverage.documents_answered,
            documents_total=coverage.documents_total,
            minimum_coverage=self.profile.minimum_coverage,
        )
        service.metrics.count(Metric.REQUESTS, label=self.profile.name)
        service.metrics.timing(
            Metric.REQUEST_TIME, milliseconds=elapsed_ms, label=self.profile.name
        )

    def _count_sub_requests(self, gather):
        first = extra = 0
        for attempt in gather.attempts.values():
            if attempt.extra:
                extra += 1
            elif attempt.outcome is not SubOutcome.NOT_SENT:
                first += 1
        self.service.recorder.sub_requests_sent(
            profile=self.profile.name, now=time.time(), first=first, extra=extra
        )
        self.service.metrics.count(Metric.FIRST_SUB_REQUESTS, value=first)
        self.service.metrics.count(Metric.EXTRA_SUB_REQUESTS, value=extra)
