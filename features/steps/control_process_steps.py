"""Steps for control replicas as processes and for the operator command."""

import asyncio

from behave import given, then, when

from plantainstage._operator.changes import ChangeOptions, submit_change
from plantainstage._operator.outcomes import Outcome
from plantainstage.messages import configuration, control
from support.control_processes import ControlProcesses
from support.processes import wait_until


def body_of(number):
    profile = configuration.Profile(
        name=f"profile-{number % 50}", index="ditch-turns", deadline_ms=number + 1
    )
    return control.PublishProfile(profile=profile)


async def submit(session, number):
    options = ChangeOptions(operator="ada", number=number, wait=False)
    return await submit_change(session, body_of(number), options)


@given("{count:d} control processes and {entries:d} entry hosts")
def start_processes(context, count, entries):
    context.group = ControlProcesses(context.resources)
    context.names = context.group.start_group(count)
    for number in range(1, entries + 1):
        context.group.start_entry(f"entry-{number}")
    context.group.wait_until_ready()
    context.verdicts = {}


@when('an operator publishes "{name}" and waits')
def publish(context, name):
    context.code, context.report = context.group.ctl(
        "profile", "publish", name, "--index", "ditch-turns", "--deadline-ms", "80"
    )


@then("the command reports the change as in force everywhere")
def check_in_force(context):
    assert context.code == 0, context.report
    assert context.report["outcome"] == "in_force", context.report


@then("the status names {count:d} entry hosts that have applied it")
def check_status(context, count):
    code, body = context.group.ctl("status")
    assert code == 0
    entries = body["status"]["entries"]
    assert len(entries) == count
    version = context.report["version"]
    assert all(item["applied_version"] >= version for item in entries), entries


@when("{count:d} changes are submitted, each twice, while the leader is killed")
def submit_while_killing(context, count):
    group = context.group
    leader = group.leader()

    async def run(session):
        for number in range(1, count + 1):
            context.verdicts[number] = await submit(session, number)
            if number == count // 3:
                group.programs[leader].kill()
            assert await submit(session, number) == context.verdicts[number]

    group.run_session(run)
    context.killed = leader


@when("{count:d} changes are submitted")
def submit_many(context, count):
    async def run(session):
        for number in range(1, count + 1):
            context.verdicts[number] = await submit(session, number)

    context.group.run_session(run)


@then("each change was accepted once, in the order of their numbers")
def check_verdicts(context):
    reports = [context.verdicts[number] for number in sorted(context.verdicts)]
    assert all(report.outcome is Outcome.ACCEPTED for report in reports)
    versions = [report.version for report in reports]
    assert versions == sorted(set(versions)), versions


@then("a resend of every change gets its first verdict")
def resend_all(context):
    async def run(session):
        return {number: await submit(session, number) for number in context.verdicts}

    assert context.group.run_session(run) == context.verdicts


@then("another change under a used number is reported as a conflict")
def check_conflict(context):
    code, report = context.group.ctl(
        *("profile", "retire", "profile-1", "--number", "1", "--operator", "bo")
    )
    assert code == 4 and report["outcome"] == "conflict", report
    assert report["winner"]["change"]["operator"] == "ada"


@when("the killed replica starts again")
def start_killed(context):
    context.group.start_replica(context.killed, "--join")


@when("all control processes are killed and started again")
def restart_all(context):
    for name in context.names:
        context.group.programs[name].kill()
    for name in context.names:
        context.group.start_replica(name, "--join")


@when("the leader is frozen and a change is in force without it")
def freeze_leader(context):
    group = context.group
    context.frozen = group.leader()
    group.programs[context.frozen].freeze()
    others = [name for name in context.names if name != context.frozen]
    group.control_addresses = [group.addresses[name][0] for name in others]
    context.code, context.report = group.ctl(
        "profile", "publish", "later", "--index", "ditch-turns", "--deadline-ms", "90"
    )


@when("the frozen replica resumes")
def resume_leader(context):
    context.group.programs[context.frozen].resume()


@then("it never replies with a version before that change")
def check_resumed(context):
    version = context.report["version"]
    requests = (
        control.QueryConfiguration(),
        control.QueryNextNumber(),
        control.QueryStatus(),
        control.SubmitChange(
            change=control.Change(number=1, operator="bo", body=body_of(1))
        ),
    )
    for _ in range(5):
        for request in requests:
            reply = context.group.ask(context.frozen, request)
            match reply:
                case control.CurrentConfiguration():
                    assert reply.configuration.version >= version, reply
                case control.NextNumber() | control.Status():
                    assert reply.version >= version, reply
                case control.NotLeader() | control.OutcomeUnknown():
                    pass
                case control.ChangeConflict():
                    assert reply.winner.change.number == 1
                case _:
                    raise AssertionError(reply)


@then("no entry host has returned to a version before that change")
def check_entries(context):
    for item in context.group.status().entries:
        assert item.applied_version >= context.report["version"], item


@when("a follower loses its data folder and a replacement is reported as done")
def replace_follower(context):
    group = context.group
    leader = group.leader()
    context.lost = next(name for name in context.names if name != leader)
    old = group.incarnation(context.lost)
    group.programs[context.lost].kill()
    group.lose_folder(context.lost)
    group.start_replica(context.lost, "--join")
    client, peer = group.addresses[context.lost]
    code, report = group.ctl(
        *("replica", "replace", context.lost, old),
        *(context.lost, group.incarnation(context.lost)),
        *("--client-address", client, "--peer-address", peer),
    )
    assert code == 0 and report["outcome"] == "done", report


@when("another replica and its data folder are lost right afterwards")
def lose_second(context):
    group = context.group
    second = next(name for name in context.names if name != context.lost)
    group.programs[second].kill()
    group.lose_folder(second)


@then("a misspelt incarnation is not removed and not reported as done")
def check_misspelt(context):
    code, report = context.group.ctl("replica", "remove", context.names[0], "0000")
    assert code == 3 and report["outcome"] == "rejected", report


@when("one entry host is frozen and a change is published")
def freeze_entry(context):
    context.group.programs["entry-2"].freeze()
    context.code, context.report = context.group.ctl(
        *("profile", "publish", "rider-gate", "--index", "ditch-turns"),
        *("--deadline-ms", "80", "--no-wait"),
    )


@then("it is in force only once the frozen host cannot hold a lease")
def check_frozen_entry(context):
    version = context.report["version"]

    async def poll(session):
        while True:
            status = await session.status(version)
            frozen = [e for e in status.entries if e.entry.entry_id == "entry-2"]
            lease = any(item.lease_remaining_ms > 0 for item in frozen)
            if not status.lacking and status.settled:
                assert not lease, frozen
                return
            assert status.lacking == ("entry-2",) or not lease, status
            await asyncio.sleep(0.05)

    # The other host may acknowledge only with its next lease renewal.
    wait_until(
        lambda: (
            "entry-1"
            not in context.group.run_session(
                lambda session: session.status(version)
            ).lacking
        ),
        what="the running host acknowledges",
    )
    context.group.run_session(poll)


@then("the frozen host applies that change when it resumes")
def check_resumed_entry(context):
    group = context.group
    group.programs["entry-2"].resume()
    wait_until(
        lambda: any(
            item.entry.entry_id == "entry-2"
            and item.applied_version >= context.report["version"]
            for item in group.status().entries
        ),
        what="the resumed host applies the change",
    )
