"""Handling of a leader's entries and snapshots by a follower."""

from plantainstage._agreement import boot
from plantainstage._agreement.actions import InstallSnapshot, SaveEntries
from plantainstage._agreement.commit import commit_up_to
from plantainstage._agreement.log import Log
from plantainstage._agreement.state import CoreState, PartialSnapshot, Role
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import (
    AppendReply,
    AppendRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)


def accept_leader(state: CoreState, sender, term):
    """Follows ``sender`` in ``term``; returns false for the leader of an old term."""
    if term < state.term:
        return False
    check_invariant(
        not (term == state.term and state.role is Role.LEADER),
        invariant="one leader a term",
        detail=f"{sender} and {state.member_id} lead term {term}",
    )
    state.become_follower(term=term)
    state.set_leader(sender)
    state.leader_heard_at = state.now
    state.reset_election_deadline()
    return True


def on_append_request(state: CoreState, sender, request: AppendRequest):
    """Appends the leader's entries if the previous entry matches the log."""
    if not accept_leader(state, sender, request.term):
        _reject(state, sender, request, state.log.last.index)
        return
    boot.merge_peer_records(state, sender, request.known)
    if state.stopped:
        return
    if not state.membership.members:
        ask_for_snapshot(state, sender, request)
        return
    previous = request.previous
    if previous.index > state.log.last.index:
        _reject(state, sender, request, state.log.last.index)
        return
    own_term = state.log.term_at(previous.index)
    if own_term is not None and own_term != previous.term:
        check_invariant(
            previous.index > state.commit_index,
            invariant="committed entries match the leader's",
            detail=f"entry {previous.index}: {own_term} and {previous.term}",
        )
        first = state.log.first_index_of_term_at(previous.index)
        _reject(state, sender, request, max(first - 1, state.commit_index))
        return
    _append_new(state, request.entries)
    match = previous.index + len(request.entries)
    commit = min(request.commit_index, match)
    if commit > state.commit_index:
        commit_up_to(state, commit)
    reply = AppendReply(
        term=state.term, accepted=True, index=match, round=request.round
    )
    state.send(sender, reply, after_sync=True)


def ask_for_snapshot(state: CoreState, sender, request: AppendRequest):
    """Asks the leader for a snapshot first, since it contains the membership."""
    reply = AppendReply(
        term=request.term,
        accepted=False,
        index=0,
        round=request.round,
        needs_snapshot=True,
    )
    state.send(sender, reply, after_sync=True)


def _append_new(state, entries):
    # Entries that the log already holds are skipped: a delayed request must not
    # truncate what a later one appended.
    new = [
        entry
        for entry in entries
        if entry.index > state.log.base.index
        and state.log.term_at(entry.index) != entry.term
    ]
    if not new:
        return
    first = new[0].index
    check_invariant(
        first > state.commit_index,
        invariant="committed entries are never replaced",
        detail=f"entry {first} of term {new[0].term}, commit {state.commit_index}",
    )
    kept = tuple(entry for entry in entries if entry.index >= first)
    state.log.append(kept)
    state.actions.append(SaveEntries(entries=kept))


def _reject(state, sender, request, index):
    reply = AppendReply(
        term=state.term, accepted=False, index=index, round=request.round
    )
    state.send(sender, reply, after_sync=True)


# ---- Snapshots --------------------------------------------------------------------


def on_snapshot_chunk(state: CoreState, sender, chunk: SnapshotChunk):
    """Collects chunks and installs the snapshot once it is complete."""
    if not accept_leader(state, sender, chunk.term):
        _reply(state, sender, chunk, offset=0, installed=False)
        return
    if state.membership.members and chunk.index <= state.commit_index:
        # All entries up to the snapshot's index are already committed here.
        state.partial_snapshot = None
        _reply(state, sender, chunk, offset=chunk.size, installed=True)
        return
    known = state.membership.members
    if known and state.log.term_at(chunk.index) == chunk.snapshot_term:
        # The log already holds what the snapshot covers. Later entries may have
        # been acknowledged, so they must be kept.
        state.partial_snapshot = None
        commit_up_to(state, chunk.index)
        _reply(state, sender, chunk, offset=chunk.size, installed=True)
        return
    partial = state.partial_snapshot
    if partial is None or (partial.index, partial.term) != (
        chunk.index,
        chunk.snapshot_term,
    ):
        partial = PartialSnapshot(
            index=chunk.index, term=chunk.snapshot_term, size=chunk.size
        )
        state.partial_snapshot = partial
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
    )
    state.partial_snapshot = None
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
