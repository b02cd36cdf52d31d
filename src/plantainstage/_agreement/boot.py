"""Recognition of an older copy of a data folder by the peers.

A folder without a membership first learns one from the snapshot that a leader
offers, so that a copy from before it became a member is recognised as well. A
starting member takes no part in agreement until a majority of the voters,
itself included, has durably recorded its boot. A peer that knows a later boot,
a higher acknowledged log position or a higher acknowledged term proves that the
folder has lost something, and the replica stops.
"""

from plantainstage._agreement.actions import SavePeer, Stop
from plantainstage._agreement.state import CoreState
from plantainstage._errors import RolledBackFolderError
from plantainstage._messages.agreement import (
    BootReply,
    BootRequest,
    LogPosition,
    PeerRecord,
)


def start(state: CoreState):
    """Begins to ask the peers, if they are known already."""
    state.start_position = state.log.last
    snapshot = state.snapshot
    if snapshot is not None and not state.log.entries:
        state.start_position = LogPosition(
            term=max(snapshot.term, snapshot.received_in_term), index=snapshot.index
        )
    state.start_term = state.term
    state.boot_members = state.membership
    state.boot_retry_at = state.now
    on_timer(state)


def on_offered_snapshot(state: CoreState, membership):
    """Begins to ask the members that a leader's snapshot names."""
    if not state.boot_members.members:
        state.boot_members = membership
        state.boot_retry_at = state.now
        on_timer(state)


def on_timer(state: CoreState):
    """Asks those peers again that have not recorded the boot yet."""
    if state.joined or state.now < state.boot_retry_at:
        return
    if not state.boot_members.members:
        state.boot_retry_at = state.now + state.timing.election_timeout_s
        return
    _join_when_recorded(state)
    if state.joined:
        return
    state.boot_retry_at = state.now + state.timing.boot_retry_s
    request = BootRequest(boot=state.boot, boot_nonce=state.boot_nonce)
    others = {m.member_id for m in state.boot_members.members} - {state.member_id}
    for member_id in sorted(others):
        if member_id not in state.boot_recorded_by:
            state.send(member_id, request, after_sync=False)


def on_boot_request(state: CoreState, sender, request: BootRequest):
    """Records a peer's boot, unless a later one is known."""
    known = state.peers.get(sender) or PeerRecord(member_id=sender)
    later = known.boot > request.boot or (
        known.boot == request.boot and known.boot_nonce != request.boot_nonce
    )
    if not later and known.boot < request.boot:
        record = PeerRecord(
            member_id=sender,
            boot=request.boot,
            boot_nonce=request.boot_nonce,
            acknowledged=known.acknowledged,
            acknowledged_term=known.acknowledged_term,
        )
        state.peers[sender] = record
        state.actions.append(SavePeer(record=record))
    reply = BootReply(boot_nonce=request.boot_nonce, recorded=not later, known=known)
    state.send(sender, reply, after_sync=True)


def on_boot_reply(state: CoreState, sender, reply: BootReply):
    """Joins once a majority has recorded the boot; stops if one knows more."""
    if reply.boot_nonce != state.boot_nonce:
        return
    known = reply.known
    if not reply.recorded:
        _stop(state, sender, f"knows boot {known.boot}, this is boot {state.boot}.")
        return
    if state.joined:
        return
    if known.acknowledged > state.start_position:
        _stop(
            state,
            sender,
            f"knows that this replica acknowledged index {known.acknowledged.index} "
            f"of term {known.acknowledged.term}, but its log ends at index "
            f"{state.start_position.index} of term {state.start_position.term}.",
        )
        return
    if known.acknowledged_term > state.start_term:
        _stop(
            state,
            sender,
            f"knows that this replica acted in term {known.acknowledged_term}, but "
            f"its folder knows no term above {state.start_term}.",
        )
        return
    state.boot_recorded_by.add(sender)
    _join_when_recorded(state)


def _join_when_recorded(state):
    voters = {m.member_id for m in state.boot_members.members if m.voter}
    recorded = voters & (state.boot_recorded_by | {state.member_id})
    if 2 * len(recorded) > len(voters):
        state.joined = True
        state.reset_election_deadline()
        if state.voters() == {state.member_id}:
            # Nobody else can lead, so there is nothing to wait for.
            state.election_deadline = state.now


def _stop(state, sender, detail):
    state.stopped = True
    state.actions.append(
        Stop(
            error=RolledBackFolderError(
                path=str(state.member_id),
                detail=f"The data folder is an older copy: {sender} {detail}",
                remedy="Do not start this copy again. Move the folder away, start "
                "with an empty one and replace the replica: add the new "
                "incarnation as a learner, promote it, remove the old one.",
            )
        )
    )
