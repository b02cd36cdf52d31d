"""Elections: pre-vote, votes, check-quorum and leadership transfer."""

from plantainstage._agreement import replication
from plantainstage._agreement.membership import may_vote
from plantainstage._agreement.state import CoreState, Role
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import TimeoutNow, VoteReply, VoteRequest


def start_pre_vote(state: CoreState):
    """Requests pre-votes: checks for a majority without raising the term."""
    if not may_campaign(state):
        state.reset_election_deadline()
        return
    state.role = Role.PRE_CANDIDATE
    state.votes = {state.member_id}
    state.set_leader(None)
    state.reset_election_deadline()
    if state.is_quorum(state.votes):
        start_election(state, transfer=False)
        return
    _request_votes(state, pre_vote=True, transfer=False)


def start_election(state: CoreState, *, transfer):
    """Starts a campaign: raises the term, votes for itself, requests votes."""
    state.set_leader(None)
    state.role = Role.CANDIDATE
    state.votes = set()
    state.save_hard_state(term=state.term + 1, vote=state.member_id)
    state.campaign_is_transfer = transfer
    state.reset_election_deadline()
    _request_votes(state, pre_vote=False, transfer=transfer)


def may_campaign(state: CoreState):
    """Whether this replica is a voter in the committed or the newest membership."""
    if not state.joined:
        return False
    committed = state.log.membership_at(state.commit_index)
    return any(
        member.member_id == state.member_id and member.voter
        for membership in (committed, state.membership)
        for member in membership.members
    )


def _request_votes(state, *, pre_vote, transfer):
    term = state.term + 1 if pre_vote else state.term
    request = VoteRequest(
        term=term, last=state.log.last, pre_vote=pre_vote, transfer=transfer
    )
    for member_id in sorted(state.voters() - {state.member_id}):
        # A vote request implies the candidate's own vote, which must be durable.
        state.send(member_id, request, after_sync=True)


def on_own_vote_synced(state: CoreState):
    """Counts the candidate's own vote once it is durable."""
    if state.role is Role.CANDIDATE and state.member_id not in state.votes:
        state.votes.add(state.member_id)
        _count_votes(state)


def on_vote_request(state: CoreState, sender, request: VoteRequest):
    """Grants or refuses a vote or pre-vote."""
    if not may_vote(state):
        return
    if not request.transfer and _has_recent_leader(state):
        # A partitioned member must not depose a leader that others can reach.
        _refuse(state, sender, request)
        return
    if not request.pre_vote and request.term > state.term:
        state.become_follower(term=request.term)
    up_to_date = request.last >= state.log.last
    if request.pre_vote:
        granted = request.term > state.term and up_to_date
        if granted:
            reply = VoteReply(term=request.term, granted=True, pre_vote=True)
            state.send(sender, reply, after_sync=False)
            return
        _refuse(state, sender, request)
        return
    free = state.vote in (None, sender) and state.leader in (None, sender)
    if request.term != state.term or not free or not up_to_date:
        _refuse(state, sender, request)
        return
    check_invariant(
        state.joined and may_vote(state),
        invariant="only a known and checked folder votes",
        detail=f"{state.member_id} was about to vote in term {state.term}",
    )
    state.save_hard_state(term=state.term, vote=sender)
    state.reset_election_deadline()
    reply = VoteReply(term=state.term, granted=True, pre_vote=False)
    state.send(sender, reply, after_sync=True)


def _has_recent_leader(state):
    if state.role is Role.LEADER:
        return True
    age = state.now - state.leader_heard_at
    return state.leader is not None and age < state.timing.election_timeout_s


def _refuse(state, sender, request):
    reply = VoteReply(term=state.term, granted=False, pre_vote=request.pre_vote)
    state.send(sender, reply, after_sync=True)


def on_vote_reply(state: CoreState, sender, reply: VoteReply):
    """Counts a granted vote; a higher term ends the campaign."""
    if not reply.granted:
        if reply.term > state.term:
            state.become_follower(term=reply.term)
        return
    if not reply.pre_vote:
        state.update_peer_record(sender, term=reply.term)
    expected = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    asked = state.term + 1 if reply.pre_vote else state.term
    if state.role is not expected or reply.term != asked:
        return
    state.votes.add(sender)
    _count_votes(state)


def _count_votes(state):
    if not state.is_quorum(state.votes):
        return
    if state.role is Role.PRE_CANDIDATE:
        start_election(state, transfer=False)
    else:
        replication.become_leader(state)


def check_quorum(state: CoreState):
    """Steps down if no majority has replied within an election timeout."""
    if state.now - state.quorum_checked_at < state.timing.election_timeout_s:
        return
    since = state.now - state.timing.election_timeout_s
    state.quorum_checked_at = state.now
    heard = {m for m, p in state.progress.items() if p.heard_at >= since}
    if not state.is_quorum(heard | {state.member_id}):
        state.become_follower(term=state.term)


# ---- Leadership transfer ----------------------------------------------------------


def start_transfer(state: CoreState, target=None):
    """Stops accepting proposals and starts a transfer to the most advanced voter.

    Returns whether a target was found.
    """
    candidates = sorted(state.voters() - {state.member_id})
    if target is not None:
        candidates = [c for c in candidates if c == target]
    candidates = [c for c in candidates if c in state.progress]
    if not candidates:
        return False
    state.transfer_target = max(
        candidates, key=lambda c: (state.progress[c].match_index, c)
    )
    state.transfer_deadline = state.now + state.timing.election_timeout_s
    state.broadcast_due = True
    continue_transfer(state)
    return True


def continue_transfer(state: CoreState):
    """Sends TimeoutNow once the target has the whole log; ends on a timeout."""
    target = state.transfer_target
    if target is None:
        return
    if state.now >= state.transfer_deadline:
        state.transfer_target = None
        return
    if state.progress[target].match_index == state.log.last.index:
        state.send(target, TimeoutNow(term=state.term), after_sync=False)


def on_timeout_now(state: CoreState, sender, message: TimeoutNow):
    """Starts an election immediately, as the leader requested."""
    if message.term == state.term and sender == state.leader and may_campaign(state):
        start_election(state, transfer=True)
