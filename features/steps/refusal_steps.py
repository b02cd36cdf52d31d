"""Steps for refusals by a scripted searcher, as its owner interprets them."""

import math

from behave import given, then, when

from plantainstage._entry.searcher_owner import SearcherOwner
from plantainstage._limits.extra_load import ExtraLoadBudgets
from plantainstage._limits.owner_queue import HostLease
from plantainstage._limits.quarantine import QuarantineTable
from plantainstage.messages import configuration, forward
from support.scripted_searcher import ScriptedSearcher

SENT_ID = "entry-1.boot.1"
NAMES = {
    "the sent id": f',"sub_request_id":"{SENT_ID}"',
    "another id": ',"sub_request_id":"entry-1.boot.0"',
    "no id": "",
}


def sub_request():
    return forward.SubRequest(
        sub_request_id=SENT_ID,
        request_id="request-1",
        profile="rider-gate",
        upstream_id="p1-1",
        epoch=1,
        index="ditch-turns",
        snapshot="s1",
        partition="p1",
        fingerprint="f",
        query=b"1",
        remaining_ms=30_000.0,
        idempotent=False,
    )


def make_owner(address, on_result):
    upstream = configuration.Upstream(
        upstream_id="p1-1",
        incarnation="i1",
        address=address,
        data_centre="upper-canal",
        index="ditch-turns",
        slots=1,
        connections=8,
        holdings=(),
    )
    return SearcherOwner(
        upstream=upstream,
        lease=HostLease(until=math.inf),
        quarantines=QuarantineTable(),
        budgets=ExtraLoadBudgets(),
        weights={},
        on_result=on_result,
        on_crashes=lambda action: None,
        on_probe=lambda profile: None,
    )


@given("a searcher that replies {status:d} with {named}")
def script_searcher(context, status, named):
    context.searcher = ScriptedSearcher(context.resources)
    context.status = status
    context.body = f'{{"error":"e"{NAMES[named]}}}'
    context.is_own = named == "the sent id"


@when("its owner sends it one sub-request")
def send_sub_request(context):
    searcher = context.searcher
    results = []
    owner = searcher.call(
        make_owner, searcher.address, lambda requester, result: results.append(result)
    )
    context.resources.callback(lambda: searcher.call(owner.abort))
    searcher.call(lambda: owner.queue.begin_ownership(epoch=1))
    searcher.call(owner.submit, "entry-1", sub_request())
    searcher.wait_for(lambda: searcher.received)
    searcher.reply(0, status=context.status, body=context.body)
    searcher.wait_for(lambda: results)
    context.result = results[0]
    context.kept = bool(owner.pool.connections_by_number)


@then("the sub-request ends as {outcome}")
def check_outcome(context, outcome):
    assert context.result.outcome.value == outcome, context.result


@then("the connection is kept only if the refusal was for this sub-request")
def check_connection(context):
    assert context.kept == context.is_own
