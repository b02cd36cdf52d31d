"""Transfer of a snapshot to a member whose next entry is no longer held."""

from plantainstage._agreement import replication
from plantainstage._agreement.actions import InstallSnapshot
from plantainstage._agreement.log import Log
from plantainstage._agreement.state import (
    CoreState,
    PartialSnapshot,
    Progress,
    Role,
    SnapshotTransfer,
)
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import Snapshot, SnapshotChunk, SnapshotReply

# ---- Leader -------------------------------------------------------------------------


def start_transfer(state: CoreState, progress: Progress):
    """Chooses the newest snapshot for a member."""
    check_invariant(
        state.snapshot is not None,
        invariant="a leader with a shortened log has a snapshot",
        detail=f"base {state.log.base}",
    )
    progress.transfer = SnapshotTransfer(snapshot=state.snapshot, sent_at=float("-inf"))


def send_chunk(state: CoreState, member_id, *, heartbeat):
    """Sends the next chunk; a heartbeat repeats it if no answer came."""
    progress = state.progress[member_id]
    if progress.transfer is None:
        start_transfer(state, progress)
    transfer = progress.transfer
    snapshot = transfer.snapshot
    waiting = state.now - transfer.sent_at < state.timing.heartbeat_s
    # While an answer is due, a heartbeat carries no data.
    size = 0 if heartbeat and waiting else state.timing.snapshot_chunk_bytes
    if size:
        transfer.sent_at = state.now
    chunk = SnapshotChunk(
        term=state.term,
        index=snapshot.index,
        snapshot_term=snapshot.term,
        membership=snapshot.membership,
        offset=transfer.offset,
        size=len(snapshot.data),
        data=snapshot.data[transfer.offset : transfer.offset + size],
        round=state.round,
    )
    state.send(member_id, chunk, after_sync=False)


def on_snapshot_reply(state: CoreState, sender, reply: SnapshotReply):
    """Continues at the offset that the member has received."""
    if reply.term > state.term:
        state.become_follower(term=reply.term)
        return
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or reply.term < state.term or progress is None:
        return
    replication.note_heard(state, sender, reply.round)
    transfer = progress.transfer
    if transfer is None or reply.index != transfer.snapshot.index:
        return
    if reply.installed:
        progress.transfer = None
        progress.next_index = reply.index + 1
        replication.on_match(state, sender, progress, reply.index)
        replication.send_entries(state, sender)
        return
    progressed = reply.offset != transfer.offset
    transfer.offset = reply.offset
    if progressed:
        send_chunk(state, sender, heartbeat=False)


# ---- Member -------------------------------------------------------------------------


def on_snapshot_chunk(state: CoreState, sender, chunk: SnapshotChunk):
    """Collects the chunks and installs the snapshot when it is complete."""
    if not replication.accept_leader(state, sender, chunk.term):
        _reply(state, sender, chunk, offset=0, installed=False)
        return
    if state.membership.members and chunk.index <= state.commit_index:
        # Everything up to the snapshot's index is already committed here.
        state.partial = None
        _reply(state, sender, chunk, offset=chunk.size, installed=True)
        return
    known = state.membership.members
    if known and state.log.term_at(chunk.index) == chunk.snapshot_term:
        # The log already has what the snapshot covers. Entries after it may
        # have been acknowledged, so they must stay.
        state.partial = None
        replication.commit_upto(state, chunk.index)
        _reply(state, sender, chunk, offset=chunk.size, installed=True)
        return
    partial = state.partial
    if partial is None or (partial.index, partial.term) != (
        chunk.index,
        chunk.snapshot_term,
    ):
        partial = PartialSnapshot(
            index=chunk.index, term=chunk.snapshot_term, size=chunk.size
        )
        state.partial = partial
    if chunk.offset == len(partial.data):
        partial.data += chunk.data
    complete = len(partial.data) >= partial.size
    if complete:
        _install(state, chunk, bytes(partial.data))
    _reply(state, sender, chunk, offset=len(partial.data), installed=complete)


def _install(state, chunk, data):
    check_invariant(
        chunk.index >= state.commit_index,
        invariant="a snapshot never takes back committed entries",
        detail=f"snapshot {chunk.index}, commit {state.commit_index}",
    )
    snapshot = Snapshot(
        index=chunk.index,
        term=chunk.snapshot_term,
        membership=chunk.membership,
        data=data,
        received_in_term=chunk.term,
    )
    state.partial = None
    state.snapshot = snapshot
    # The whole log conflicts with the snapshot or ends before it.
    state.log = Log(snapshot=snapshot, entries=[])
    state.commit_index = snapshot.index
    state.actions.append(InstallSnapshot(snapshot=snapshot))


def _reply(state, sender, chunk, *, offset, installed):
    reply = SnapshotReply(
        term=state.term,
        index=chunk.index,
        offset=offset,
        round=chunk.round,
        installed=installed,
    )
    state.send(sender, reply, after_sync=True)
