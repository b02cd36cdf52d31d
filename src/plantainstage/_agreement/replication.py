"""Log replication by the leader: broadcasts and the members' replies."""

from plantainstage._agreement import snapshots
from plantainstage._agreement.actions import SaveEntries
from plantainstage._agreement.commit import commit_up_to
from plantainstage._agreement.log import encode_membership
from plantainstage._agreement.membership import update_progress
from plantainstage._agreement.reads import release_reads
from plantainstage._agreement.state import CoreState, Progress, Role
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import (
    Acknowledgement,
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    LogPosition,
    SnapshotReply,
)

ENTRY_OVERHEAD_BYTES = 16


def become_leader(state: CoreState):
    """Becomes leader and appends a no-op, whose commit also commits earlier entries."""
    state.role = Role.LEADER
    state.pending_reads = []
    state.partial_snapshot = None
    state.transfer_target = None
    state.progress = {
        member_id: Progress(next_index=state.log.last.index + 1, heard_at=state.now)
        for member_id in state.other_member_ids()
    }
    state.own_match_index = 0
    state.quorum_checked_at = state.now
    state.term_start_index = state.log.last.index + 1
    state.set_leader(state.member_id)
    append_leader_entries(state, EntryKind.NO_OP, [b""])


def append_leader_entries(state: CoreState, kind, payloads):
    """Appends entries of the current term to the log; returns their indices."""
    first = state.log.last.index + 1
    entries = tuple(
        Entry(state.term, first + offset, kind, data)
        for offset, data in enumerate(payloads)
    )
    state.log.append(entries)
    state.actions.append(SaveEntries(entries=entries))
    state.broadcast_due = True
    return tuple(entry.index for entry in entries)


def append_membership(state: CoreState, membership):
    """Appends a membership, in force from now on; returns the index of its entry."""
    indices = append_leader_entries(
        state, EntryKind.MEMBERSHIP, [encode_membership(membership)]
    )
    update_progress(state)
    return indices[0]


def broadcast(state: CoreState):
    """Sends each member its next entries, under a new round number."""
    state.round += 1
    state.broadcast_due = False
    state.heartbeat_at = state.now + state.timing.heartbeat_s
    for member_id in sorted(state.progress):
        send_entries(state, member_id, heartbeat=True)


def send_entries(state: CoreState, member_id, *, heartbeat=False):
    """Sends the next entries or the next snapshot chunk to a member."""
    progress = state.progress.get(member_id)
    if progress is None:
        # The last reply committed the removal of this member, or of the leader.
        return
    if (
        progress.snapshot_transfer is not None
        or progress.next_index <= state.log.base.index
    ):
        snapshots.send_chunk(state, member_id, heartbeat=heartbeat)
        return
    entries = _next_entries(state, progress)
    if not entries and not heartbeat:
        return
    previous = progress.next_index - 1
    request = AppendRequest(
        term=state.term,
        previous=LogPosition(term=state.log.term_at(previous), index=previous),
        entries=entries,
        commit_index=state.commit_index,
        round=state.round,
        known=_records_to_send(state, progress),
    )
    # The request states nothing about the leader's own disk, so no sync is needed.
    state.send(member_id, request, after_sync=False)
    if entries:
        if progress.probing:
            progress.probe_sent_at = state.now
        else:
            progress.next_index = entries[-1].index + 1


def _records_to_send(state, progress):
    """Returns the members' records unless the member has confirmed that it has them.

    Records that change during a round are confirmed by a reply to a later one, since
    an earlier request of the same round lacks them.
    """
    records = acknowledgement_records(state)
    if records != progress.sent_records:
        progress.sent_records = records
        progress.records_in_all_from_round = state.round + 1
        progress.records_confirmed = False
    return () if progress.records_confirmed else records


def _next_entries(state, progress):
    if progress.probing:
        waiting = state.now - progress.probe_sent_at < state.timing.heartbeat_s
        if waiting:
            return ()
    window = state.timing.max_in_flight_entries
    last = min(state.log.last.index, progress.match_index + window)
    if progress.probing:
        last = min(state.log.last.index, progress.next_index - 1 + window)
    size = 0
    last_sent = progress.next_index - 1
    while last_sent < last and size < state.timing.max_append_bytes:
        last_sent += 1
        entry = state.log.entries[last_sent - state.log.base.index - 1]
        size += len(entry.data) + ENTRY_OVERHEAD_BYTES
    return state.log.between(progress.next_index, last_sent)


def acknowledgement_records(state: CoreState):
    """Returns the acknowledgements of the members, including the leader itself."""
    return tuple(
        state.peers[member_id]
        for member_id in sorted(state.peers)
        if member_id in state.progress or member_id == state.member_id
    )


def on_append_reply(state: CoreState, sender, reply: AppendReply):
    """Records what a member has synced, commits and sends the next entries."""
    if reply.term > state.term:
        state.become_follower(term=reply.term)
        return
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or reply.term < state.term or progress is None:
        return
    record_response(state, sender, reply.round)
    if reply.round >= progress.records_in_all_from_round:
        progress.records_confirmed = True
    if reply.needs_snapshot:
        if progress.snapshot_transfer is None:
            snapshots.start_snapshot_transfer(state, progress)
        snapshots.send_chunk(state, sender, heartbeat=False)
        return
    if not reply.accepted:
        if reply.index + 1 < progress.next_index and progress.snapshot_transfer is None:
            progress.probing = True
            progress.probe_sent_at = float("-inf")
            progress.next_index = max(reply.index + 1, progress.match_index + 1)
            send_entries(state, sender)
        return
    check_invariant(
        reply.index <= state.log.last.index,
        invariant="a follower matches only what the leader has",
        detail=f"{sender} matches {reply.index} of {state.log.last.index}",
    )
    on_match(state, sender, progress, reply.index)
    send_entries(state, sender)


def offer_snapshot(state: CoreState, sender, reply: AppendReply):
    """Sends a snapshot to a process whose start is not recorded, and notes nothing.

    The snapshot names the members that have to record the start. The request may also
    be a late one of an earlier process, so it is no sign of the present one.
    """
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or reply.term < state.term or progress is None:
        return
    if progress.match_index == 0 and progress.snapshot_transfer is None:
        snapshots.start_snapshot_transfer(state, progress)
        snapshots.send_chunk(state, sender, heartbeat=False)


def on_snapshot_reply(state: CoreState, sender, reply: SnapshotReply):
    """Continues at the offset that the member has acknowledged."""
    if reply.term > state.term:
        state.become_follower(term=reply.term)
        return
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or reply.term < state.term or progress is None:
        return
    record_response(state, sender, reply.round)
    transfer = progress.snapshot_transfer
    if transfer is None or reply.index != transfer.snapshot.index:
        return
    if reply.installed:
        progress.snapshot_transfer = None
        progress.next_index = reply.index + 1
        on_match(state, sender, progress, reply.index)
        send_entries(state, sender)
        return
    progressed = reply.offset != transfer.offset
    transfer.offset = reply.offset
    if progressed:
        snapshots.send_chunk(state, sender, heartbeat=False)


def on_match(state: CoreState, sender, progress, index):
    """Records that ``sender`` has synced the leader's log up to ``index``."""
    if index >= progress.match_index:
        progress.match_index = index
        progress.probing = False
        progress.next_index = max(progress.next_index, index + 1)
        position = Acknowledgement(term=state.term, index=index)
        state.update_peer_record(sender, acknowledged=position, term=state.term)
    advance_commit(state)


def record_response(state: CoreState, sender, round_number):
    """Records a reply to a round and releases the reads that it confirms."""
    progress = state.progress[sender]
    progress.heard_at = state.now
    progress.round = max(progress.round, round_number)
    release_reads(state)


def on_log_synced(state: CoreState, index):
    """Records that the leader's own log is durable up to ``index``."""
    if state.role is Role.LEADER:
        position = Acknowledgement(term=state.term, index=index)
        state.update_peer_record(
            state.member_id, acknowledged=position, term=state.term
        )
        state.own_match_index = index
        advance_commit(state)


def advance_commit(state: CoreState):
    """Commits the entries that a majority has synced.

    Only an entry of the current term is committed by counting; it commits the earlier
    ones with it.
    """
    if state.role is not Role.LEADER:
        return
    matches = sorted(
        (
            state.own_match_index
            if voter == state.member_id
            else _match_index(state, voter)
            for voter in state.voters()
        ),
        reverse=True,
    )
    index = matches[len(matches) // 2]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        commit_up_to(state, index)
        update_progress(state)
        release_reads(state)
        if state.member_id not in {m.member_id for m in state.membership.members}:
            # A leader steps down once its own removal is committed. A last broadcast
            # tells the members the commit index.
            broadcast(state)
            state.become_follower(term=state.term)


def _match_index(state, member_id):
    progress = state.progress.get(member_id)
    return progress.match_index if progress else 0
