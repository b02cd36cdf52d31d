"""Steps for control replicas whose disks are full for a while."""

import asyncio
import json

from behave import given, then, when

from steps.routed_control_steps import NEWEST_PATH, PATH, document
from support.full_disks import FullDisks


@given("disks that the scenario can fill")
def step_disks(context):
    context.disks = FullDisks(context.resources)
    context.version = 0
    context.acknowledged = 0
    send_change(context)
    assert context.acknowledged == 1


def folder_of(context, address):
    return context.tier.registries[address][3]


def leader_address(context):
    context.tier.wait_for(context.tier.leader, "a leader")
    return context.tier.leader().settings.own.client_address


def followers(context):
    leader = leader_address(context)
    return [address for address in context.tier.registries if address != leader]


def call(context, address, method, path, body=b""):
    """Returns the status of a call, 0 if it was not answered."""
    work = context.tier.call_control(address, method, path, body)
    try:
        return context.tier.run(work)
    except (OSError, asyncio.IncompleteReadError):
        return None


def send_change(context, address=None):
    """Sends the next change once; returns whether it was acknowledged."""
    context.version += 1
    target = address or next(iter(context.tier.registries))
    body = json.dumps(document(context.version)).encode()
    reply = call(context, target, "POST", PATH, body)
    if reply is None or reply.status != 200:
        return False
    context.acknowledged = context.version
    return True


def log_is_stopped(context, address):
    return context.tier.registries[address][0].replica is None


def fill_until_stopped(context, address):
    """Fills one disk until its replica has stopped its log, then gives it room."""
    context.disks.full.add(folder_of(context, address))

    def is_stopped():
        send_change(context)
        return log_is_stopped(context, address)

    context.tier.wait_for(is_stopped, "the stop of the log")
    context.disks.clear()
    context.tier.wait_for(lambda: send_change(context), "a change with room again")


@when("the disk of the {role} is full until its replica has stopped its log")
def step_fill_first(context, role):
    leader = leader_address(context)
    context.first = leader if role == "leader" else followers(context)[0]
    fill_until_stopped(context, context.first)


@when("the disk of each other replica is full in turn, while changes are sent")
def step_fill_others(context):
    for address in context.tier.registries:
        if address != context.first:
            context.tier.wait_for(
                lambda address=address: not log_is_stopped(context, address), "its log"
            )
            fill_until_stopped(context, address)


@when("the disk of the leader takes no new file while {count:d} changes are sent")
def step_no_new_files(context, count):
    folder = folder_of(context, leader_address(context))
    context.disks.without_new_files.add(folder)
    for _ in range(count):
        send_change(context)


@when(
    "a follower loses its folder and starts again while the disk of the other is full"
)
def step_replace_beside_full(context):
    lost, full = followers(context)
    context.lost = lost
    own, _ = context.tier.stop_registry(lost)
    context.disks.full.add(folder_of(context, full))
    seeds = [daemon.settings.own for daemon, *_ in context.tier.registries.values()]
    context.tier.start_registry(own, seeds=seeds, bootstrap=False)
    for _ in range(10):
        send_change(context)


@when("the disks have room again")
def step_room(context):
    context.disks.clear()


@then("a change sent to each replica is acknowledged, and the newest is read from each")
def step_changes(context):
    for address in context.tier.registries:
        context.tier.wait_for(
            lambda address=address: send_change(context, address), "an acknowledgement"
        )
    for address in context.tier.registries:
        context.tier.wait_for(
            lambda address=address: newest(context, address) == context.acknowledged,
            "the newest version",
        )


def newest(context, address):
    reply = call(context, address, "GET", NEWEST_PATH)
    if reply is None or reply.status != 200:
        return None
    return json.loads(reply.body)["version"]


@then("no change that was acknowledged is lost")
def step_none_lost(context):
    assert context.disks.refusals > 0
    for address in context.tier.registries:
        assert newest(context, address) >= context.acknowledged
