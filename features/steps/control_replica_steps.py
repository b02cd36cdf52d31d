"""Steps for control replicas with real files and links."""

import asyncio
import errno

from behave import given, then, when

from plantainstage._agreement.membership import MemberChangeRefusedError
from plantainstage._messages.control import MemberAction
from plantainstage.errors import (
    BootstrapRefusedError,
    NotLeaderError,
    OutcomeUnknownError,
    RolledBackFolderError,
    StorageFailedError,
)
from support.processes import wait_until
from support.replica_group import ReplicaGroup

NAMES = ("control-1", "control-2", "control-3")
ERRORS = {
    error.__name__: error
    for error in (BootstrapRefusedError, RolledBackFolderError, StorageFailedError)
}


def pick_follower(context, *, other_than=""):
    """Returns the name of a running replica that does not lead."""
    leader = context.group.leader()
    names = [
        name
        for name, replica in context.group.replicas.items()
        if replica is not leader and name != other_than
    ]
    return sorted(names)[0]


def wait_for_commands(context, name, count):
    wait_until(
        lambda: len(context.group.machines[name].commands) >= count,
        what=f"{name} has applied {count} commands",
    )


@given("a group of {size:d} control replicas with {count:d} committed commands")
def start_group(context, size, count):
    context.group = ReplicaGroup(context.resources)
    context.group.start_all(NAMES[:size], bootstrap=True)
    context.commands = []
    commit(context, count)
    for name in NAMES[:size]:
        wait_for_commands(context, name, count)


def commit(context, count):
    for _ in range(count):
        command = f"command {len(context.commands) + 1}".encode()
        context.group.propose(command)
        context.commands.append(command)


@when("a sync fails at a follower")
def fail_sync(context):
    context.name = pick_follower(context)
    context.group.files[context.name].fail_next = "sync"
    commit(context, 1)


@when("the disk of the leader is full and a command is proposed")
def fill_disk(context):
    leader = context.group.leader()
    context.name = leader.settings.replica_id
    files = context.group.files[context.name]
    files.failure = errno.ENOSPC
    files.fail_next = "write"
    try:
        context.result = context.group.run(leader.propose(b"on a full disk"))
    except OutcomeUnknownError as error:
        context.result = error


@then("the proposal has an unknown outcome")
def check_unknown(context):
    assert isinstance(context.result, OutcomeUnknownError), context.result


@then("that replica has stopped with {error_name}")
def check_stopped(context, error_name):
    error = context.group.stop_error(context.name)
    assert isinstance(error, ERRORS[error_name]), repr(error)
    assert error.remedy


@then("the others commit another command")
def commit_another(context):
    commit(context, 1)
    for name in context.group.replicas:
        wait_until(
            lambda name=name: (
                context.commands[-1] in context.group.machines[name].commands
            ),
            what=f"{name} applies the command",
        )


@when("a follower is stopped, copied, run for {count:d} commands and rolled back")
def roll_back(context, count):
    name = context.name = pick_follower(context)
    context.group.stop(name)
    context.group.copy_folder(name, "copy")
    context.group.start(name)
    commit(context, count)
    wait_for_commands(context, name, len(context.commands))
    context.group.stop(name)
    context.group.restore_folder(name, "copy")
    context.group.start(name)


@when("a follower is copied while it runs and is rolled back after {count:d} commands")
def roll_back_within_boot(context, count):
    name = context.name = pick_follower(context)
    context.group.copy_folder(name, "copy")
    commit(context, count)
    wait_for_commands(context, name, len(context.commands))
    for each in list(context.group.replicas):
        context.group.kill(each)
    context.group.restore_folder(name, "copy")
    for each in NAMES:
        context.group.start(each)


@when("a follower loses its folder and starts with an empty one")
def lose_folder(context):
    name = context.name = pick_follower(context)
    context.old = context.group.replicas[name].member_id
    context.group.stop(name)
    context.group.lose_folder(name)
    context.group.start(name)
    context.new = context.group.replicas[name].member_id
    assert context.new != context.old


@when("another follower stops permanently")
def stop_another(context):
    context.group.stop(pick_follower(context, other_than=context.name))


@then("no replica can commit or confirm leadership")
def check_no_quorum(context):
    wait_until(
        lambda: not any(r.is_leader for r in context.group.replicas.values()),
        what="the leader without a majority steps down",
    )
    for replica in context.group.replicas.values():
        for call in (replica.propose(b"no"), replica.confirm_leadership()):
            try:
                context.group.run(call)
            except NotLeaderError:
                continue
            raise AssertionError(f"{replica.settings.replica_id} acted as a leader")


@then("the replica with the empty folder knows no members")
def check_no_members(context):
    assert context.group.replicas[context.name].members() == ()


def is_repaired(context):
    leader = context.group.leader()
    return leader.is_replaced(old=context.old, new=context.new)


@then("adding it as a learner is not reported as repaired")
def add_learner(context):
    context.group.change(MemberAction.ADD_LEARNER, context.name)
    assert not is_repaired(context)


@then("promoting it is not reported as repaired")
def promote(context):
    wait_for_commands(context, context.name, len(context.commands))

    def promoted():
        try:
            context.group.change(MemberAction.PROMOTE, context.name)
        except MemberChangeRefusedError:
            return False
        return True

    wait_until(promoted, what="the learner has caught up and is promoted")
    assert not is_repaired(context)


@then("removing the old identity is reported as repaired")
def remove_old(context):
    leader = context.group.leader()
    old = next(
        member
        for member in leader.core.state.membership.members
        if member.member_id == context.old
    )
    context.group.run(leader.change_member(MemberAction.REMOVE, old))
    wait_until(lambda: is_repaired(context), what="the repair is complete")
    ids = {(m.replica_id, m.incarnation) for m in leader.members() if m.voter}
    assert (context.new.replica_id, context.new.incarnation) in ids
    assert (context.old.replica_id, context.old.incarnation) not in ids


@then("starting a follower again with the bootstrap list is refused")
def check_bootstrap_refused(context):
    name = pick_follower(context)
    context.group.stop(name)
    try:
        context.group.start(name, bootstrap=True)
    except BootstrapRefusedError as error:
        assert error.remedy
        return
    raise AssertionError("the bootstrap list was accepted")


@when("the founder loses its folder and starts with the bootstrap list")
def restart_founder(context):
    name = context.name = NAMES[0]
    context.group.stop(name)
    context.group.lose_folder(name)
    context.group.start(name, bootstrap=True)


@when("all replicas stop and start again")
def restart_all(context):
    names = list(context.group.replicas)
    for name in names:
        context.group.kill(name)
    for name in names:
        context.group.start(name)


@then("the group still has the {count:d} commands")
def check_commands(context, count):
    context.group.run(context.group.leader().confirm_leadership())
    leader = context.group.leader()
    commands = context.group.machines[leader.settings.replica_id].commands
    assert commands == context.commands and len(commands) == count


@when("the link from the leader to a follower stops delivering frames")
def silence_link(context):
    leader = context.group.leader()
    context.name = pick_follower(context)
    address = context.group.initial[context.name].peer_address
    context.link = leader.links.links[address]
    context.silent = SilentSocket(context.link.socket)
    context.link.socket = context.silent


class SilentSocket:
    """Accepts every frame and delivers none, like a dead connection."""

    def __init__(self, socket):
        self.socket = socket

    async def asend(self, frame):
        await asyncio.sleep(0)

    def close(self):
        self.socket.close()


@then("the leader dials the follower again and it catches up")
def check_redialled(context):
    wait_until(
        lambda: context.link.socket is not context.silent,
        what="the silent link is replaced",
    )
    commit(context, 1)
    wait_for_commands(context, context.name, len(context.commands))


@when("the leader stops as planned")
def stop_leader(context):
    leader = context.group.leader()
    context.term = leader.term
    context.others = [
        replica for replica in context.group.replicas.values() if replica is not leader
    ]
    context.group.stop(leader.settings.replica_id)


@then("the new leader was elected by transfer")
def check_transfer(context):
    assert any(r.core.state.campaign_is_transfer for r in context.others)
