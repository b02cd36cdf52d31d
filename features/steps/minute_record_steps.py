"""Steps for minute records; times are Unix seconds given by the scenario."""

import functools

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from plantainstage.messages import callers
from plantainstage.reports import (
    HostMinutes,
    MinuteRecord,
    MinuteRecorder,
    encode_kept,
    merge_all,
    merge_records,
)

RUN_STATES = st.sampled_from([state.value for state in callers.RunState])
CODES = st.sampled_from(["overloaded", "coverage_not_met", "request_quarantined"])
ANSWERS = st.tuples(
    st.just("answer"), st.floats(0, 200_000), st.integers(0, 100), st.integers(0, 2)
)
REFUSALS = st.tuples(st.just("refusal"), CODES, RUN_STATES, st.integers(0, 2))
SENT = st.tuples(
    st.just("sent"), st.integers(0, 50), st.integers(0, 5), st.integers(0, 2)
)
EVENTS = st.lists(st.one_of(ANSWERS, REFUSALS, SENT), max_size=25)


def new_recorder(now, host="entry-1"):
    return MinuteRecorder(host=host, incarnation="i1", now=now)


def answer(recorder, now, elapsed, deadline, answered, total, minimum, profile="a"):
    recorder.request_answered(
        profile=profile,
        now=now,
        elapsed_ms=elapsed,
        deadline_ms=deadline,
        documents_answered=answered,
        documents_total=total,
        minimum_coverage=minimum,
    )


def replay(recorder, events):
    for event in events:
        match event:
            case ("answer", elapsed, documents, _):
                answer(recorder, 130, elapsed, 80, documents, 100, 0.95)
            case ("refusal", code, run, _):
                state = callers.RunState(run)
                recorder.request_refused(profile="a", now=130, code=code, run=state)
            case ("sent", first, extra, _):
                recorder.sub_requests_sent(
                    profile="a", now=130, first=first, extra=extra
                )


def record_of(events, host="entry-1"):
    recorder = new_recorder(120, host)
    replay(recorder, events)
    records = recorder.close_due(now=180)[0].records
    return records[0] if records else MinuteRecord(profile="a", minute=2)


@given("a minute recorder started at second {second:d}")
def start_recorder(context, second):
    context.recorder = new_recorder(second)


@when(
    'at second {second:d} the profile "{profile}" answers in {elapsed:d} ms of {deadline:d} with {answered:d} of {total:d} documents and a minimum of {minimum:g}'
)
def record_answer(
    context, second, profile, elapsed, deadline, answered, total, minimum
):
    answer(
        context.recorder, second, elapsed, deadline, answered, total, minimum, profile
    )


@when('at second {second:d} the profile "{profile}" refuses with "{code}" and "{run}"')
def record_refusal(context, second, profile, code, run):
    state = callers.RunState(run)
    context.recorder.request_refused(profile=profile, now=second, code=code, run=state)


@when(
    'at second {second:d} the profile "{profile}" sends {first:d} first and {extra:d} extra sub-requests'
)
def record_sent(context, second, profile, first, extra):
    context.recorder.sub_requests_sent(
        profile=profile, now=second, first=first, extra=extra
    )


@when("the recorder next closes minutes at second {second:d}")
def close_minutes(context, second):
    context.minutes = context.recorder.close_due(now=second)
    assert len(context.recorder.kept(now=second).minutes) <= 180


@when("the recorder is stopped at second {second:d}")
def stop_recorder(context, second):
    context.minutes = context.recorder.close_all(now=second)


@when("{count:d} different profiles are refused at second {second:d}")
def refuse_profiles(context, count, second):
    for number in range(count):
        record_refusal(context, second, f"p{number}", "unknown_profile", "not_run")


@then("the recorder has closed no minute at second {second:d}")
def check_nothing_closed(context, second):
    assert context.recorder.close_due(now=second) == ()


@then(
    'the record of minute {minute:d} closed at second {second:d} for "{profile}" has these counts'
)
def check_counts(context, minute, second, profile):
    closed = context.recorder.close_due(now=second)
    (record,) = [
        record
        for host_minute in closed
        if host_minute.minute == minute
        for record in host_minute.records
        if record.profile == profile
    ]
    for name in context.table.headings:
        found = getattr(record, name)
        assert found == int(context.table[0][name]), (name, found)


@then("it returns {count:d} minutes of which all are empty and the last is {last:d}")
def check_empty_minutes(context, count, last):
    assert len(context.minutes) == count
    assert not any(minute.records for minute in context.minutes)
    assert context.minutes[-1].minute == last


@then('the complete flags of its minutes are "{flags}"')
def check_complete(context, flags):
    found = ["yes" if minute.complete else "no" for minute in context.minutes]
    assert found == flags.split(), found


@then(
    "the minute closed at second {second:d} has at most {limit:d} records with {requests:d} requests"
)
def check_bounded(context, second, limit, requests):
    (minute,) = context.recorder.close_due(now=second)
    assert len(minute.records) <= limit, len(minute.records)
    assert sum(record.requests for record in minute.records) == requests


@then("merging random minute records is associative and commutative")
def check_associative(context):
    @seed(1)
    @settings(max_examples=60, deadline=None, database=None)
    @for_all(EVENTS, EVENTS, EVENTS)
    def check(first, second, third):
        a, b, c = record_of(first), record_of(second), record_of(third)
        left = merge_records(merge_records(a, b), c)
        assert left == merge_records(a, merge_records(b, c))
        assert left == merge_records(c, merge_records(b, a))
        assert merge_records(a, MinuteRecord(profile="a", minute=2)) == a

    check()


@then("splitting random requests over hosts and merging gives one recorder's counts")
def check_split(context):
    @seed(2)
    @settings(max_examples=60, deadline=None, database=None)
    @for_all(EVENTS)
    def check(events):
        parts = [
            record_of([event for event in events if event[-1] == host], f"e{host}")
            for host in range(3)
        ]
        assert functools.reduce(merge_records, parts) == record_of(events)
        assert merge_all(parts) == {("a", 2): record_of(events)}

    check()


@then("random minute records are unchanged by encoding and decoding")
def check_round_trip(context):
    @seed(3)
    @settings(max_examples=40, deadline=None, database=None)
    @for_all(EVENTS)
    def check(events):
        recorder = new_recorder(120)
        replay(recorder, events)
        body = encode_kept(recorder, now=180)
        assert msgspec.json.decode(body, type=HostMinutes) == recorder.kept(now=180)

    check()
