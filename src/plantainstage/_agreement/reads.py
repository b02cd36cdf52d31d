"""Linearizable reads, for which leadership is confirmed after the read has started."""

from plantainstage._agreement.actions import ReadReady
from plantainstage._agreement.state import CoreState, PendingRead


def start_read(state: CoreState, request):
    """Adds a read that waits for the replies to a broadcast round after this call."""
    state.pending_reads.append(PendingRead(request=request, round=state.round + 1))
    state.broadcast_due = True


def release_reads(state: CoreState):
    """Releases the reads whose round a majority has answered."""
    if not state.pending_reads or state.commit_index < state.term_start_index:
        # Before the first commit of its term, a leader may not know which entries
        # of earlier terms are committed.
        return
    ready = []
    while state.pending_reads and _confirmed(state, state.pending_reads[0].round):
        ready.append(state.pending_reads.pop(0))
    for read in ready:
        state.actions.append(ReadReady(request=read.request, index=state.commit_index))


def _confirmed(state, round_number):
    if state.round < round_number:
        return False
    answered = {m for m, p in state.progress.items() if p.round >= round_number}
    return state.is_quorum(answered | {state.member_id})
