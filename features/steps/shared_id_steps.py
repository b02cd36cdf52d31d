"""Steps for searchers of different services that are announced under one id."""

import msgspec
from behave import given, then, when

from plantainstage._registry.register import SearcherRegister
from plantainstage._serving.merged_searchers import MergedSearchers
from plantainstage._serving.searchers import Searcher, SearcherState

SEARCHER = Searcher(
    searcher_id="s-1",
    service="cards",
    address="10.0.0.1:80",
    data_centre="dc-1",
    slots=2,
    sequence=5,
    started_at_ms=1000,
)
RECENCIES = {
    "a later start": {"started_at_ms": 1050},
    "a higher number": {"sequence": 100},
    "an earlier start": {"started_at_ms": 900},
}


def new_register(names):
    register = SearcherRegister(heartbeat_s=1.0)
    register.is_named = frozenset(names).__contains__
    return register


def announced_for(service, recency):
    changes = RECENCIES[recency]
    return msgspec.structs.replace(SEARCHER, service=service, **changes)


def report(context, source, register):
    """Passes what a replica has on to the host."""
    return context.host.update(source, register.find("s-1"))


@given('a searcher of "cards" and a version that names "{names}"')
def step_searcher(context, names):
    context.register = new_register(names.split())
    context.register.record_announcement(SEARCHER, 0.0)
    context.host = MergedSearchers()
    context.host.set_services(names.split())
    report(context, "r-1", context.register)


@given("a second replica, which knows no version")
def step_second(context):
    context.second = new_register(())


@given("a second replica, which knows the version")
def step_second_current(context):
    context.second = new_register(["cards"])


@when('its id is announced for "{service}" with {recency}')
def step_announce(context, service, recency):
    context.other = announced_for(service, recency)
    context.register.record_announcement(context.other, 1.0)
    context.changed = context.host.update("r-2", context.other)


@then("at control and at a host it {effect}")
def step_effect(context, effect):
    counts = context.other if effect == "replaces the searcher" else SEARCHER
    assert context.register.find("s-1") == counts, context.register.find("s-1")
    assert context.host.find("s-1") == counts, context.host.find("s-1")
    assert context.changed == (None if counts is SEARCHER else counts)


@when('its id is announced for "{service}" each second for {seconds:d} s')
def step_follow(context, service, seconds):
    for second in range(1, seconds + 1):
        other = msgspec.structs.replace(SEARCHER, service=service, sequence=5 + second)
        context.register.record_announcement(other, float(second))
        context.register.expire(float(second))


@then("control reports the searcher as silent")
def step_silent(context):
    assert context.register.entries["s-1"].silent


@when('control and the host learn a version that names "{service}"')
def step_learn(context, service):
    context.register.is_named = frozenset([service]).__contains__
    for searcher in context.host.set_services([service]):
        assert searcher.service == service, searcher


@when('the searcher of "cards" announces itself again')
def step_again(context):
    again = msgspec.structs.replace(SEARCHER, sequence=6)
    context.register.record_announcement(again, 2.0)
    report(context, "r-1", context.register)


@then('at control and at a host the searcher of "{service}" counts')
def step_counts(context, service):
    assert context.register.find("s-1").service == service
    assert context.host.find("s-1").service == service


@when('the second replica hears the id for "{service}" with {recency}')
def step_second_hears(context, service, recency):
    context.second.record_announcement(announced_for(service, recency), 1.0)
    report(context, "r-2", context.second)


@then('at a host the searcher of "{service}" counts')
def step_host_counts(context, service):
    assert context.host.find("s-1").service == service


@when("the first replica reports it as silent")
def step_reported_silent(context):
    context.host.mark_silent("r-1", "s-1", 5.0)


@then('the host drops the searcher of "cards", and has that of "{service}" left')
def step_left(context, service):
    assert context.host.expire(10.0) == ["s-1"]
    assert context.host.find("s-1").service == service


@when('the searcher of "cards" reports its departure there')
def step_depart(context):
    left = context.second.record_departure("s-1", 2.0, heard_elsewhere=SEARCHER)
    assert (left.service, left.state) == ("cards", SearcherState.LEFT), left


@then('the second replica keeps that the searcher of "cards" has left')
def step_kept(context):
    kept = context.second.find("s-1")
    assert (kept.service, kept.state) == ("cards", SearcherState.LEFT), kept
