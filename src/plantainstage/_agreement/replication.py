"""Replication of the log: the leader's broadcasts and the members' replies."""

from plantainstage._agreement import boot, snapshots
from plantainstage._agreement.actions import Apply, ReadReady, SaveEntries
from plantainstage._agreement.log import encode_membership
from plantainstage._agreement.membership import update_progress
from plantainstage._agreement.state import CoreState, PendingRead, Progress, Role
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    LogPosition,
)

ENTRY_OVERHEAD_BYTES = 16


# ---- Leader ------------------------------------------------------------------


def become_leader(state: CoreState):
    """Starts to lead: a no-op opens the term, so that earlier entries commit."""
    state.role = Role.LEADER
    state.reads = []
    state.partial = None
    state.transfer_target = None
    state.progress = {
        member_id: Progress(next_index=state.log.last.index + 1, heard_at=state.now)
        for member_id in state.others()
    }
    state.own_match = 0
    state.quorum_checked_at = state.now
    state.term_start_index = state.log.last.index + 1
    state.set_leader(state.member_id)
    append_own(state, EntryKind.NO_OP, [b""])


def append_own(state: CoreState, kind, payloads):
    """Appends entries of the current term to the leader's log."""
    first = state.log.last.index + 1
    entries = tuple(
        Entry(state.term, first + offset, kind, data)
        for offset, data in enumerate(payloads)
    )
    state.log.append(entries)
    state.actions.append(SaveEntries(entries=entries))
    state.round_wanted = True
    return tuple(entry.index for entry in entries)


def append_membership(state: CoreState, membership):
    """Appends a new membership, which counts from now on."""
    indices = append_own(state, EntryKind.MEMBERSHIP, [encode_membership(membership)])
    update_progress(state)
    return indices[0]


def broadcast(state: CoreState):
    """Sends each member what it lacks, under a new round number."""
    state.round += 1
    state.round_wanted = False
    state.heartbeat_at = state.now + state.timing.heartbeat_s
    for member_id in sorted(state.progress):
        send_entries(state, member_id, heartbeat=True)


def send_entries(state: CoreState, member_id, *, heartbeat=False):
    """Sends the next entries to a member, or a part of a snapshot."""
    progress = state.progress.get(member_id)
    if progress is None:
        # The last reply committed this member's removal or the leader's own.
        return
    if progress.transfer is not None or progress.next_index <= state.log.base.index:
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
        known=known_acknowledgements(state) if heartbeat else (),
    )
    # The request claims nothing about the leader's own disk, so it need not wait.
    state.send(member_id, request, after_sync=False)
    if entries:
        if progress.probing:
            progress.probe_sent_at = state.now
        else:
            progress.next_index = entries[-1].index + 1


def _next_entries(state, progress):
    if progress.probing:
        waiting = state.now - progress.probe_sent_at < state.timing.heartbeat_s
        if waiting:
            return ()
    room = state.timing.max_in_flight_entries
    last = min(state.log.last.index, progress.match_index + room)
    if progress.probing:
        last = min(state.log.last.index, progress.next_index - 1 + room)
    size = 0
    upto = progress.next_index - 1
    while upto < last and size < state.timing.max_append_bytes:
        upto += 1
        entry = state.log.entries[upto - state.log.base.index - 1]
        size += len(entry.data) + ENTRY_OVERHEAD_BYTES
    return state.log.between(progress.next_index, upto)


def known_acknowledgements(state: CoreState):
    """Returns what members have acknowledged, the leader's own log included."""
    return tuple(
        state.peers[member_id]
        for member_id in sorted(state.peers)
        if member_id in state.progress or member_id == state.member_id
    )


def on_append_reply(state: CoreState, sender, reply: AppendReply):
    """Notes what a member has synced; commits and continues."""
    if reply.term > state.term:
        state.become_follower(term=reply.term)
        return
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or reply.term < state.term or progress is None:
        return
    note_heard(state, sender, reply.round)
    if reply.needs_snapshot:
        if progress.transfer is None:
            snapshots.start_transfer(state, progress)
        snapshots.send_chunk(state, sender, heartbeat=False)
        return
    if not reply.accepted:
        if reply.index + 1 < progress.next_index and progress.transfer is None:
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


def on_match(state: CoreState, sender, progress, index):
    """Notes that ``sender`` has synced this leader's log up to ``index``."""
    if index >= progress.match_index:
        progress.match_index = index
        progress.probing = False
        progress.next_index = max(progress.next_index, index + 1)
        term = state.log.term_at(index)
        if term is not None:
            position = LogPosition(term=term, index=index)
            state.note_peer(sender, acknowledged=position, term=state.term)
    advance_commit(state)


def note_heard(state: CoreState, sender, round_number):
    """Notes an answer to a round; reads may become ready."""
    progress = state.progress[sender]
    progress.heard_at = state.now
    progress.round = max(progress.round, round_number)
    release_reads(state)


def on_log_synced(state: CoreState, index):
    """Counts the leader's own log up to ``index``, which is now durable."""
    term = state.log.term_at(index)
    if term is not None:
        state.note_peer(
            state.member_id,
            acknowledged=LogPosition(term=term, index=index),
            term=state.term,
        )
    if state.role is Role.LEADER:
        state.own_match = index
        advance_commit(state)


def advance_commit(state: CoreState):
    """Commits what a majority has synced, if it is of the current term."""
    if state.role is not Role.LEADER:
        return
    matches = sorted(
        (
            state.own_match if voter == state.member_id else _match(state, voter)
            for voter in state.voters()
        ),
        reverse=True,
    )
    index = matches[len(matches) // 2]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        commit_upto(state, index)
        update_progress(state)
        release_reads(state)
        if state.member_id not in {m.member_id for m in state.membership.members}:
            # A removed leader ends its work once its removal is committed. The
            # members learn the commit index from a last broadcast.
            broadcast(state)
            state.become_follower(term=state.term)


def _match(state, member_id):
    progress = state.progress.get(member_id)
    return progress.match_index if progress else 0


def commit_upto(state: CoreState, index):
    """Raises the commit index and hands the entries over to be applied."""
    check_invariant(
        state.commit_index < index <= state.log.last.index,
        invariant="the commit index only rises, within the log",
        detail=f"{state.commit_index} to {index} of {state.log.last.index}",
    )
    entries = state.log.between(state.commit_index + 1, index)
    state.commit_index = index
    state.actions.append(Apply(entries=entries))


# ---- Reads ------------------------------------------------------------------


def start_read(state: CoreState, request):
    """Confirms leadership in a round that begins after this call."""
    state.reads.append(PendingRead(request=request, round=state.round + 1))
    state.round_wanted = True


def release_reads(state: CoreState):
    """Releases the reads whose round a majority has answered."""
    if not state.reads or state.commit_index < state.term_start_index:
        # Before the first commit of its term a leader may not know which of the
        # earlier entries are committed.
        return
    ready = []
    while state.reads and _confirmed(state, state.reads[0].round):
        ready.append(state.reads.pop(0))
    for read in ready:
        state.actions.append(ReadReady(request=read.request, index=state.commit_index))


def _confirmed(state, round_number):
    if state.round < round_number:
        return False
    answered = {m for m, p in state.progress.items() if p.round >= round_number}
    return state.is_quorum(answered | {state.member_id})


# ---- Follower ------------------------------------------------------------------


def accept_leader(state: CoreState, sender, term):
    """Follows ``sender`` in ``term``; returns false for an outdated leader."""
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
    """Appends the leader's entries if they connect to the log."""
    if not accept_leader(state, sender, request.term):
        _reject(state, sender, request, state.log.last.index)
        return
    boot.note_records(state, sender, request.known)
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
        commit_upto(state, commit)
    reply = AppendReply(
        term=state.term, accepted=True, index=match, round=request.round
    )
    state.send(sender, reply, after_sync=True)


def ask_for_snapshot(state: CoreState, sender, request: AppendRequest):
    """Asks the leader to begin with a snapshot, which has a membership."""
    reply = AppendReply(
        term=request.term,
        accepted=False,
        index=0,
        round=request.round,
        needs_snapshot=True,
    )
    state.send(sender, reply, after_sync=True)


def _append_new(state, entries):
    # Entries that the log already has are skipped: an old request must not cut
    # off what a later one appended.
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
