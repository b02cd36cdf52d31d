"""Rules by which a control group forms, grows and replaces lost members.

The replicas that the settings name at the very first start bootstrap the group. Any
other replica, and one whose folder was lost, asks to join. The leader adds it as a
learner, promotes it to a voter once it has the whole log, and then removes the member
that it replaces. One step is committed at a time, so that the majorities before and
after it overlap.
"""

from dataclasses import dataclass

from plantainstage._messages.agreement import Member, MemberId
from plantainstage._messages.control import MemberAction, ReplicaStatus

# A voter that has been silent for this long is removed once a replica that joined
# later has taken its place in the majority. It asks to join again if it returns.
LOST_AFTER_MS = 6_000
MIN_VOTERS = 3
# A replica that has known no leader for this long may have been removed meanwhile.
LEADERLESS_S = 3.0


@dataclass(frozen=True, kw_only=True)
class MemberStep:
    """A membership change for the leader to commit."""

    action: MemberAction
    member: Member


def next_member_step(
    statuses: tuple[ReplicaStatus, ...], join_requests: dict[str, Member]
) -> MemberStep | None:
    """Returns the next membership change, or None.

    ``statuses`` are the members as the leader sees them. ``join_requests`` holds the
    replicas that asked to join, by replica id.
    """
    return (
        _promotion(statuses)
        or _replacement(statuses)
        or _addition(statuses, join_requests)
        or _removal(statuses)
    )


def needs_to_join(*, is_member: bool, leaderless_s: float) -> bool:
    """Whether a replica should ask to join, as it may not be a member of the group.

    ``is_member`` is whether its own log lists it, ``leaderless_s`` the time for which
    it has known no leader.
    """
    return not is_member or leaderless_s > LEADERLESS_S


def _promotion(statuses):
    for status in statuses:
        if not status.voter and status.last_heard_ms >= 0:
            return MemberStep(action=MemberAction.PROMOTE, member=_member(status))
    return None


def _replacement(statuses):
    """Removes a member whose folder was lost, once its new incarnation is a voter."""
    for new in statuses:
        for old in statuses:
            same = old.replica_id == new.replica_id
            replaced = same and old.incarnation != new.incarnation and new.voter
            if replaced and _heard_more_recently(new, old):
                return MemberStep(action=MemberAction.REMOVE, member=_member(old))
    return None


def _heard_more_recently(new, old):
    """Whether ``new`` answered last, of two incarnations with the same replica id."""
    if new.leader:
        return True
    if old.leader or new.last_heard_ms < 0:
        return False
    return old.last_heard_ms < 0 or new.last_heard_ms < old.last_heard_ms


def _addition(statuses, join_requests):
    known = {(s.replica_id, s.incarnation) for s in statuses}
    for member in join_requests.values():
        identity = (member.member_id.replica_id, member.member_id.incarnation)
        if identity not in known:
            return MemberStep(action=MemberAction.ADD_LEARNER, member=member)
    return None


def _removal(statuses):
    voters = [status for status in statuses if status.voter]
    lost = [s for s in voters if not s.leader and s.last_heard_ms > LOST_AFTER_MS]
    live = len(voters) - len(lost)
    # A lost voter is removed only when a new one replaces it: the group never shrinks
    # below MIN_VOTERS.
    if lost and live >= MIN_VOTERS and len(voters) > MIN_VOTERS:
        return MemberStep(action=MemberAction.REMOVE, member=_member(lost[0]))
    return None


def _member(status):
    return Member(
        member_id=MemberId(
            replica_id=status.replica_id, incarnation=status.incarnation
        ),
        client_address=status.client_address,
        peer_address=status.peer_address,
        voter=status.voter,
    )
