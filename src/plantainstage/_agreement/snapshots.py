"""Snapshot transfer to a member whose next entry the leader no longer holds."""

from plantainstage._agreement.state import CoreState, Progress, SnapshotTransfer
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import SnapshotChunk


def start_snapshot_transfer(state: CoreState, progress: Progress):
    """Starts to send the newest snapshot to a member."""
    check_invariant(
        state.snapshot is not None,
        invariant="a leader with a shortened log has a snapshot",
        detail=f"base {state.log.base}",
    )
    progress.snapshot_transfer = SnapshotTransfer(
        snapshot=state.snapshot, sent_at=float("-inf")
    )


def send_chunk(state: CoreState, member_id, *, heartbeat):
    """Sends the next chunk; a heartbeat sends it again if no reply has arrived."""
    progress = state.progress[member_id]
    if progress.snapshot_transfer is None:
        start_snapshot_transfer(state, progress)
    transfer = progress.snapshot_transfer
    snapshot = transfer.snapshot
    waiting = state.now - transfer.sent_at < state.timing.heartbeat_s
    # A reply may take a heartbeat interval; until then heartbeats carry no data.
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
