"""The members of a group as one replica sees them."""

from plantainstage._agreement.core import Core
from plantainstage._messages.control import ReplicaStatus, ReplicaWait

# Several heartbeats fit into it.
RECENT_S = 1.0


def member_statuses(core: Core) -> tuple[ReplicaStatus, ...]:
    """Returns the status of each member.

    Only the leader knows ``match_index`` and ``last_heard_ms`` of other members;
    where they are unknown, they are 0 and -1.
    """
    members = core.state.membership.members
    return tuple(_status(core.state, member) for member in members)


def _status(state, member):
    progress = state.progress.get(member.member_id)
    match_index, heard_ms = 0, -1
    if member.member_id == state.member_id:
        match_index, heard_ms = state.log.last.index, 0
    elif progress is not None:
        match_index = progress.match_index
        heard_ms = round((state.now - progress.heard_at) * 1000)
    return ReplicaStatus(
        replica_id=member.member_id.replica_id,
        incarnation=member.member_id.incarnation,
        client_address=member.client_address,
        peer_address=member.peer_address,
        voter=member.voter,
        leader=member.member_id == state.leader,
        match_index=match_index,
        last_heard_ms=heard_ms,
        waits_for=_wait_of(state, progress),
    )


def _wait_of(state, progress):
    if progress is None:
        return ReplicaWait.NOTHING
    if state.now - progress.unrecorded_at < RECENT_S:
        return ReplicaWait.RECORD_OF_START
    if state.now - progress.heard_at > RECENT_S:
        return ReplicaWait.REPLY
    if progress.snapshot_transfer is not None:
        return ReplicaWait.SNAPSHOT
    if progress.match_index < state.commit_index:
        return ReplicaWait.ENTRIES
    return ReplicaWait.NOTHING
