"""Steps for an owner whose searcher drains while sub-requests are queued for it."""

import asyncio
import contextlib
import math
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from loguru import logger

from plantainstage._entry.host import EntryHost
from plantainstage._entry.owners import SearcherOwners
from plantainstage._limits.extra_load import ExtraLoadBudgets
from plantainstage._limits.owner_queue import HostLease
from plantainstage._limits.quarantine import QuarantineTable
from plantainstage._settings.entry import EntrySettings
from plantainstage.messages import configuration, forward
from support.processes import free_address
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
    apply_upstream(context, upstream)


def apply_upstream(context, upstream):
    context.version += 1
    value = configuration.Configuration(
        version=context.version, upstreams=(upstream,), ownerships=(OWNERSHIP,)
    )
    context.searcher.call(context.apply, value)


def submit(context, name):
    context.searcher.call(context.owners.submit, "entry-1", sub_request(name))


@given("an owner whose searcher has one slot, one sub-request running and one queued")
def make_owner(context):
    context.searcher = searcher = ScriptedSearcher(context.resources)
    context.results = {}
    context.version = 0

    def record_result(requester_id, result):
        context.results[result.sub_request_id] = result.outcome.value

    context.owners = searcher.call(
        lambda: SearcherOwners(
            entry_id="entry-1",
            lease=HostLease(until=math.inf),
            quarantines=QuarantineTable(),
            budgets=ExtraLoadBudgets(),
            on_result=record_result,
            on_crashes=lambda action: None,
            on_probe=lambda profile: None,
        )
    )
    context.resources.callback(lambda: searcher.call(context.owners.abort))
    context.apply = context.owners.apply
    send_first_sub_requests(context)


def send_first_sub_requests(context):
    apply_state(context, "serving")
    submit(context, "running")
    context.searcher.wait_for(lambda: context.searcher.received)
    submit(context, "waiting")


def make_host(context):
    """Makes an entry host that holds a lease but has no control service."""
    settings = EntrySettings(
        entry_id="entry-1",
        data_centre="upper-canal",
        listen=free_address(),
        forward_listen=free_address(),
        control=(free_address(),),
        drain_delay_s=0.0,
        statsd_address="",
        log_level="ERROR",
    )
    logger.disable("plantainstage")
    context.resources.callback(logger.enable, "plantainstage")
    host = context.searcher.call(lambda: EntryHost(settings=settings))
    context.resources.callback(lambda: context.searcher.call(host.close))
    host.lease.until = math.inf
    return host


@given(
    "an entry host whose searcher has one slot, one sub-request running and one queued"
)
def make_owning_host(context):
    context.searcher = ScriptedSearcher(context.resources)
    context.results = {}
    context.version = 0
    context.host = host = make_host(context)
    context.owners = host.owners

    def record_result(requester_id, result):
        context.results[result.sub_request_id] = result.outcome.value

    def apply(value):
        host.apply(value)
        host.session.configuration = value

    host.owners.on_result = record_result
    context.apply = apply
    send_first_sub_requests(context)
    context.sent_notices = []
    peer = SimpleNamespace(send_unbatched=context.sent_notices.append)
    host.links.peers["entry-2"] = peer
    # The peer is a stand-in for a link, which the host must not close.
    context.resources.callback(host.links.peers.clear)
    host.links.set_peers = lambda hosts: None


@when("the entry host learns that the searcher drains, and control does not reply")
def announce_here(context):
    announcement = {
        "upstream_id": UPSTREAM.upstream_id,
        "incarnation": UPSTREAM.incarnation,
        "address": context.searcher.address,
        "data_centre": UPSTREAM.data_centre,
        "index": UPSTREAM.index,
        "slots": UPSTREAM.slots,
        "connections": UPSTREAM.connections,
        "snapshots": [
            {
                "snapshot": "s1",
                "sequence": 1,
                "partitions": ["p1"],
                "manifest": {"p1": 10},
            }
        ],
        "state": "draining",
        "in_flight": 1,
    }
    data = msgspec.json.encode(announcement)

    async def announce():
        task = asyncio.create_task(context.host.announcements.accept(data))
        await asyncio.sleep(0)  # lets the task start its call to control
        assert not task.done(), task
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    context.searcher.run(announce())


@when("another entry host learns that the searcher drains, and control does not reply")
def announce_elsewhere(context):
    notice = forward.DrainNotice(
        sender="entry-2",
        upstream_id=UPSTREAM.upstream_id,
        incarnation=UPSTREAM.incarnation,
    )
    context.searcher.call(context.host._on_peer_message, notice)


@when("the searcher has restarted and serves")
def restart_searcher(context):
    upstream = msgspec.structs.replace(
        UPSTREAM, incarnation="i2", address=context.searcher.address
    )
    apply_upstream(context, upstream)


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


@then("the queued one was returned as not sent and the running one as answered")
def check_results(context):
    assert context.results == {"running": "answered", "waiting": "not_sent"}


@then("a new sub-request is returned as not sent")
def check_new(context):
    context.results.pop("new", None)
    submit(context, "new")
    assert context.results["new"] == "not_sent"


@then("the other entry hosts {notified} by this one")
def check_notified(context, notified):
    notice = forward.DrainNotice(
        sender="entry-1",
        upstream_id=UPSTREAM.upstream_id,
        incarnation=UPSTREAM.incarnation,
    )
    assert context.sent_notices == ([notice] if notified == "were notified" else [])


@then("the searcher has received {count:d} sub-request")
@then("the searcher has received {count:d} sub-requests")
def check_received(context, count):
    assert len(context.searcher.received) == count, context.searcher.received
