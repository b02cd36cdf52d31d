"""Steps for claims under wrong clocks, on the state machine alone."""

from behave import given, then, when

from plantainstage._membership.claims import apply_claim, apply_complete
from plantainstage._membership.commands import ClaimAttempt, CompleteAttempt
from plantainstage._membership.state import ReplicatedState
from plantainstage.messages import control

NOON_MS = 1_800_000_000_000
MINUTE_MS = 60_000
DAY_MS = 24 * 60 * MINUTE_MS
YEAR_MS = 365 * DAY_MS


def claim(context, *, id_ms, now_ms, nonce):
    context.reply = apply_claim(
        context.state,
        ClaimAttempt(
            request_id=f"{id_ms}-booking0",
            nonce=nonce,
            digest="d",
            entry_id="entry-1",
            incarnation="i1",
            deadline_ms=1000,
            now_ms=now_ms,
        ),
    )
    return context.reply


@given("a claimed booking of 12:00")
def claim_first(context):
    context.state = ReplicatedState()
    reply = claim(context, id_ms=NOON_MS, now_ms=NOON_MS, nonce="first")
    assert isinstance(reply, control.ClaimGranted), reply


@given("a claimed booking of 12:00 that was answered")
def answer_first(context):
    claim_first(context)
    outcome = control.ClaimOutcome(
        kind=control.ClaimOutcomeKind.ANSWERED, body=b"answer"
    )
    apply_complete(
        context.state,
        CompleteAttempt(request_id=f"{NOON_MS}-booking0", attempt=1, outcome=outcome),
    )
    assert context.state.kept_answers.total == len(b"answer")


@given("a claimed booking of two days later")
@when("a booking of two days later is claimed")
def claim_later(context):
    later_ms = NOON_MS + 2 * DAY_MS
    reply = claim(context, id_ms=later_ms, now_ms=later_ms, nonce="later")
    assert isinstance(reply, control.ClaimGranted), reply
    # The next claim drops the first one, which is beyond the retention.
    claim(context, id_ms=later_ms + 1, now_ms=later_ms - YEAR_MS, nonce="next")
    claim(context, id_ms=NOON_MS, now_ms=later_ms, nonce="other")


@when("a booking of 12:01 is claimed at a leader whose clock is a year ahead")
def claim_ahead(context):
    claim(context, id_ms=NOON_MS + MINUTE_MS, now_ms=NOON_MS + YEAR_MS, nonce="second")


@when("the booking of 12:00 is claimed again at a leader whose clock is behind")
def claim_behind(context):
    claim(context, id_ms=NOON_MS, now_ms=NOON_MS, nonce="again")


@then("that booking is refused as too old")
def check_refused(context):
    assert context.reply == control.ClaimRefused(code="request_too_old")


@then("the same booking is granted at a leader whose clock is right")
def check_granted(context):
    now_ms = NOON_MS + 2 * MINUTE_MS
    reply = claim(context, id_ms=NOON_MS + MINUTE_MS, now_ms=now_ms, nonce="third")
    assert isinstance(reply, control.ClaimGranted), reply


@then("one claim is kept")
def check_kept(context):
    assert len(context.state.claims) == len(context.state.claims_by_time) == 1


@then("no answer counts towards the limit")
def check_none_counts(context):
    assert not context.state.kept_answers.sizes
    assert context.state.kept_answers.total == 0
