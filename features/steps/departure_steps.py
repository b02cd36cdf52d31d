"""Steps for searchers that report their departure to a control replica."""

import json
from unittest import mock

from behave import then, when

from plantainstage._serving.searchers import SearcherState
from steps.routed_control_steps import addresses
from support.routed_tier import StandInSearcher

STATES = {
    "drains": SearcherState.DRAINING,
    "has left": SearcherState.LEFT,
    "is ready": SearcherState.READY,
}


class BrokenFiles:
    """Files of a library that fails in a way of its own."""

    def create(self, path):
        raise RuntimeError(f"cannot create {path}")


def depart(context, searcher_id, **fields):
    """Reports a departure to the first running replica; returns the status."""
    path = f"/v1/searchers/{searcher_id}/departure"
    body = json.dumps(fields).encode() if fields else b""
    address = addresses(context)[0]
    work = context.tier.call_control(address, "POST", path, body)
    return context.tier.run(work).status


@when("another writer announces a sequence above 64 bits to each replica")
def step_odd_entries(context):
    other = StandInSearcher(searcher_id="other", service="unnamed")
    other.address = "127.0.0.1:9"
    body = other.announcement(sequence=2**64)
    for address in addresses(context):
        context.tier.run(context.tier.announce(other, body, address))


@when("writes of the recent state fail unexpectedly on each replica")
def step_broken_files(context):
    for daemon, *_ in context.tier.registries.values():
        daemon.recent.files = BrokenFiles()


@when("all replicas but one are stopped")
def step_stop_all_but_one(context):
    stopped = [context.tier.stop_registry(a) for a in addresses(context)[1:]]
    context.stopped = stopped[0]
    daemon = context.tier.registries[addresses(context)[0]][0]
    loop = context.tier.loop
    mirrors = daemon.relay.mirrors
    context.tier.wait_for(
        lambda: not any(m.is_current(loop.time()) for m in mirrors.values()),
        "the loss of the others",
    )


@then('the departure of "{searcher_id}" is answered with {status:d}')
def step_refused(context, searcher_id, status):
    assert depart(context, searcher_id) == status


@then('the departure of "{searcher_id}" is acknowledged')
def step_acknowledged(context, searcher_id):
    context.tier.wait_for(
        lambda: depart(context, searcher_id) == 200, "the acknowledgement"
    )


@when('the departure of an earlier start of "{searcher_id}" arrives')
def step_late_departure(context, searcher_id):
    earlier = context.searcher.started_at_ms - 1
    assert depart(context, searcher_id, started_at_ms=earlier) == 200


@when('the departure of this start of "{searcher_id}" arrives')
def step_departure(context, searcher_id):
    start = context.searcher.started_at_ms
    assert depart(context, searcher_id, started_at_ms=start) == 200


@when("the others can be notified again and {announcement} arrives")
def step_late_announcement(context, announcement):
    address = addresses(context)[0]
    service = context.tier.registries[address][0].announcements
    notify = mock.AsyncMock(return_value=True)
    context.resources.enter_context(mock.patch.object(service, "_notify_peers", notify))
    changes = {"service": "nobody"} if "another process" in announcement else {}
    body = context.searcher.announcement(**changes)
    work = context.tier.announce(context.searcher, body, address)
    assert context.tier.run(work).status == 200
    context.notified = [call.args[0] for call in notify.await_args_list]


@then('they have been told that "{searcher_id}" has left')
def step_told(context, searcher_id):
    (told,) = context.notified
    assert (told.searcher_id, told.state) == (searcher_id, SearcherState.LEFT), told


@then('each running replica knows that "{searcher_id}" {standing}')
def step_known(context, searcher_id, standing):
    for daemon, *_ in context.tier.registries.values():
        state = daemon.register.entries[searcher_id].searcher.state
        assert state is STATES[standing], state
