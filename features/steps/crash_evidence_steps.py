"""Steps for the evidence that a request ends searchers."""

import msgspec
from behave import given, then, when

from plantainstage._limits.quarantine_times import QUARANTINE_S, fingerprint_of
from plantainstage._registry.crash_register import CrashRegister
from plantainstage._registry.recent import RecentState
from plantainstage._serving.crash_evidence import CrashEvidence, Standing
from plantainstage._serving.crash_reports import (
    CrashReport,
    CrashReportKind,
    SuspectedRequest,
)

UNIX_MS = 1_700_000_000_000
REQUEST = fingerprint_of(b"a.example", b"GET", b"/x")


def end(context, searcher, at, fingerprint=REQUEST):
    start = (searcher, 1)
    context.evidence.record_broken(fingerprint, start, at)
    context.evidence.record_end(start, at + 0.02)
    context.now = at + 0.03


@given("a host without evidence")
def step_host(context):
    context.evidence = CrashEvidence()
    context.now = 0.0


@when('"{searcher}" ends under the request at {at:g} s')
def step_end(context, searcher, at):
    end(context, searcher, at)


@when("a searcher answers the request at {at:g} s")
def step_answer(context, at):
    context.evidence.record_answer(REQUEST, at)
    context.now = at


@when(
    "a connection to each of {count:d} searchers breaks under the request, and they live "
    "on"
)
def step_breaks(context, count):
    for number in range(count):
        start = (f"s-{number}", 1)
        context.evidence.record_broken(REQUEST, start, now=1.0)
        context.evidence.record_alive(start, broken_before=1.1)


@when("{count:d} searchers end under the request within {seconds:g} s")
def step_ends_at_once(context, count, seconds):
    for number in range(count):
        end(context, f"s-{number}", 1.0 + number * seconds / count)


@when("control says that {count:d} searchers have ended under the request")
def step_control(context, count):
    entry = SuspectedRequest(fingerprint=REQUEST, ends=count, proven=True)
    context.evidence.apply_suspected((entry,), context.now)


@when("control says nothing of the request")
def step_control_silent(context):
    context.evidence.apply_suspected((), context.now)


@when("{ends:d} searchers end under each of {count:d} other requests")
def step_many(context, ends, count):
    for number in range(count):
        for searcher in range(ends):
            at = 1.0 + number * 0.001 + searcher
            end(context, f"s-{number}-{searcher}", at, fingerprint=str(number))


@then("the request is clear and {may} be repeated")
def step_clear(context, may):
    assert context.evidence.standing(REQUEST, context.now) is Standing.CLEAR
    allowed = context.evidence.may_repeat(REQUEST, context.now)
    assert allowed is (may == "may")


@then("the request is quarantined")
def step_quarantined(context):
    assert context.evidence.standing(REQUEST, context.now) is Standing.QUARANTINED


@then("the request is on trial")
def step_on_trial(context):
    assert context.evidence.standing(REQUEST, context.now) is Standing.ON_TRIAL


@then("the host keeps at most {count:d} requests")
def step_bounded(context, count):
    assert len(context.evidence.records.records) <= count


@given("a replica of control")
def step_replica(context):
    context.register = CrashRegister()


@when("it hears at {now:g} s that a searcher has answered the request")
def step_heard_answer(context, now):
    report = CrashReport(fingerprint=REQUEST, kind=CrashReportKind.ANSWERED)
    context.register.record_from_host((report,), now)


@when(
    "it hears at {now:g} s of {count:d} ends under the request that are {age:g} s old"
)
def step_heard_ends(context, now, count, age):
    reports = tuple(
        CrashReport(
            fingerprint=REQUEST,
            kind=CrashReportKind.ENDED,
            searcher=f"s-{number}",
            age_ms=round(age * 1000),
        )
        for number in range(count)
    )
    context.register.record_from_host(reports, now)
    context.now = now


@then("it reports no end of a searcher under the request")
def step_nothing(context):
    suspected = context.register.suspected(context.now)
    assert all(entry.ends == 0 for entry in suspected), suspected


@when("it hears of ends under the request at {first:d} s, {second:d} s and {third:d} s")
def step_heard_apart(context, first, second, third):
    for at in (first, second, third):
        report = CrashReport(
            fingerprint=REQUEST, kind=CrashReportKind.ENDED, searcher=f"s-{at}"
        )
        context.register.record_from_host((report,), float(at))
    context.now = float(third)


@when("an operator ends the quarantine at {now:d} s")
def step_lifted(context, now):
    context.register.lift(REQUEST, float(now))
    context.now = float(now)


@when("it restarts at {now:d} s, by which its clock has advanced by {seconds:d} s")
def step_restarts(context, now, seconds):
    """Saves at the time of the last event, then starts with a new monotonic clock."""
    saved = context.register.to_save(context.now, unix_ms=UNIX_MS)
    state = msgspec.msgpack.decode(
        msgspec.msgpack.encode(RecentState(crashes=saved)), type=RecentState
    )
    context.register = CrashRegister()
    context.now = 0.5
    context.register.restore(state.crashes, context.now, UNIX_MS + seconds * 1000)


@then("it calls the request {standing}, with at least {remaining:d} s to go")
def step_standing(context, standing, remaining):
    host = CrashEvidence()
    rulings = host.apply_suspected(context.register.suspected(context.now), context.now)
    assert host.standing(REQUEST, context.now).value == standing, rulings
    left = host.remaining_s(REQUEST, context.now)
    assert remaining <= left <= QUARANTINE_S, left
