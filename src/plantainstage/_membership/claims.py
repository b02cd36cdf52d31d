"""Claims of non-idempotent requests, which let each request run at most once."""

import re

import msgspec

from plantainstage._errors import check_invariant
from plantainstage._membership.state import ClaimKey, ClaimRecord, EntryProcess
from plantainstage._messages.control import (
    ClaimExists,
    ClaimGranted,
    ClaimOutcome,
    ClaimOutcomeKind,
    ClaimRefused,
    Done,
)

RETENTION_MS = 24 * 3600 * 1000
FUTURE_LIMIT_MS = 60 * 1000
_REQUEST_ID = re.compile(r"([0-9]{1,15})-[A-Za-z0-9_-]{8,64}")


def request_id_ms(request_id):
    """Returns the Unix time in a request id, or None if the id is malformed."""
    match = _REQUEST_ID.fullmatch(request_id)
    return int(match.group(1)) if match else None


def apply_claim(state, command):
    """Grants an attempt, or returns the outcome of an earlier one."""
    id_ms = request_id_ms(command.request_id)
    if id_ms is None:
        return ClaimRefused(code="request_id_invalid")
    _drop_expired_claims(state, command.now_ms)
    oldest_ms = max(state.claims_start_ms, command.now_ms - RETENTION_MS)
    if id_ms < oldest_ms or id_ms > command.now_ms + FUTURE_LIMIT_MS:
        return ClaimRefused(code="request_too_old")
    record = state.claims.get(command.request_id)
    if record is None:
        state.claims_by_time.add(ClaimKey(id_ms, command.request_id))
        return _grant(state, command, nonces=())
    if record.digest != command.digest:
        return ClaimRefused(code="request_id_reused")
    running = record.outcome.kind is ClaimOutcomeKind.RUNNING
    if running and record.nonces[-1] == command.nonce:
        return ClaimGranted(attempt=record.attempt)
    if (
        record.outcome.kind is ClaimOutcomeKind.NOT_RUN
        and command.nonce not in record.nonces
    ):
        return _grant(state, command, nonces=record.nonces)
    return ClaimExists(outcome=record.outcome)


def _grant(state, command, *, nonces):
    old = state.claims.get(command.request_id)
    check_invariant(
        old is None or old.outcome.kind is ClaimOutcomeKind.NOT_RUN,
        invariant="a claim is granted to one holder for each attempt",
        detail=f"{command.request_id} is {old and old.outcome.kind}",
    )
    record = ClaimRecord(
        digest=command.digest,
        nonces=(*nonces, command.nonce),
        holder=EntryProcess(entry_id=command.entry_id, incarnation=command.incarnation),
        deadline_ms=command.deadline_ms,
        outcome=ClaimOutcome(kind=ClaimOutcomeKind.RUNNING),
    )
    state.claims[command.request_id] = record
    return ClaimGranted(attempt=record.attempt)


def apply_complete(state, command):
    """Records the first outcome of the newest attempt and ignores any other."""
    record = state.claims.get(command.request_id)
    if (
        record is not None
        and record.attempt == command.attempt
        and record.outcome.kind is ClaimOutcomeKind.RUNNING
    ):
        _check_not_final(command.request_id, record)
        state.claims[command.request_id] = msgspec.structs.replace(
            record, outcome=command.outcome
        )
        state.kept_answers.add(command.request_id, len(command.outcome.body))
        _drop_answers(state, command.keep_bytes)
    return Done(version=state.version)


def _drop_answers(state, keep_bytes):
    """Drops the oldest answers beyond the limit; digest and kind are kept."""
    for request_id in state.kept_answers.evict_beyond(keep_bytes):
        record = state.claims[request_id]
        state.claims[request_id] = msgspec.structs.replace(
            record, outcome=msgspec.structs.replace(record.outcome, body=b"")
        )


def _check_not_final(request_id, record):
    check_invariant(
        record.outcome.kind is ClaimOutcomeKind.RUNNING,
        invariant="the outcome of an attempt never changes",
        detail=f"{request_id} is {record.outcome.kind}",
    )


def _drop_expired_claims(state, now_ms):
    """Drops claims whose ids are too old to be accepted again.

    ``claims_start_ms`` never decreases, so that a leader whose clock is behind
    cannot grant a request whose claim was dropped. It stays a retention period
    behind the newest claimed id, so that a clock that was temporarily far ahead does
    not lead to the refusal of ids of the following days.
    """
    keys = state.claims_by_time
    if not keys:
        return
    start_ms = min(now_ms, keys[-1].id_ms) - RETENTION_MS
    state.claims_start_ms = max(state.claims_start_ms, start_ms)
    while keys and keys[0].id_ms < state.claims_start_ms:
        request_id = keys.pop(0).request_id
        del state.claims[request_id]
        state.kept_answers.discard(request_id)
