"""Detection of a data folder that was rolled back to an older copy.

Each start of a replica is a boot, counted in its data folder and identified by a
random nonce. A starting replica neither votes nor acknowledges entries until all
members have durably recorded its boot, or after a grace period a majority of the
voters, itself included. If a peer knows a later boot of the folder, a higher
acknowledged log position, or a higher term in which the folder voted or
acknowledged, then the folder has lost data and the replica stops. A folder without
a membership takes one from the snapshot that a leader offers, so that a copy from
before the replica became a member is detected as well.

The replica asks the members of the most advanced log that it learns of: after a
long absence its own log may name only members that have since been replaced. The
leader's heartbeats distribute boot records, so that a new member knows what the
member that it replaced knew.

A peer that has recorded a boot ignores messages from other processes of that
folder: an acknowledgement sent before a rollback must not count when it arrives
late.
"""

from plantainstage._agreement.actions import SavePeer, Stop
from plantainstage._agreement.state import CoreState
from plantainstage._errors import RolledBackFolderError
from plantainstage._messages.agreement import (
    Acknowledgement,
    BootReply,
    BootRequest,
    Membership,
    PeerRecord,
)


def start(state: CoreState):
    """Requests boot records from the members, if the folder names any."""
    state.start_acknowledgement = own_acknowledgement(state)
    state.start_term = state.term
    state.boot_members_position = state.log.last
    _begin_boot_requests(state, state.membership)


def on_offered_snapshot(state: CoreState, membership: Membership):
    """Requests boot records from the members that a leader's snapshot names."""
    if not state.boot_members.members:
        _begin_boot_requests(state, membership)


def _begin_boot_requests(state, membership):
    state.boot_members = membership
    state.boot_retry_at = state.now
    state.boot_grace_until = state.now + state.timing.boot_grace_s
    on_timer(state)


def own_acknowledgement(state: CoreState):
    """Returns an upper bound of all positions that this folder has acknowledged."""
    return Acknowledgement(term=state.term, index=state.log.last.index)


def _members_without_record(state):
    has_membership = state.joined and state.membership.members
    membership = state.membership if has_membership else state.boot_members
    ids = {member.member_id for member in membership.members}
    return ids - state.boot_recorded_by - {state.member_id}


def _members_to_ask(state):
    """Returns the members that have to record this boot, or may know later members."""
    if state.joined:
        return _members_without_record(state)
    ids = {member.member_id for member in state.boot_members.members}
    return ids - {state.member_id}


def needs_timer(state: CoreState):
    """Whether this boot still has to be recorded by some member."""
    return not state.joined or bool(_members_without_record(state))


def on_timer(state: CoreState):
    """Repeats the request to the members that have not recorded the boot yet.

    Until the replica joins all are asked, since those that it waits for may have been
    removed; a reply names the members that replaced them.
    """
    if state.now < state.boot_retry_at:
        return
    state.boot_retry_at = state.now + state.timing.boot_retry_s
    if not state.joined:
        _join_if_recorded(state)
    for member_id in sorted(_members_to_ask(state)):
        _request_record(state, member_id)


def request_record_if_unknown(state: CoreState, sender):
    """Requests a boot record from a sender outside the known membership.

    A folder without a membership knows no members at all: an earlier process of it may
    have stopped before it had one, and members that have recorded that process drop
    everything else that this one sends. The reply names the members.
    """
    known = {member.member_id for member in state.boot_members.members}
    if sender not in known and sender not in state.boot_recorded_by:
        _request_record(state, sender)


def _request_record(state, member_id):
    request = BootRequest(boot=state.boot, boot_nonce=state.boot_nonce)
    state.send(member_id, request, after_sync=False)


def is_recorded_process(state: CoreState, sender, process):
    """Whether a message comes from the process whose boot is recorded, if any."""
    record = state.peers.get(sender)
    return record is None or record.boot_nonce in ("", process)


def on_boot_request(state: CoreState, sender, request: BootRequest):
    """Records a peer's boot, unless a later one is recorded, and replies."""
    known = state.peers.get(sender) or PeerRecord(member_id=sender)
    later = known.boot > request.boot or (
        known.boot == request.boot and known.boot_nonce != request.boot_nonce
    )
    if known.boot < request.boot:
        _save_boot(state, known, request)
    reply = BootReply(
        boot_nonce=request.boot_nonce,
        recorded=not later,
        known=known,
        term=state.term,
        membership=state.membership,
        last=state.log.last,
    )
    state.send(sender, reply, after_sync=True)


def _save_boot(state, known, newer):
    record = PeerRecord(
        member_id=known.member_id,
        boot=newer.boot,
        boot_nonce=newer.boot_nonce,
        acknowledged=known.acknowledged,
        acknowledged_term=known.acknowledged_term,
    )
    state.peers[known.member_id] = record
    state.actions.append(SavePeer(record=record))


def on_boot_reply(state: CoreState, sender, reply: BootReply):
    """Joins once enough peers have recorded the boot; stops if data was lost."""
    if reply.boot_nonce != state.boot_nonce:
        return
    if state.joined and sender in state.boot_recorded_by:
        return
    known = reply.known
    # A late reply may include what this process has acknowledged since it joined.
    position = (
        own_acknowledgement(state) if state.joined else state.start_acknowledgement
    )
    term = state.term if state.joined else state.start_term
    if not reply.recorded:
        _stop(
            state,
            sender,
            f"has recorded boot {known.boot}, but this is boot {state.boot}.",
        )
    elif known.acknowledged > position:
        _stop_for_position(state, sender, known, position)
    elif known.acknowledged_term > term:
        _stop(
            state,
            sender,
            f"knows that this replica voted or acknowledged in term "
            f"{known.acknowledged_term}, but its folder has no term above {term}.",
        )
    else:
        state.boot_recorded_by.add(sender)
        state.boot_highest_term = max(state.boot_highest_term, reply.term)
        if not state.joined:
            _learn_members(state, reply)
            _join_if_recorded(state)


def _learn_members(state, reply):
    """Adopts the membership of a peer whose log is more advanced than those so far."""
    if not reply.membership.members:
        return
    if not state.boot_members.members:
        state.boot_members_position = reply.last
        _begin_boot_requests(state, reply.membership)
    elif reply.last > state.boot_members_position:
        state.boot_members_position = reply.last
        state.boot_members = reply.membership


def merge_peer_records(state: CoreState, sender, records):
    """Merges the leader's records of the members into the local ones."""
    for record in records:
        if record.member_id == state.member_id:
            check_own_record(state, sender, record)
            continue
        state.update_peer_record(
            record.member_id,
            acknowledged=record.acknowledged,
            term=record.acknowledged_term,
        )
        own = state.peers.get(record.member_id)
        if own is not None and own.boot < record.boot:
            _save_boot(state, own, record)


def check_own_record(state: CoreState, sender, record: PeerRecord):
    """Stops if a peer's record acknowledges more than this folder holds."""
    position = own_acknowledgement(state)
    if record.acknowledged > position:
        _stop_for_position(state, sender, record, position)


def _join_if_recorded(state):
    voters = {m.member_id for m in state.boot_members.members if m.voter}
    recorded = state.boot_recorded_by | {state.member_id}
    all_recorded = not _members_without_record(state)
    grace_over = state.now >= state.boot_grace_until
    majority_recorded = 2 * len(voters & recorded) > len(voters)
    if not voters or not majority_recorded or not (all_recorded or grace_over):
        return
    state.joined = True
    _use_up_votes(state)
    state.set_first_election_deadline()
    if state.voters() == {state.member_id}:
        # No other replica can be elected, so the election need not wait.
        state.election_deadline = state.now


def _use_up_votes(state):
    """Uses up the votes of all terms up to the highest that the peers know.

    A folder copied before a vote does not contain that vote, whose reply may still
    be in flight. Voting for itself in the highest known term rules out a second
    vote for another candidate.
    """
    term = max(state.term, state.boot_highest_term)
    if term > state.term or state.vote is None:
        state.save_hard_state(term=term, vote=state.member_id)


def _stop_for_position(state, sender, known, position):
    _stop(
        state,
        sender,
        f"knows that this replica acknowledged index {known.acknowledged.index} of "
        f"term {known.acknowledged.term}, but its folder ends at index "
        f"{position.index} in term {position.term}.",
    )


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
