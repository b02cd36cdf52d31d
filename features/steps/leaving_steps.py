"""Steps for an owner whose searcher leaves while work waits for it."""

import math

import msgspec
from behave import given, then, when

from plantainstage._entry.owners import Owners
from plantainstage._limits.extra_load import ExtraLoadBudgets
from plantainstage._limits.owner_queue import HostLease
from plantainstage._limits.quarantine import QuarantineTable
from plantainstage.messages import configuration, forward
from support.scripted_searcher import ScriptedSearcher

UPSTREAM = configuration.Upstream(
    upstream_id="p1-1",
    incarnation="i1",
    address="",
    data_centre="upper-canal",
    index="ditch-turns",
    slots=1,
    connections=8,
    holdings=(),
)
OWNERSHIP = configuration.Ownership(
    upstream_id="p1-1", entry_id="entry-1", epoch=1, active=True
)


def sub_request(name):
    return forward.SubRequest(
        sub_request_id=name,
        request_id=f"request-{name}",
        profile="rider-gate",
        upstream_id="p1-1",
        epoch=1,
        index="ditch-turns",
        snapshot="s1",
        partition="p1",
        fingerprint=name,
        query=b"1",
        remaining_ms=30_000.0,
        idempotent=True,
    )


def apply_state(context, state):
    upstream = msgspec.structs.replace(
        UPSTREAM,
        address=context.searcher.address,
        state=configuration.UpstreamState(state),
    )
    context.version += 1
    value = configuration.Configuration(
        version=context.version, upstreams=(upstream,), ownerships=(OWNERSHIP,)
    )
    context.searcher.call(context.owners.apply, value)


def submit(context, name):
    context.searcher.call(context.owners.submit, "entry-1", sub_request(name))


@given("an owner whose searcher has one slot, one sub-request running and one waiting")
def make_owner(context):
    context.searcher = searcher = ScriptedSearcher(context.resources)
    context.results = {}
    context.version = 0

    def take(requester_id, result):
        context.results[result.sub_request_id] = result.outcome.value

    context.owners = searcher.call(
        lambda: Owners(
            entry_id="entry-1",
            lease=HostLease(until=math.inf),
            quarantines=QuarantineTable(),
            budgets=ExtraLoadBudgets(),
            on_result=take,
            on_crashes=lambda action: None,
            on_probe=lambda profile: None,
        )
    )
    context.resources.callback(lambda: searcher.call(context.owners.abort))
    apply_state(context, "serving")
    submit(context, "running")
    searcher.wait_for(lambda: searcher.received)
    submit(context, "waiting")


@when("the owner applies a configuration in which the searcher is {state}")
def change_state(context, state):
    apply_state(context, state)


@when("the running sub-request is answered")
def answer_running(context):
    context.searcher.answer(0)
    context.searcher.wait_for(lambda: {"running", "waiting"} <= context.results.keys())


@when("another sub-request is sent and answered")
def send_another(context):
    searcher = context.searcher
    submit(context, "another")
    searcher.wait_for(lambda: len(searcher.received) == 2)
    searcher.answer(1)
    searcher.wait_for(lambda: context.results.get("another") == "answered")


@then("the waiting one has come back as not sent and the running one as answered")
def check_results(context):
    assert context.results == {"running": "answered", "waiting": "not_sent"}


@then("a new sub-request comes back as not sent")
def check_new(context):
    submit(context, "new")
    assert context.results["new"] == "not_sent"


@then("the searcher has received {count:d} sub-request")
@then("the searcher has received {count:d} sub-requests")
def check_received(context, count):
    assert len(context.searcher.received) == count, context.searcher.received
