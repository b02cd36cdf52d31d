"""Rules by which a control group forms, grows and replaces lost members.

The replicas that the settings name at the very first start bootstrap the group. Any
other replica, and one whose folder was lost, asks to join. The leader adds it as a
learner. Once the learner has the whole log, the leader removes the lost voter whose
place it takes, if there is one, and promotes the learner. One step is committed at a
time, so that the majorities before and after it overlap.

A lost voter is removed before its successor is promoted: the others had to agree
without it anyway, and the successor may be lost as well at any moment.
"""

from dataclasses import dataclass

from plantainstage._messages.agreement import Member, MemberId
from plantainstage._messages.control import MemberAction, ReplicaStatus
from plantainstage._registry.group_limits import GroupLimits

# A member that was heard more recently is running; several heartbeats fit into it.
HEARD_MS = 1_000
# A replica that has known no leader for this long may have been removed meanwhile.
LEADERLESS_S = 3.0


@dataclass(frozen=True, kw_only=True)
class MemberStep:
    """A membership change for the leader to commit."""

    action: MemberAction
    member: Member


@dataclass(frozen=True, kw_only=True)
class GroupView:
    """What the leader of a group knows of it.

    ``statuses`` are the members as the leader sees them, ``commit_index`` its own
    commit index. ``join_requests`` holds the replicas that asked to join, by id.
    """

    statuses: tuple[ReplicaStatus, ...]
    commit_index: int
    join_requests: dict[str, Member]
    limits: GroupLimits

    @property
    def voters(self) -> list[ReplicaStatus]:
        """The members that vote."""
        return [status for status in self.statuses if status.voter]

    @property
    def learners(self) -> list[ReplicaStatus]:
        """The members that do not vote yet."""
        return [status for status in self.statuses if not status.voter]

    @property
    def lost_voters(self) -> list[ReplicaStatus]:
        """The voters that count as lost, the one that was silent longest first."""
        lost = [status for status in self.voters if self.is_lost(status)]
        return sorted(lost, key=lambda status: -status.last_heard_ms)

    def is_lost(self, status: ReplicaStatus) -> bool:
        """Whether a member has been silent for too long."""
        return not status.leader and status.last_heard_ms > self.limits.lost_after_ms

    def is_in_doubt(self, status: ReplicaStatus) -> bool:
        """Whether a member was silent for a while, but does not count as lost yet."""
        silent = not status.leader and status.last_heard_ms > HEARD_MS
        return silent and not self.is_lost(status)

    def is_caught_up(self, status: ReplicaStatus) -> bool:
        """Whether a learner runs and has all that is committed."""
        heard = 0 <= status.last_heard_ms < HEARD_MS
        return heard and status.match_index >= self.commit_index


def next_member_steps(view: GroupView) -> list[MemberStep]:
    """Returns the membership changes that may be taken now, the most urgent first.

    Only one can be committed at a time, but one that is refused does not keep the
    others from being taken.
    """
    return [
        *_removals_of_learners(view),
        *_replacements(view),
        *_additions(view),
        *_removals_of_lost(view),
    ]


def may_leave(view: GroupView, member_id: MemberId) -> bool:
    """Whether a voter that stops may be removed first.

    The group then needs no time to find out that the voter is gone.
    """
    is_voter = any(_member(status).member_id == member_id for status in view.voters)
    return is_voter and len(view.voters) > view.limits.min_voters


def needs_to_join(*, is_voter: bool, leaderless_s: float) -> bool:
    """Whether a replica should ask to join, as it may not be a member of the group.

    ``is_voter`` is whether its own log lists it as a voter, ``leaderless_s`` the time
    for which it has known no leader. A learner that was silent for a while may have
    been removed. It holds no elections, so it would never miss its leader; the leader
    ignores the request of a learner that it still has.
    """
    return not is_voter or leaderless_s > LEADERLESS_S


def _removals_of_learners(view):
    """Yields learners that are lost, or whose folder was lost before they caught up."""
    for learner in view.learners:
        asking = view.join_requests.get(learner.replica_id)
        superseded = (
            asking is not None
            and asking.member_id.incarnation != learner.incarnation
            and learner.last_heard_ms > HEARD_MS
        )
        if superseded or view.is_lost(learner):
            yield _step(MemberAction.REMOVE, learner)


def _replacements(view):
    """Returns the steps that put learners in the places of lost voters."""
    removals = list(_removals_of_replaced(view))
    promotions = list(_promotions(view))
    if len(view.voters) < view.limits.min_voters:
        return [*promotions, *removals]
    if any(map(view.is_in_doubt, view.voters)):
        # A learner takes the place of such a voter, or is promoted if that is back. If
        # the voter stayed as well, a second loss would leave no majority.
        return removals
    return [*removals, *promotions]


def _removals_of_replaced(view):
    """Yields the lost voters whose places learners are ready to take."""
    ready = [learner for learner in view.learners if view.is_caught_up(learner)]
    newcomers = [*ready, *view.voters]
    for voter in view.voters:
        if any(_succeeds(newcomer, voter) for newcomer in newcomers):
            yield _step(MemberAction.REMOVE, voter)
    if ready:
        for voter in view.lost_voters:
            yield _step(MemberAction.REMOVE, voter)


def _succeeds(new, old):
    """Whether ``new`` is a later folder at the address of ``old``."""
    same = old.replica_id == new.replica_id
    return same and old.incarnation != new.incarnation and _heard_last(new, old)


def _heard_last(new, old):
    """Whether ``new`` answered last, of two incarnations with the same replica id."""
    if new.leader:
        return True
    if old.leader or new.last_heard_ms < 0:
        return False
    return old.last_heard_ms < 0 or new.last_heard_ms < old.last_heard_ms


def _promotions(view):
    for learner in view.learners:
        if view.is_caught_up(learner):
            yield _step(MemberAction.PROMOTE, learner)


def _additions(view):
    known = {_member(status).member_id for status in view.statuses}
    for member in view.join_requests.values():
        if member.member_id not in known:
            yield MemberStep(action=MemberAction.ADD_LEARNER, member=member)


def _removals_of_lost(view):
    """Yields a lost voter of a group that is larger than it has to be.

    Without a learner that is ready for its place there is no hurry, and a voter that
    returns would have to join again.
    """
    lost = view.lost_voters
    live = len(view.voters) - len(lost)
    gone = [s for s in lost if s.last_heard_ms > view.limits.gone_after_ms]
    if gone and live >= view.limits.min_voters:
        yield _step(MemberAction.REMOVE, gone[0])


def _step(action, status):
    return MemberStep(action=action, member=_member(status))


def _member(status):
    return Member(
        member_id=MemberId(
            replica_id=status.replica_id, incarnation=status.incarnation
        ),
        client_address=status.client_address,
        peer_address=status.peer_address,
        voter=status.voter,
    )
