"""Single-server membership changes, and which replicas may vote."""

import enum
from dataclasses import dataclass

from plantainstage._agreement.state import CoreState, Progress, Role
from plantainstage._errors import NotLeaderError, PlantainstageError
from plantainstage._messages.agreement import Member, MemberId, Membership
from plantainstage._messages.control import MemberAction


class MemberChangeProblem(enum.Enum):
    """Why a step of a membership change cannot be taken now."""

    CHANGE_PENDING = "an earlier change of the members is not committed yet"
    TERM_NOT_STARTED = "the leader has not committed an entry of its term yet"
    ALREADY_MEMBER = "the replica is already a member"
    NOT_MEMBER = "the replica with this incarnation is not a member"
    NOT_LEARNER = "the replica is not a learner"
    NOT_CAUGHT_UP = "the learner does not have the whole log yet"
    LAST_VOTER = "the last voter cannot be removed"
    TRANSFERRING = "leadership is being transferred"


@dataclass(kw_only=True, eq=False)
class MemberChangeRefusedError(PlantainstageError):
    """A step of a membership change was refused; nothing was changed."""

    action: MemberAction
    member_id: MemberId
    problem: MemberChangeProblem

    def describe(self):
        return (
            f"{self.action.value} {self.member_id}: {self.problem.value}. "
            "Check the status of the control replicas and send the step again "
            "once it allows it."
        )


def may_vote(state: CoreState):
    """Whether this replica is in the committed or the newest membership.

    A learner may vote, since an entry that it does not have yet may have promoted
    it; the candidate counts only the votes of voters. A replica whose folder was
    lost has a new incarnation, which no membership contains yet.
    """
    if not state.joined:
        return False
    memberships = [state.log.membership_at(state.commit_index), state.membership]
    return any(
        member.member_id == state.member_id
        for membership in memberships
        for member in membership.members
    )


def next_membership(state: CoreState, action: MemberAction, member: Member):
    """Returns the membership after one step; raises an error if it is refused."""
    if state.role is not Role.LEADER:
        raise NotLeaderError
    problem = _problem(state, action, member.member_id)
    if problem is not None:
        raise MemberChangeRefusedError(
            action=action, member_id=member.member_id, problem=problem
        )
    members = state.membership.members
    match action:
        case MemberAction.ADD_LEARNER:
            learner = Member(
                member_id=member.member_id,
                client_address=member.client_address,
                peer_address=member.peer_address,
                voter=False,
            )
            return Membership(members=(*members, learner))
        case MemberAction.PROMOTE:
            return Membership(
                members=tuple(
                    _as_voter(m) if m.member_id == member.member_id else m
                    for m in members
                )
            )
        case MemberAction.REMOVE:
            return Membership(
                members=tuple(m for m in members if m.member_id != member.member_id)
            )


def _as_voter(member):
    return Member(
        member_id=member.member_id,
        client_address=member.client_address,
        peer_address=member.peer_address,
        voter=True,
    )


def _problem(state, action, member_id):
    if state.transfer_target is not None:
        return MemberChangeProblem.TRANSFERRING
    # Two concurrent changes, or a change before the first commit of the term,
    # could result in two disjoint majorities.
    if state.commit_index < state.term_start_index:
        return MemberChangeProblem.TERM_NOT_STARTED
    if state.commit_index < state.log.membership_index:
        return MemberChangeProblem.CHANGE_PENDING
    members = {m.member_id: m for m in state.membership.members}
    current = members.get(member_id)
    if action is MemberAction.ADD_LEARNER:
        return MemberChangeProblem.ALREADY_MEMBER if current else None
    if current is None:
        return MemberChangeProblem.NOT_MEMBER
    if action is MemberAction.PROMOTE:
        if current.voter:
            return MemberChangeProblem.NOT_LEARNER
        if not is_caught_up(state, member_id):
            return MemberChangeProblem.NOT_CAUGHT_UP
    if action is MemberAction.REMOVE and state.voters() == {member_id}:
        return MemberChangeProblem.LAST_VOTER
    return None


def is_caught_up(state: CoreState, member_id):
    """Whether a member is known to have synced all committed entries."""
    if member_id == state.member_id:
        return True
    progress = state.progress.get(member_id)
    return progress is not None and progress.match_index >= state.commit_index


def is_replaced(state: CoreState, *, old: MemberId, new: MemberId):
    """Whether the replacement of ``old`` by ``new`` is complete.

    It is complete once the committed membership contains ``new`` as a voter and not
    ``old``, and ``new`` has synced all committed entries.
    """
    if state.role is not Role.LEADER:
        raise NotLeaderError
    if state.commit_index < max(state.term_start_index, state.log.membership_index):
        return False
    members = {m.member_id: m for m in state.membership.members}
    replaced = new in members and members[new].voter and old not in members
    return replaced and is_caught_up(state, new)


def update_progress(state: CoreState):
    """Starts replication to added members and ends it to removed ones."""
    if state.role is not Role.LEADER:
        return
    others = set(state.other_member_ids())
    for member_id in others - state.progress.keys():
        state.progress[member_id] = Progress(
            next_index=state.log.last.index + 1, heard_at=state.now
        )
    committed = state.commit_index >= state.log.membership_index
    if committed:
        for member_id in state.progress.keys() - others:
            del state.progress[member_id]
        if state.transfer_target not in state.progress:
            state.transfer_target = None
