"""Steps for the start of a replica that joins with an empty folder."""

from behave import given, then, when

from plantainstage._control.member_statuses import member_statuses
from plantainstage._messages import agreement as messages
from plantainstage._messages.control import MemberAction, ReplicaStatus, ReplicaWait
from plantainstage._registry.group import MemberStep
from plantainstage._registry.join_records import JoinRecords
from support.core_group import make_member_id

ROUND_S = 0.05
ROUNDS = 60
BOOTS = (messages.BootRequest, messages.BootReply)


def change_members(context, action, name, *, without=()):
    group = context.group
    member = messages.Member(member_id=make_member_id(name))
    group.cores["A"].change_member(MemberAction(action), member, now=group.now)
    group.run_actions("A")
    run(group, without=without)


def run(group, *, rounds=ROUNDS, without=()):
    """Advances the group; drops messages from or to ``without``."""
    for _ in range(rounds):
        group.advance(ROUND_S)
        group.deliver_all(without=without)


def record_of(name, *, boot):
    return messages.PeerRecord(
        member_id=make_member_id(name), boot=boot, boot_nonce=f"{name}-{boot}"
    )


@when("D is added whose earlier start all members have recorded")
def add_learner_with_record(context):
    group = context.group
    for name in "ABC":
        group.state(name).peers[make_member_id("D")] = record_of("D", boot=1)
    change_members(context, "add_learner", "D")
    group.take()
    group.add("D", boot=2)


@then("D has joined with the membership of {leader:w}")
def check_joined(context, leader):
    group = context.group
    run(group)
    state = group.state("D")
    assert state.joined
    assert state.membership == group.state(leader).membership
    progress = group.state(leader).progress[make_member_id("D")]
    assert progress.match_index == group.state(leader).log.last.index


@when("its requests for a snapshot are lost until its start is recorded")
def lose_requests(context):
    group = context.group
    for _ in range(ROUNDS):
        group.advance(ROUND_S)
        while queued := group.take():
            group.deliver(
                item
                for item in queued
                if item.sender != "D"
                or not isinstance(item.message, messages.AppendReply)
            )
    assert group.state("D").joined


@when("only its requests for a snapshot arrive")
def deliver_requests_alone(context):
    group = context.group
    group.advance(0.1, ["A"])
    context.asked = make_member_id("D")
    context.heard_at = group.state("A").progress[context.asked].heard_at
    group.deliver(group.take(messages.AppendRequest, receiver="D"))
    requests = group.take(messages.AppendReply, sender="D")
    assert [item.message.needs_snapshot for item in requests] == [True]
    group.take()
    group.deliver(requests)


@when("A gets a request for a snapshot of another process of B")
def late_request(context):
    group = context.group
    state = group.state("A")
    context.asked = make_member_id("B")
    context.heard_at = state.progress[context.asked].heard_at
    group.take()
    group.now += 0.01
    request = messages.AppendReply(
        term=state.term, accepted=False, index=0, round=9, needs_snapshot=True
    )
    group.cores["A"].receive(
        sender=context.asked, process="B-0", message=request, now=group.now
    )
    group.run_actions("A")


def check_nothing_noted(context):
    progress = context.group.state("A").progress[context.asked]
    assert progress.heard_at == context.heard_at
    return progress


@then("A sends D a snapshot and has noted no reply of D")
def check_offered(context):
    progress = check_nothing_noted(context)
    assert (progress.match_index, progress.round) == (0, 0)
    chunks = context.group.take(messages.SnapshotChunk, receiver="D")
    assert [item.message.membership for item in chunks] == [
        context.group.state("A").snapshot.membership
    ]


@then("A sends B no snapshot and has noted no reply of B")
def check_not_offered(context):
    progress = check_nothing_noted(context)
    assert progress.snapshot_transfer is None
    assert not context.group.take(messages.SnapshotChunk)


def deliver_boots(group, *, asked, rounds):
    """Advances; of the requests to record a start only those to ``asked`` arrive."""
    for _ in range(rounds):
        group.advance(ROUND_S)
        while group.queue:
            queued = group.take()
            group.deliver(
                item
                for item in queued
                if not isinstance(item.message, BOOTS)
                or {item.sender, item.receiver} <= {*asked, "D"}
            )


@when("D is recorded by A and B alone and C becomes the leader, which D knows")
def change_leader_while_recorded(context):
    group = context.group
    deliver_boots(group, asked="AB")
    state = group.state("D")
    assert state.joined and not state.membership.members
    group.state("C").peers[state.member_id] = record_of("D", boot=1)
    group.elect("C", only=(messages.VoteRequest, messages.VoteReply))


@when("D is recorded by A and B alone and C becomes the leader, which D does not know")
def change_to_unknown_leader(context):
    change_leader_while_recorded(context)
    state = context.group.state("D")
    known = [m for m in state.boot_members.members if m.member_id.replica_id != "C"]
    state.boot_members = messages.Membership(members=tuple(known))


def deliver_boots(group, *, asked):
    """Lets D's start be recorded by ``asked`` alone; no snapshot arrives."""
    for _ in range(ROUNDS):
        group.advance(ROUND_S)
        while queued := group.take():
            group.deliver(item for item in queued if _arrives(item, asked))


def _arrives(item, asked):
    match item.message:
        case messages.BootRequest() | messages.BootReply():
            return {item.sender, item.receiver} <= {*asked, "D"}
        case messages.SnapshotChunk():
            return False
    return True


@then("C records the start of D although no snapshot arrives")
def check_recorded(context):
    group = context.group
    deliver_boots(group, asked="ABC")
    assert make_member_id("C") in group.state("D").boot_recorded_by
    assert not group.state("D").membership.members


@when("D is recorded by A alone before E and F take the places of B and C")
def replace_other_members(context):
    group = context.group
    deliver_boots(group, asked="A")
    start = group.state("D")
    assert start.boot_recorded_by == {make_member_id("A")} and not start.joined
    for new, old in (("E", "B"), ("F", "C")):
        group.add(new)
        change_members(context, "add_learner", new, without=("D",))
        change_members(context, "promote", new, without=("D",))
        change_members(context, "remove", old, without=("D",))
        del group.cores[old]
    for name in "EF":
        # They ask D for nothing, so that D hears of them through A alone.
        group.state(name).boot_recorded_by.add(start.member_id)


# ---- What operators see -----------------------------------------------------------


@then("A reports that D waits for {wait}")
def check_wait(context, wait):
    if wait.endswith(" once it has joined"):
        run(context.group)
        wait = wait.removesuffix(" once it has joined")
    statuses = member_statuses(context.group.cores["A"])
    waits = {status.replica_id: status.waits_for for status in statuses}
    assert waits["D"] is ReplicaWait(wait), waits


def record_step(context, action):
    member = messages.Member(member_id=make_member_id("D"))
    return context.joins.record(MemberStep(action=action, member=member))


@given("a leader that has added a learner, which waits for a record of its start")
def observe_learner(context):
    context.joins = JoinRecords()
    assert record_step(context, MemberAction.ADD_LEARNER) is None
    member_id = make_member_id("D")
    status = ReplicaStatus(
        replica_id=member_id.replica_id,
        incarnation=member_id.incarnation,
        client_address="",
        peer_address="",
        voter=False,
        leader=False,
        match_index=0,
        last_heard_ms=5000,
        waits_for=ReplicaWait.RECORD_OF_START,
    )
    context.joins.observe([status])


@when("the learner is removed and added again")
def remove_and_add(context):
    assert record_step(context, MemberAction.REMOVE) is None
    context.joins.observe([])
    context.repeated = record_step(context, MemberAction.ADD_LEARNER)


@then("the second addition is reported, with a record of its start as the reason")
def check_repeated(context):
    assert context.repeated.additions == 2
    assert context.repeated.waited_for is ReplicaWait.RECORD_OF_START
    assert context.joins.repeated == 1


@then("an addition after it was promoted is reported no more")
def check_promoted(context):
    record_step(context, MemberAction.PROMOTE)
    assert record_step(context, MemberAction.ADD_LEARNER) is None
