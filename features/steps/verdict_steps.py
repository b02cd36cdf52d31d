"""Steps for the storage of verdicts in the state machine."""

import msgspec
from behave import given, then, when

from plantainstage._errors import InvariantViolation
from plantainstage._membership import commands
from plantainstage._membership.machine import MembershipMachine
from plantainstage._membership.state import StateSnapshot
from plantainstage._membership.verdicts import (
    CHUNK_VERDICTS,
    VERDICTS_KEPT,
    VerdictLog,
)
from plantainstage._messages import configuration, control


def publish(number, *, operator="first"):
    # The state machine rejects an empty index name.
    index = "" if number % 7 == 0 else "ditch-turns"
    profile = configuration.Profile(
        name=f"profile-{number % 5}", index=index, deadline_ms=50 + number % 100
    )
    return control.Change(
        number=number, operator=operator, body=control.PublishProfile(profile=profile)
    )


def submit(machine, change):
    command = commands.encode_command(commands.ApplyChange(change=change))
    return machine.apply(index=change.number, command=command)


def decide(context, machine, numbers):
    for number in numbers:
        reply = submit(machine, publish(number))
        context.verdicts.setdefault(number, reply.verdict)


def verdict(number):
    return control.Verdict(
        change=publish(number), kind=control.VerdictKind.ACCEPTED, version=number
    )


@given("a state machine that has decided {count:d} changes, every seventh rejected")
def given_decided(context, count):
    context.machine = MembershipMachine()
    context.verdicts = {}
    decide(context, context.machine, range(1, count + 1))
    kinds = {number: v.kind for number, v in context.verdicts.items()}
    assert kinds[7] is control.VerdictKind.REJECTED
    assert kinds[8] is control.VerdictKind.ACCEPTED


@when("it is restored from its own snapshot and decides {count:d} more changes")
def restore_and_decide(context, count):
    data = context.machine.take_snapshot()
    context.machine = MembershipMachine()
    context.machine.restore(snapshot=data)
    first = len(context.verdicts) + 1
    decide(context, context.machine, range(first, first + count))


@then("each of the {count:d} numbers still has its first verdict")
def check_first_verdicts(context, count):
    assert len(context.verdicts) == count
    for number in range(1, count + 1):
        reply = submit(context.machine, publish(number))
        assert reply == control.ChangeVerdict(verdict=context.verdicts[number])


@then("another change with any of these numbers is told which change won")
def check_conflicts(context):
    for number, first in context.verdicts.items():
        reply = submit(context.machine, publish(number, operator="second"))
        assert reply == control.ChangeConflict(winner=first)


@then("a replica that applied the same commands has the same snapshot")
def check_equal_snapshots(context):
    other = MembershipMachine()
    decide(context, other, range(1, len(context.verdicts) + 1))
    assert other.take_snapshot() == context.machine.take_snapshot()


@given("a verdict log with {count:d} numbers")
def given_log(context, count):
    context.log = VerdictLog()
    add(context.log, count)


@when("{count:d} more numbers are decided")
def add_more(context, count):
    add(context.log, count)


def add(log, count):
    for _ in range(count):
        log.add(verdict(log.newest + 1))


@then("number {old:d} is too old and number {kept:d} is found")
def check_age(context, old, kept):
    assert context.log.find(old) is None
    assert context.log.find(kept) == verdict(kept)


@then("{count:d} more numbers leave no chunk that is too old")
def check_chunks(context, count):
    add(context.log, count)
    oldest = context.log.newest - VERDICTS_KEPT
    assert all(chunk.last > oldest for chunk in context.log.chunks.values())
    assert len(context.log.chunks) <= VERDICTS_KEPT // CHUNK_VERDICTS


@when("a chunk is missing from its snapshot")
def drop_chunk(context):
    data = context.machine.take_snapshot()
    snapshot = msgspec.msgpack.decode(data, type=StateSnapshot)
    lacking = msgspec.structs.replace(
        snapshot, verdict_chunks=snapshot.verdict_chunks[:-1]
    )
    context.data = msgspec.msgpack.encode(lacking)


@then("restoring it breaks the invariant on kept verdicts")
def check_refused(context):
    try:
        MembershipMachine().restore(snapshot=context.data)
    except InvariantViolation as violation:
        assert "every verdict" in violation.invariant, violation
        return
    raise AssertionError("the snapshot was accepted")


@when("number {number:d} gets another verdict")
def add_again(context, number):
    try:
        context.log.add(
            msgspec.structs.replace(verdict(number), kind=control.VerdictKind.REJECTED)
        )
        context.violation = None
    except InvariantViolation as violation:
        context.violation = violation


@then("the verdict is refused and number {number:d} keeps its first one")
def check_first_kept(context, number):
    assert context.violation.invariant == "one verdict for a change number"
    assert context.log.find(number) == verdict(number)
