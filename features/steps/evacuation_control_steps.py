"""Steps for evacuations at replicas of control that fail."""

import asyncio
import json

from behave import given, then, when
from click.testing import CliRunner

from plantainstage._messages.serving import SyncRequest
from plantainstage._programs.ctl import main as ctl

LIST_PATH = "/v1/evacuations"
FAULTY_NAMES = {
    "an empty name": "",
    "a name of a blank": "%20",
    "a name that is too long": "d" * 65,
}


def addresses(context):
    return list(context.tier.registries)


def daemons(context):
    return [daemon for daemon, *_ in context.tier.registries.values()]


async def send_order(context, address, name, verb="start"):
    return await context.tier.call_control(
        address, "POST", f"{LIST_PATH}/{name}/{verb}"
    )


async def send_until_acknowledged(context, name, verb="start"):
    """Sends an order to one replica after the other until one acknowledges it."""
    while True:
        for address in addresses(context):
            try:
                reply = await send_order(context, address, name, verb)
            except (OSError, asyncio.IncompleteReadError):
                continue  # the replica has stopped
            if reply.status == 200:
                return reply
        await asyncio.sleep(0.02)


def listed(context, address):
    """Returns the list of a replica; retries while it replies 503."""
    replies = []

    def is_listed():
        call = context.tier.call_control(address, "GET", LIST_PATH)
        replies.append(context.tier.run(call))
        return replies[-1].status == 200

    context.tier.wait_for(is_listed, "a list of evacuations")
    return json.loads(replies[-1].body)


@given('the evacuation of "{name}" was started')
def step_started(context, name):
    context.tier.run(send_until_acknowledged(context, name))
    context.number = context.tier.leader().machine.evacuations.number


@when('the evacuation of "{name}" is {done} at each replica')
def step_order_each(context, name, done):
    verb = done.removesuffix("ed")
    context.replies = [
        context.tier.run(send_order(context, address, name, verb))
        for address in addresses(context)
    ]


@when("the evacuation of {fault} is ordered")
def step_order_faulty(context, fault):
    name = FAULTY_NAMES[fault]
    context.reply = context.tier.run(send_order(context, addresses(context)[0], name))


@when('two replicas are stopped, and an evacuation of "{name}" is ordered')
def step_order_without_majority(context, name):
    for address in addresses(context)[:2]:
        context.tier.stop_registry(address)
    context.reply = context.tier.run(send_order(context, addresses(context)[0], name))


@when('the leader stops while the evacuation of "{name}" is sent again and again')
def step_leader_stops(context, name):
    leader = context.tier.leader().own_address

    async def send_and_stop():
        # The order is on its way, or in the log of the leader alone.
        sending = asyncio.ensure_future(send_order(context, leader, name))
        await asyncio.sleep(0)
        daemon, stop, task, _ = context.tier.registries.pop(leader)
        stop.set()
        await asyncio.gather(sending, task, return_exceptions=True)
        await send_until_acknowledged(context, name)

    context.tier.run(send_and_stop())


@when("all replicas are stopped, and one of them loses its folder")
def step_stop_all(context):
    stopped = [context.tier.stop_registry(address) for address in addresses(context)]
    (lost, _), *others = stopped
    for peer, folder in others:
        context.tier.start_registry(
            peer, seeds=context.peers, bootstrap=False, folder=folder
        )
    context.tier.start_registry(lost, seeds=context.peers, bootstrap=False)
    context.tier.wait_for(context.tier.leader, "a leader")


@when('the command orders "{words}"')
def step_command(context, words):
    flags = [flag for a in addresses(context) for flag in ("--control", a)]
    command = [*words.split(), *flags, "--timeout", "10"]
    work = context.tier.loop.run_in_executor(
        None, lambda: CliRunner().invoke(ctl, command)
    )
    context.command = context.tier.run(work)


@then("each order got 200")
def step_each_taken(context):
    assert [reply.status for reply in context.replies] == [200] * 3, context.replies


@then("the order got {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply


@then("the order got 400 with an error")
def step_refused(context):
    assert context.reply.status == 400, context.reply
    assert "data centre" in json.loads(context.reply.body)["error"], context.reply


@then('each replica lists the evacuation of "{name}" with an age')
def step_listed(context, name):
    for address in addresses(context):
        (row,) = listed(context, address)
        assert row["data_centre"] == name, row
        assert row["age_ms"] >= 0, row


@then("each replica lists no evacuation")
def step_none_listed(context):
    for address in addresses(context):
        assert listed(context, address) == []


def same_number(context):
    """Waits until all replicas know the same evacuations; returns their number."""

    def is_same():
        states = {daemon.machine.evacuations for daemon in daemons(context)}
        return len(states) == 1 and states.pop().number

    context.tier.wait_for(is_same, "one state")
    return daemons(context)[0].machine.evacuations.number


@then("all replicas know one number, which repeats do not change")
def step_one_number(context):
    number = same_number(context)
    context.tier.run(send_until_acknowledged(context, "dc-2"))
    assert same_number(context) == number


@then('a new evacuation of "{name}" has a higher number at all replicas')
def step_higher(context, name):
    assert same_number(context) == context.number
    context.tier.run(send_until_acknowledged(context, name))
    assert same_number(context) > context.number


@then('it reports to entry hosts that "{name}" is evacuated')
def step_reported(context, name):
    ((daemon, *_),) = context.tier.registries.values()
    for known in (0, context.number - 1):
        request = SyncRequest(host_id="h", evacuations=known)
        reply = daemon.sync.reply_to_host(request, context.tier.loop.time())
        assert reply.evacuations.data_centres == (name,), reply
    request = SyncRequest(host_id="h", evacuations=context.number)
    reply = daemon.sync.reply_to_host(request, context.tier.loop.time())
    assert reply.evacuations is None, reply
