"""Claims of non-idempotent requests and their outcomes."""

from plantainstage._membership import commands
from plantainstage._messages import control
from plantainstage._messages.control import ClaimOutcome, ClaimOutcomeKind


async def claim_request(core, request):
    """Grants an attempt, or tells what became of an earlier one."""
    view = await core.leadership.view()
    result = await core.propose(
        commands.ClaimAttempt(
            request_id=request.request_id,
            nonce=request.nonce,
            digest=request.digest,
            entry_id=request.entry_id,
            incarnation=request.incarnation,
            deadline_ms=request.deadline_ms,
            now_ms=core.wall_ms(),
        )
    )
    match result:
        case control.ClaimGranted():
            view.note_claim(
                request_id=request.request_id,
                deadline_ms=request.deadline_ms,
                now=core.clock(),
            )
        case control.ClaimExists(outcome=outcome) if (
            outcome.kind is ClaimOutcomeKind.RUNNING
        ):
            return await _running(core, view, request.request_id)
    return result


async def _running(core, view, request_id):
    """Replies for a claim without outcome; a dead holder's ends as unknown."""
    record = core.state.claims.get(request_id)
    if record is None:
        return control.ClaimRefused(code="request_too_old")
    if view.claim_in_progress(request_id=request_id, record=record, now=core.clock()):
        return control.ClaimExists(outcome=record.outcome)
    await core.propose(
        commands.CompleteAttempt(
            request_id=request_id,
            attempt=record.attempt,
            outcome=ClaimOutcome(kind=ClaimOutcomeKind.UNKNOWN),
        )
    )
    view.forget_claim(request_id)
    # The holder's own outcome may have been committed first.
    final = core.state.claims.get(request_id, record)
    return control.ClaimExists(outcome=final.outcome)


async def complete_claim(core, request):
    """Commits the outcome of an attempt."""
    view = await core.leadership.view()
    if request.outcome.kind is ClaimOutcomeKind.RUNNING:
        return control.RequestRejected(
            code="not_an_outcome",
            message="A claim cannot be completed as running.",
            remedy="Complete it as answered, not_run or unknown.",
        )
    result = await core.propose(
        commands.CompleteAttempt(
            request_id=request.request_id,
            attempt=request.attempt,
            outcome=request.outcome,
        )
    )
    view.forget_claim(request.request_id)
    return result
