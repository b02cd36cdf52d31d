"""Claims of non-idempotent requests and the recording of their outcomes.

The claim is committed before the first byte is sent to a searcher. The caller
gets its answer once the outcome is recorded, or at the profile's deadline;
recording then continues in the background. A resend in the meantime reads
``in_progress``, or ``unknown`` if this host dies before the outcome is recorded.
Neither contradicts the answer.
"""

import asyncio
import uuid
from dataclasses import dataclass

import msgspec
import xxhash
from loguru import logger

from plantainstage._errors import ControlUnavailableError, RefusalError
from plantainstage._messages import control
from plantainstage._messages.callers import RunState
from plantainstage._messages.control import ClaimOutcome, ClaimOutcomeKind

# How long to retry the recording of an outcome, and the claim whose reply was lost.
# If control has no majority for longer than this, the outcome reads as unknown.
RECORD_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2
# Answers are kept in the replicated state, for one day at most.
MAX_RECORDED_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class Claimed:
    """A granted claim: the request may run on this host, as this attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """The answer of an earlier attempt; ``body`` is the encoded answer."""

    body: bytes


def digest_of(body):
    """Returns the hash that distinguishes two requests with the same id."""
    identity = msgspec.msgpack.encode((body.profile, body.partitions))
    return xxhash.xxh3_128_hexdigest(identity + b"\0" + bytes(body.query))


class Claims:
    """Claims requests for this entry host and records their outcomes."""

    def __init__(self, *, client, entry):
        self.client = client
        self.entry = entry
        self.recordings = set()

    async def claim(self, body, *, remaining_s):
        """Returns Claimed or RecordedAnswer, or raises RefusalError."""
        request = control.ClaimRequest(
            request_id=body.request_id,
            nonce=uuid.uuid4().hex,
            digest=digest_of(body),
            entry_id=self.entry.entry_id,
            incarnation=self.entry.incarnation,
            deadline_ms=max(1, round(remaining_s * 1000)),
        )
        try:
            reply = await self.client.call(request, timeout_s=remaining_s)
        except ControlUnavailableError as error:
            # The claim may have been committed; release it, as it will not be used.
            self._in_background(self._release_claim(request))
            raise claim_unavailable() from error
        match reply:
            case control.ClaimGranted(attempt=attempt):
                return Claimed(request_id=body.request_id, attempt=attempt)
            case control.ClaimExists(outcome=outcome):
                return _answer_of_existing(outcome)
            case control.ClaimRefused(code="request_id_reused"):
                raise request_id_reused()
            case control.ClaimRefused(code="request_too_old"):
                raise request_too_old()
        logger.error("claim refused", reply=repr(reply))
        raise claim_unavailable()

    async def record(self, claimed, outcome, *, until):
        """Records the outcome; returns once it is recorded, or at ``until``."""
        task = self._in_background(self._record(claimed, outcome))
        remaining_s = until - asyncio.get_running_loop().time()
        await asyncio.wait([task], timeout=max(0.0, remaining_s))

    async def finish(self):
        """Waits until all outcomes in progress are recorded or have timed out."""
        while self.recordings:
            await asyncio.wait(self.recordings)

    def _in_background(self, work):
        task = asyncio.create_task(work)
        self.recordings.add(task)
        task.add_done_callback(self.recordings.discard)
        return task

    async def _record(self, claimed, outcome):
        request = control.CompleteClaim(
            request_id=claimed.request_id, attempt=claimed.attempt, outcome=outcome
        )
        if await self._call_until_reply(request) is None:
            logger.error("outcome not recorded", request_id=claimed.request_id)

    async def _release_claim(self, request):
        """Records a claim whose reply was lost as not run; nothing was sent for it."""
        reply = await self._call_until_reply(request)
        if isinstance(reply, control.ClaimGranted):
            claimed = Claimed(request_id=request.request_id, attempt=reply.attempt)
            await self._record(claimed, ClaimOutcome(kind=ClaimOutcomeKind.NOT_RUN))

    async def _call_until_reply(self, request):
        loop = asyncio.get_running_loop()
        limit = loop.time() + RECORD_TIMEOUT_S
        while loop.time() < limit:
            try:
                return await self.client.call(request, timeout_s=CALL_TIMEOUT_S)
            except ControlUnavailableError as error:
                logger.warning("control did not reply", error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
        return None


def _answer_of_existing(outcome):
    """Returns the recorded answer of an earlier attempt; raises RefusalError."""
    match outcome.kind:
        case ClaimOutcomeKind.ANSWERED if outcome.body:
            return RecordedAnswer(body=outcome.body)
        case ClaimOutcomeKind.RUNNING:
            raise RefusalError(
                code="in_progress",
                message="The request runs through another entry host or connection.",
                remedy="Send it again with the same request_id after the deadline.",
                run=RunState.IN_PROGRESS,
                http_status=409,
            )
        case ClaimOutcomeKind.ANSWERED:
            raise RefusalError(
                code="answer_not_kept",
                message="The request ran and was answered; its answer is not kept.",
                remedy="Query for its effect; do not send it under a new request_id.",
                run=RunState.DONE,
                http_status=409,
            )
    raise RefusalError(
        code="outcome_unknown",
        message="An earlier attempt may or may not have run; it is not run again.",
        remedy="Check with another request whether it took effect.",
        run=RunState.UNKNOWN,
        http_status=409,
    )


def outcome_of_answer(encoded):
    """Returns the outcome to record for an encoded answer."""
    kept = encoded if len(encoded) <= MAX_RECORDED_BYTES else b""
    return ClaimOutcome(kind=ClaimOutcomeKind.ANSWERED, body=kept)


def outcome_of_refusal(refusal):
    """Returns the outcome to record for a refusal of a running request."""
    if refusal.run is RunState.NOT_RUN:
        return ClaimOutcome(kind=ClaimOutcomeKind.NOT_RUN)
    return ClaimOutcome(kind=ClaimOutcomeKind.UNKNOWN)


def convert_unclaimed_refusal(refusal):
    """Returns a refusal made before the claim in the form sent to the caller.

    An earlier attempt with this id may have run through another host, so that
    ``not_run`` may be reported only after a claim.
    """
    if refusal.run is not RunState.NOT_RUN:
        return refusal
    return RefusalError(
        code=refusal.code,
        message=f"{refusal.message} This attempt was not run.",
        remedy=f"{refusal.remedy} Keep the request_id.",
        run=RunState.UNKNOWN,
        http_status=refusal.http_status,
    )


def claim_unavailable():
    """Returns the refusal of a request that could not be claimed in time."""
    return RefusalError(
        code="claim_unavailable",
        message=(
            "The request could not be claimed in time. This attempt was not run; "
            "earlier ones are unknown."
        ),
        remedy="Send it again with the same request_id, through any entry host.",
        run=RunState.UNKNOWN,
        http_status=503,
    )


def request_id_reused():
    """Returns the refusal of an id that was used for another request."""
    return RefusalError(
        code="request_id_reused",
        message="Another request was sent under this request_id.",
        remedy="Generate a new id for each request.",
        http_status=409,
    )


def request_too_old():
    """Returns the refusal of an id whose time is outside the accepted window."""
    return RefusalError(
        code="request_too_old",
        message=(
            "The time in the request_id is more than 24 h ago or more than 60 s "
            "ahead. This attempt was not run; earlier ones are unknown."
        ),
        remedy="Check the clock; generate a new id for a new request.",
        run=RunState.UNKNOWN,
        http_status=409,
    )
