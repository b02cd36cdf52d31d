"""Steps that deliver single messages between cores."""

from behave import given, then, when

from plantainstage._agreement import actions
from plantainstage._agreement.membership import (
    MemberChangeProblem,
    MemberChangeRefusedError,
)
from plantainstage._agreement.state import Timing
from plantainstage._messages import agreement as messages
from plantainstage._messages.control import MemberAction
from plantainstage.errors import NotLeaderError
from support.core_group import TIMING, CoreGroup, make_member_id


def make_group(context, timing):
    context.group = CoreGroup(["A", "B", "C"], timing=timing)
    context.group.elect("A")
    context.group.advance(0.1, ["A"])
    context.group.deliver_all()
    assert context.group.state("B").commit_index == 1


@given("the cores A, B and C of which A leads")
def group_of_three(context):
    make_group(context, TIMING)


@given("the cores A, B and C of which A leads, with one entry per message")
def group_with_small_messages(context):
    make_group(context, Timing(max_append_bytes=1))


# ---- Reads ------------------------------------------------------------------------


@when("a heartbeat of A is answered but the replies are still in flight")
def answer_heartbeat(context):
    group = context.group
    group.advance(0.1, ["A"])
    group.deliver(group.take(messages.AppendRequest))
    context.delayed_replies = group.take(messages.AppendReply)
    assert len(context.delayed_replies) == 2


@when("a read starts at A whose own round of heartbeats is lost")
def start_read(context):
    context.group.cores["A"].start_read(7, now=context.group.now)
    context.group.run_actions("A")
    assert len(context.group.take(messages.AppendRequest)) == 2


@then("the replies in flight do not confirm the read")
def check_not_confirmed(context):
    context.group.deliver(context.delayed_replies)
    assert not context.group.actions_of("A", actions.ReadReady)


@then("the replies to the next round confirm it")
def check_confirmed(context):
    context.group.advance(0.1, ["A"])
    context.group.deliver_all()
    ready = context.group.actions_of("A", actions.ReadReady)
    assert [action.request for action in ready] == [7]


# ---- Commit -----------------------------------------------------------------------


@when("A appends an entry that reaches no other core and is elected again")
def append_alone(context):
    group = context.group
    context.index = group.propose("A", b"old")[0]
    group.take()
    group.advance(2.0, ["A"])
    assert not group.cores["A"].is_leader
    group.take()
    group.elect("A", only=(messages.VoteRequest, messages.VoteReply))


@when("a majority has the old entry but not the one of the new term")
def replicate_old_entry(context):
    group = context.group
    # The first request does not match B's log; the second contains the old entry.
    for _ in range(2):
        group.deliver(group.take(messages.AppendRequest, receiver="B"))
        group.deliver(group.take(messages.AppendReply, sender="B"))
    assert group.state("B").log.last.index == context.index


@then("A has not committed the old entry")
def check_not_committed(context):
    state = context.group.state("A")
    assert state.progress[make_member_id("B")].match_index == context.index
    assert state.commit_index < context.index


@then("both are committed once a majority has the new one")
def check_both_committed(context):
    context.group.deliver_all()
    assert context.group.state("A").commit_index == context.index + 1


@when("B has acknowledged 10 entries and a snapshot of the first 8 arrives late")
def late_snapshot(context):
    group = context.group
    state = group.state("A")
    context.last = group.propose("A", *[b"command"] * 10)[-1]
    group.deliver(group.take(messages.AppendRequest, receiver="B"))
    assert group.state("B").commit_index < context.last - 2
    chunk = messages.SnapshotChunk(
        term=state.term,
        index=context.last - 2,
        snapshot_term=state.term,
        membership=state.membership,
        offset=0,
        size=5,
        data=b"state",
        round=state.round,
    )
    group.inject("A", "B", chunk)


@then("B still has all entries that it acknowledged")
def check_tail(context):
    assert context.group.state("B").log.last.index == context.last
    assert not context.group.actions_of("B", actions.InstallSnapshot)


@when("{count:d} commands are proposed to A in one batch")
def propose_batch(context, count):
    group = context.group
    context.syncs = group.syncs["A"]
    context.applied = len(context.group.actions_of("A", actions.Apply))
    context.indices = group.propose("A", *[b"command"] * count)


@then("A has synced once and sent one message to each follower")
def check_one_sync(context):
    assert context.group.syncs["A"] == context.syncs + 1
    receivers = [item.receiver for item in context.group.queue]
    assert sorted(receivers) == ["B", "C"], receivers


@then("all {count:d} are applied after one round")
def check_applied(context, count):
    context.group.deliver(context.group.take(messages.AppendRequest))
    context.group.deliver(context.group.take(messages.AppendReply))
    applied = context.group.actions_of("A", actions.Apply)[context.applied :]
    assert sum(len(action.entries) for action in applied) == count


# ---- Elections --------------------------------------------------------------------


@when("C is isolated for {seconds:d} seconds and then connected again")
def isolate_c(context, seconds):
    group = context.group
    context.term = group.state("A").term
    for _ in range(seconds * 20):
        group.advance(0.05)
        group.deliver_all(without=("C",))
    for _ in range(40):
        group.advance(0.05)
        group.deliver_all()


@then("A still leads in the same term")
def check_same_term(context):
    assert context.group.cores["A"].is_leader
    assert {context.group.state(name).term for name in "ABC"} == {context.term}


@when("A is isolated for {seconds:d} seconds")
def isolate_a(context, seconds):
    group = context.group
    group.cores["A"].start_read(1, now=group.now)
    for _ in range(seconds * 20):
        group.advance(0.05, ["A"])
        group.take()


@then("A no longer leads and its reads have failed")
def check_stepped_down(context):
    assert not context.group.cores["A"].is_leader
    assert len(context.group.actions_of("A", actions.ReadFailed)) == 1
    assert context.group.state("A").leader is None


@when("A transfers leadership")
def transfer(context):
    group = context.group
    context.term = group.state("A").term
    assert group.cores["A"].transfer_leadership(now=group.now)
    try:
        group.cores["A"].propose([b"late"], now=group.now)
    except NotLeaderError:
        context.refused = True
    group.run_actions("A")
    group.deliver_all()


@then("another core leads in the next term and A accepts no proposals before that")
def check_transferred(context):
    leaders = [n for n in "ABC" if context.group.cores[n].is_leader]
    assert len(leaders) == 1 and leaders[0] != "A" and context.refused
    assert context.group.state(leaders[0]).term == context.term + 1


@when("A and B commit an entry that C lacks")
def commit_without_c(context):
    context.group.propose("A", b"command")
    context.group.deliver_all(without=("C",))
    context.group.advance(0.1, ["A"])
    context.group.deliver_all(without=("C",))


@then("C gets neither a pre-vote nor a vote of B")
def check_no_vote(context):
    group = context.group
    group.now += 10.0
    last = group.state("C").log.last
    for pre_vote in (True, False):
        request = messages.VoteRequest(
            term=group.state("B").term + 1, last=last, pre_vote=pre_vote
        )
        group.inject("C", "B", request)
    replies = [item.message for item in group.take(messages.VoteReply)]
    assert [reply.granted for reply in replies] == [False, False]


# ---- Members ----------------------------------------------------------------------


def propose_member_step(context, step):
    action, name = step.split()
    member = messages.Member(member_id=make_member_id(name))
    group = context.group
    group.cores["A"].change_member(MemberAction(action), member, now=group.now)
    group.run_actions("A")


@when("nothing else happens")
def nothing_happens(context):
    pass


@when("another change is not committed")
def pending_change(context):
    propose_member_step(context, "add_learner D")


@when("A has committed nothing in its term")
def lead_without_commit(context):
    group = context.group
    group.now += 10.0
    group.advance(0.0, ["A"])
    assert not group.cores["A"].is_leader
    group.elect("A", only=(messages.VoteRequest, messages.VoteReply))
    group.take()


@when("the learner D lacks a committed entry")
def lagging_learner(context):
    propose_member_step(context, "add_learner D")
    context.group.deliver_all()
    context.group.propose("A", b"command")
    context.group.deliver_all()


@when("only A is left")
def only_a_left(context):
    for name in ("B", "C"):
        propose_member_step(context, f"remove {name}")
        context.group.deliver_all()


@then('the step "{step}" is refused with {problem}')
def check_refused(context, step, problem):
    before = context.group.state("A").log.last
    try:
        propose_member_step(context, step)
    except MemberChangeRefusedError as error:
        assert error.problem is MemberChangeProblem[problem], error
        assert context.group.state("A").log.last == before
        return
    raise AssertionError("the step was accepted")


@when("A removes itself")
def remove_leader(context):
    propose_member_step(context, "remove A")
    context.group.deliver_all()


@then("A no longer leads and B can be elected by B and C alone")
def check_removed(context):
    assert not context.group.cores["A"].is_leader
    del context.group.cores["A"]
    context.group.elect("B")
    assert context.group.state("B").voters() == {
        make_member_id("B"),
        make_member_id("C"),
    }


# ---- Rolled-back folders ----------------------------------------------------------


@when("B votes for C in a new term and is rolled back while its vote is in flight")
def roll_back_vote(context):
    group = context.group
    group.now += 10.0
    copy = group.durable_copy("B")
    context.term = copy["term"] + 1
    # C has made its term and vote durable and requests B's vote.
    group.state("C").become_follower(term=context.term)
    group.state("C").save_hard_state(term=context.term, vote=make_member_id("C"))
    request = messages.VoteRequest(term=context.term, last=group.state("C").log.last)
    group.inject("C", "B", request)
    votes = group.take(messages.VoteReply)
    assert [item.message.granted for item in votes] == [True]
    group.add("B", boot=2, **copy)
    group.deliver_all()
    assert group.state("B").joined


@then("B refuses its vote to A in that term")
def check_abstains(context):
    group = context.group
    group.now += 10.0
    request = messages.VoteRequest(term=context.term, last=group.state("A").log.last)
    group.inject("A", "B", request)
    votes = group.take(messages.VoteReply, sender="B")
    assert [item.message.granted for item in votes] == [False]


@when("B acknowledges an entry and is rolled back before the reply arrives")
def roll_back_before_reply(context):
    group = context.group
    copy = group.durable_copy("B")
    context.index = group.propose("A", b"command")[0]
    group.take(receiver="C")
    group.deliver(group.take(messages.AppendRequest, receiver="B"))
    context.delayed_replies = group.take(messages.AppendReply)
    assert context.delayed_replies[0].message.index == context.index
    group.add("B", boot=2, **copy)
    boots = (messages.BootRequest, messages.BootReply)
    while queued := group.take(*boots):
        group.deliver(queued)
    assert group.state("B").joined


@then("A does not count the acknowledgement")
def check_not_counted(context):
    context.group.deliver(context.delayed_replies, process="B-1")
    state = context.group.state("A")
    assert state.commit_index < context.index
    assert state.progress[make_member_id("B")].match_index < context.index


@given("the cores C, D and E of which D leads")
def group_of_replacements(context):
    context.group = CoreGroup(["C", "D", "E"])
    context.group.elect("D")


@when("C restarts with a log from the time when A and B were its peers")
def restart_with_old_members(context):
    members = tuple(messages.Member(member_id=make_member_id(name)) for name in "ABC")
    old = messages.Snapshot(
        index=0, term=0, membership=messages.Membership(members=members)
    )
    # C keeps its term and vote; the peers' records of C are dropped, as if it had
    # acknowledged no entry.
    state = context.group.state("C")
    context.group.take()
    for name in "DE":
        context.group.state(name).peers.pop(make_member_id("C"), None)
    context.group.add("C", boot=2, snapshot=old, term=state.term, vote=state.vote)


@then("C joins once D and E have recorded its boot")
def check_joined(context):
    group = context.group
    for _ in range(40):
        group.advance(0.05)
        group.deliver_all()
    assert group.state("C").joined
    assert group.state("C").boot_recorded_by == {
        make_member_id("D"),
        make_member_id("E"),
    }


@when("C has restarted and B learned of it only through A")
def restart_unseen_by_b(context):
    group = context.group
    context.copy = group.durable_copy("C")
    group.add("C", boot=2, **context.copy)
    for _ in range(30):
        group.take(sender="C", receiver="B")
        group.advance(0.05, ["A", "C"])
        group.take(sender="C", receiver="B")
        group.deliver(group.take(receiver="A"))
        group.deliver(group.take(sender="A"))
    group.take()


@then("a copy of C from before that restart is refused by B alone")
def check_refused_by_b(context):
    group = context.group
    group.add("C", boot=1, **context.copy)
    group.take(receiver="A")
    group.deliver(group.take(messages.BootRequest, receiver="B"))
    group.deliver(group.take(messages.BootReply, sender="B"))
    assert len(group.actions_of("C", actions.Stop)) == 1


@when("two entries are sent to B, of which only the first arrives, answered twice")
def lose_second_entry(context):
    group = context.group
    group.advance(0.1, ["A"])
    group.deliver_all()
    group.propose("A", b"one", b"two")
    group.take(receiver="C")
    group.deliver(group.take(messages.AppendRequest, receiver="B"))
    replies = group.take(messages.AppendReply, sender="B")
    group.deliver(replies)
    assert group.take(messages.AppendRequest, receiver="B")[0].message.entries
    group.deliver(replies)
    group.take()


def heartbeat_to_b(context):
    """Advances to the next heartbeat, loses that to C and returns that to B."""
    context.group.advance(0.1, ["A"])
    context.group.take(receiver="C")
    return context.group.take(messages.AppendRequest, receiver="B")


@then("the next heartbeat of A to B carries the records of {count:d} members")
def check_records_carried(context, count):
    requests = heartbeat_to_b(context)
    assert [len(item.message.known) for item in requests] == [count], requests


@then("once B has answered all entries it carries the records of {count:d} members")
def check_records_confirmed(context, count):
    for _ in range(4):
        context.group.deliver(heartbeat_to_b(context))
        context.group.deliver_all(without=("C",))
    check_records_carried(context, count)
