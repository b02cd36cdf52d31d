"""Claims of non-idempotent requests and their outcomes."""

from plantainstage._errors import NotLeaderError, OutcomeUnknownError
from plantainstage._membership import commands
from plantainstage._messages import control
from plantainstage._messages.control import ClaimOutcome, ClaimOutcomeKind


async def decide_batch(context, members):
    """Returns the replies to a batch, or a rejection of one that is too large."""
    if len(members) > control.MAX_BATCH_MEMBERS:
        return control.RequestRejected(
            code="batch_too_large",
            message=f"A batch of {len(members)} claims and outcomes was sent.",
            remedy=f"Send at most {control.MAX_BATCH_MEMBERS} together.",
        )
    replies = await decide(context, members)
    return control.ClaimBatchReplies(replies=_limit_answer_bytes(replies))


async def decide(context, members):
    """Commits claims and outcomes as one log entry; returns a reply for each."""
    view = await context.leadership.view()
    proposed = tuple(member for member in members if not _is_invalid(member))
    now_ms = context.wall_ms()
    results = ()
    if proposed:
        items = tuple(_command(context, member, now_ms) for member in proposed)
        results = await context.propose(commands.ClaimCommands(items=items))
    _record_results(context, view, proposed, results)
    await _end_orphaned_claims(context, view, proposed, results)
    decided = iter(zip(proposed, results, strict=True))
    return tuple(
        _not_an_outcome()
        if _is_invalid(member)
        else _reply(context, view, *next(decided))
        for member in members
    )


def _is_invalid(member):
    return (
        isinstance(member, control.CompleteClaim)
        and member.outcome.kind is ClaimOutcomeKind.RUNNING
    )


def _not_an_outcome():
    return control.RequestRejected(
        code="not_an_outcome",
        message="A claim cannot be completed as running.",
        remedy="Complete it as answered, not_run or unknown.",
    )


def _command(context, member, now_ms):
    match member:
        case control.ClaimRequest():
            return commands.ClaimAttempt(
                request_id=member.request_id,
                nonce=member.nonce,
                digest=member.digest,
                entry_id=member.entry_id,
                incarnation=member.incarnation,
                deadline_ms=member.deadline_ms,
                now_ms=now_ms,
            )
        case control.CompleteClaim():
            return commands.CompleteAttempt(
                request_id=member.request_id,
                attempt=member.attempt,
                outcome=member.outcome,
                keep_bytes=context.keep_bytes,
            )


def _record_results(context, view, members, results):
    """Records the times of running claims; must follow the commit without an await."""
    for member, result in zip(members, results, strict=True):
        match member:
            case control.ClaimRequest() if isinstance(result, control.ClaimGranted):
                view.record_claim(
                    request_id=member.request_id,
                    deadline_ms=member.deadline_ms,
                    now=context.clock(),
                )
            case control.CompleteClaim():
                view.remove_claim(member.request_id)


async def _end_orphaned_claims(context, view, members, results):
    """Completes as unknown the claims whose holders can no longer answer."""
    ended = {}
    for member, result in zip(members, results, strict=True):
        record = context.state.claims.get(member.request_id)
        if (
            _is_running(result)
            and record is not None
            and record.outcome.kind is ClaimOutcomeKind.RUNNING
            and not _in_progress(context, view, member.request_id, record)
        ):
            ended[member.request_id] = commands.CompleteAttempt(
                request_id=member.request_id,
                attempt=record.attempt,
                outcome=ClaimOutcome(kind=ClaimOutcomeKind.UNKNOWN),
            )
    if not ended:
        return
    try:
        await context.propose(commands.ClaimCommands(items=tuple(ended.values())))
    except NotLeaderError as error:
        # The members are committed; NotLeader would state that they had no effect.
        raise OutcomeUnknownError() from error
    for request_id in ended:
        view.remove_claim(request_id)


def _is_running(result):
    return (
        isinstance(result, control.ClaimExists)
        and result.outcome.kind is ClaimOutcomeKind.RUNNING
    )


def _in_progress(context, view, request_id, record):
    return view.claim_in_progress(
        request_id=request_id, record=record, now=context.clock()
    )


def _reply(context, view, member, result):
    """Returns the reply to a decided member; a running claim is read again."""
    if not _is_running(result):
        return result
    record = context.state.claims.get(member.request_id)
    if record is None:
        return control.ClaimRefused(code="request_too_old")
    # The holder's own outcome may have been committed in the meantime.
    return control.ClaimExists(outcome=record.outcome)


def _limit_answer_bytes(replies):
    """Limits the answers in one message; the client repeats the other members."""
    kept = []
    total = 0
    for reply in replies:
        size = _answer_size(reply)
        if size and total and total + size > control.MAX_BATCH_BYTES:
            kept.append(control.OutcomeUnknown())
        else:
            kept.append(reply)
            total += size
    return tuple(kept)


def _answer_size(reply):
    match reply:
        case control.ClaimExists(outcome=outcome):
            return len(outcome.body)
    return 0
