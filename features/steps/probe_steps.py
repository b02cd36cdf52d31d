"""Steps for probes of a searcher with silent or refused connections."""

from behave import given, then, when

from plantainstage._limits.owner_queue import (
    CloseConnection,
    ProbeSearcher,
    StartExchange,
)
from plantainstage._messages.configuration import Profile
from plantainstage._messages.forward import SubOutcome, SubResult
from support.owner_queue import started, sub_request, submit

PROFILE = Profile(name="a", index="i", deadline_ms=1000, extra_load_limit=0.05)
FIRST_FOR_ONE = 20  # first sub-requests per extra sub-request
STEP_S = 0.01
DEADLINE_S = 1.0


def finish(context, key, outcome, reason=""):
    result = SubResult(
        sub_request_id=key,
        upstream_id="r1",
        partition="p1",
        outcome=outcome,
        reason=reason,
    )
    context.actions += context.queue.finished(
        result, context.now, connection_usable=False
    )
    context.outcomes.append(outcome)


def take_actions(context):
    """Returns and clears the actions since the last call."""
    actions, context.actions = context.actions, []
    return actions


@given('the extra-load budget of "a" has room for {count:d} probe')
@given('the extra-load budget of "a" has room for {count:d} probes')
def make_room(context, count):
    context.outcomes = []
    context.probes = []
    budget = context.queue.budgets.for_profile(PROFILE)
    if count:
        budget.record_first(count * FIRST_FOR_ONE, sent_at=0.0, now=0.0)


@when('{count:d} sub-requests of "a" in turn get no byte until their deadline')
def run_silent(context, count):
    for number in range(count):
        item = sub_request(f"a{number}", "a", remaining_ms=DEADLINE_S * 1000)
        submit(context, item)
        deadline = context.now + DEADLINE_S
        while context.queue.running:
            context.now += STEP_S
            if context.now >= deadline:
                finish(context, item.sub_request_id, SubOutcome.TIMED_OUT)
            context.actions += context.queue.on_timer(context.now)
            answer_probes(context, item.sub_request_id)
        context.now += 2 * DEADLINE_S  # the held slot is free again


def answer_probes(context, key):
    """Replies to probes; ends the exchange if its connection is closed."""
    actions = take_actions(context)
    while actions:
        for action in actions:
            match action:
                case ProbeSearcher(profile=profile):
                    context.probes.append(profile)
                    context.actions += context.queue.probe_finished(True, context.now)
                case CloseConnection(silent=True):
                    finish(context, key, SubOutcome.SILENT)
        actions = take_actions(context)


def answer_status(context, probe, *, running):
    """Replies to a probe with ``running`` for each of its sub-requests."""
    context.probes.append(probe.profile)
    context.actions += context.queue.probe_finished(
        True, context.now, statuses=dict.fromkeys(probe.sub_request_ids, running)
    )


@then('{count:d} probes have been sent for "{profile}"')
def check_probes(context, count, profile):
    assert context.probes == [profile] * count, context.probes


@then(
    "{silent:d} sub-requests were closed as silent and {late:d} reached their deadline"
)
def check_outcomes(context, silent, late):
    assert context.outcomes.count(SubOutcome.SILENT) == silent, context.outcomes
    assert context.outcomes.count(SubOutcome.TIMED_OUT) == late, context.outcomes


@when('the searcher refuses every connection for {duration_s:d} s of requests of "a"')
def refuse_connections(context, duration_s):
    end = context.now + duration_s
    while context.now < end:
        context.now += STEP_S
        submit(context, sub_request(f"a{context.now}", "a"))
        context.actions += context.queue.on_timer(context.now)
        for action in take_actions(context):
            match action:
                case StartExchange(sub_request=item):
                    finish(
                        context,
                        item.sub_request_id,
                        SubOutcome.NOT_SENT,
                        "connection_refused",
                    )
                case ProbeSearcher(profile=profile):
                    context.probes.append(profile)
                    context.actions += context.queue.probe_finished(
                        False, context.now, sent=False
                    )
    assert context.outcomes, "no connection was refused"


@then('the extra-load budget of "a" still has room for 1 probe')
def check_room(context):
    assert context.probes, "no probe was tried"
    assert context.queue.budgets.take_for_any(["a"], context.now) is not None


@when("it accepts connections again")
def accept_connections(context):
    take_actions(context)


@then('the next sub-request of "a" within 1 s is started')
def check_tried(context):
    end = context.now + 1.0
    while context.now < end and not started(context):
        context.now += STEP_S
        context.actions += context.queue.on_timer(context.now)
        submit(context, sub_request(f"again{context.now}", "a"))
    assert len(started(context)) == 1, context.queue.silence.state


@when('the answer to a sub-request of "a" that runs for {duration_s:d} s is lost')
def lose_answer(context, duration_s):
    started_at = context.now
    submit(context, sub_request("long", "a"))
    while context.queue.running:
        context.now += STEP_S
        context.actions += context.queue.on_timer(context.now)
        for action in take_actions(context):
            match action:
                case ProbeSearcher():
                    running = context.now < started_at + duration_s
                    answer_status(context, action, running=running)
                case CloseConnection(silent=True):
                    finish(context, "long", SubOutcome.SILENT)
        assert context.now < started_at + 60, "the lost answer was not detected"
    context.detected_after_s = context.now - started_at


@when('{count:d} sub-requests of "a" in turn are cancelled after {duration_s:g} s')
def cancel_stragglers(context, count, duration_s):
    for number in range(count):
        item = sub_request(f"a{number}", "a")
        submit(context, item)
        cancelled_at = context.now + duration_s
        while context.queue.running:
            context.now += STEP_S
            context.actions += context.queue.on_timer(context.now)
            for action in take_actions(context):
                if isinstance(action, ProbeSearcher):
                    answer_status(context, action, running=True)
            if context.now >= cancelled_at:
                finish(context, item.sub_request_id, SubOutcome.CANCELLED)


@when(
    '{count:d} times a sub-request of "a" is answered and the next gets no byte for'
    " {duration_s:g} s"
)
def alternate(context, count, duration_s):
    for number in range(count):
        for outcome in (SubOutcome.ANSWERED, SubOutcome.TIMED_OUT):
            key = f"{outcome.value}-{number}"
            submit(context, sub_request(key, "a", remaining_ms=duration_s * 1000))
            context.now += duration_s if outcome is SubOutcome.TIMED_OUT else STEP_S
            finish(context, key, outcome)
            for action in take_actions(context):
                if isinstance(action, ProbeSearcher):
                    context.probes.append(action.profile)
                    context.actions += context.queue.probe_finished(True, context.now)
        context.now += DEADLINE_S  # the held slot is free again


@then("it is closed as silent after {low:g} s and before {high:g} s")
def check_detected(context, low, high):
    assert context.outcomes == [SubOutcome.SILENT], context.outcomes
    assert low <= context.detected_after_s < high, context.detected_after_s


@then("at most {count:d} probes have been sent")
def check_probe_count(context, count):
    assert len(context.probes) <= count, len(context.probes)
