"""The Raft core: takes events with the current time and returns actions.

It does no I/O, reads no clock and uses only the random source that it is given, so
the same events always produce the same actions.
"""

import random
from dataclasses import dataclass, field

from plantainstage._agreement import boot, election, following, reads, replication
from plantainstage._agreement.actions import Action
from plantainstage._agreement.log import Log
from plantainstage._agreement.membership import is_replaced, next_membership
from plantainstage._agreement.state import CoreState, Role, Timing
from plantainstage._errors import NotLeaderError
from plantainstage._messages import agreement as messages


@dataclass(frozen=True, kw_only=True)
class DurableState:
    """The state that a replica loads from its data folder when it starts."""

    member_id: messages.MemberId
    boot: int
    boot_nonce: str
    term: int = 0
    vote: messages.MemberId | None = None
    snapshot: messages.Snapshot | None = None
    entries: list[messages.Entry] = field(default_factory=list)
    peers: dict[messages.MemberId, messages.PeerRecord] = field(default_factory=dict)


class Core:
    """The Raft algorithm of one replica.

    The driver passes events, then calls ``flush`` and carries out the actions from
    ``take_actions`` in the phases that the module ``actions`` describes. For
    example::

        core.propose([b"a", b"b"], now=now)
        core.flush(now=now)
        actions = core.take_actions()
        # send, write, sync
        core.synced(now=now)
    """

    def __init__(
        self,
        *,
        durable: DurableState,
        timing: Timing,
        random_source: random.Random,
        now: float,
    ):
        self.state = CoreState(
            member_id=durable.member_id,
            boot=durable.boot,
            boot_nonce=durable.boot_nonce,
            timing=timing,
            random=random_source,
            log=Log(snapshot=durable.snapshot, entries=durable.entries),
            term=durable.term,
            vote=durable.vote,
            snapshot=durable.snapshot,
            peers=dict(durable.peers),
            now=now,
            commit_index=durable.snapshot.index if durable.snapshot else 0,
        )
        self.state.reset_election_deadline()
        boot.start(self.state)

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_leader(self):
        """Whether this replica believes that it is the leader."""
        return self.state.role is Role.LEADER

    def has_recent_leader(self, *, now):
        """Whether a leader was in contact with this replica a moment ago.

        A leader counts only if a majority was in contact with it. ``now`` may be later
        than the last event, for example after the process was suspended.
        """
        state = self.state
        if state.role is Role.LEADER:
            # The quorum is checked once in an election timeout.
            age_s = (now - state.quorum_checked_at) / 2
        else:
            age_s = now - state.leader_heard_at
        return state.leader is not None and age_s < state.timing.election_timeout_s

    def is_replaced_by(self, *, old, new):
        """Whether the replacement of ``old`` by ``new`` is complete.

        Raises NotLeaderError, since only the leader knows what members have synced.
        """
        return is_replaced(self.state, old=old, new=new)

    def peer_records(self):
        """Returns the records of the other members, to be made durable."""
        own = self.state.member_id
        return tuple(r for r in self.state.peers.values() if r.member_id != own)

    def next_timer(self):
        """Returns the time at which ``tick`` is due."""
        state = self.state
        retry = state.boot_retry_at if boot.needs_timer(state) else float("inf")
        if not state.joined:
            return retry
        if state.role is Role.LEADER:
            checked = state.quorum_checked_at + state.timing.election_timeout_s
            return min(state.heartbeat_at, checked, retry)
        return min(state.election_deadline, retry)

    # ---- Events -------------------------------------------------------------------

    def tick(self, *, now):
        """Handles the timeouts that have passed at ``now``."""
        state = self._advance(now)
        if state.stopped:
            return
        if boot.needs_timer(state):
            boot.on_timer(state)
        if not state.joined:
            return
        if state.role is Role.LEADER:
            election.check_quorum(state)
            if state.role is Role.LEADER:
                election.continue_transfer(state)
                if state.now >= state.heartbeat_at:
                    state.broadcast_due = True
        elif state.now >= state.election_deadline:
            election.start_pre_vote(state)

    def receive(self, *, sender, process, message, now):
        """Handles a message that the process ``process`` of ``sender`` has sent."""
        state = self._advance(now)
        if state.stopped:
            return
        if not state.joined or not state.membership.members:
            boot.request_record_if_unknown(state, sender)
        match message:
            case messages.BootRequest():
                boot.on_boot_request(state, sender, message)
            case messages.BootReply():
                boot.on_boot_reply(state, sender, message)
            case _ if not boot.is_recorded_process(state, sender, process):
                if state.joined:
                    self._receive_unrecorded(state, sender, message)
            case _ if state.joined:
                self._receive_joined(state, sender, message)
            case messages.AppendRequest() if not state.membership.members:
                following.ask_for_snapshot(state, sender, message)
            case messages.SnapshotChunk() if not state.membership.members:
                boot.on_offered_snapshot(state, message.membership)

    def _receive_unrecorded(self, state, sender, message):
        """Handles what a process may send before its start is recorded here."""
        progress = state.progress.get(sender)
        if progress is not None:
            progress.unrecorded_at = state.now
        match message:
            case messages.AppendReply(needs_snapshot=True):
                replication.offer_snapshot(state, sender, message)

    def _receive_joined(self, state, sender, message):
        match message:
            case messages.AppendRequest():
                following.on_append_request(state, sender, message)
            case messages.AppendReply():
                replication.on_append_reply(state, sender, message)
                if state.role is Role.LEADER:
                    election.continue_transfer(state)
            case messages.VoteRequest():
                election.on_vote_request(state, sender, message)
            case messages.VoteReply():
                election.on_vote_reply(state, sender, message)
            case messages.SnapshotChunk():
                following.on_snapshot_chunk(state, sender, message)
            case messages.SnapshotReply():
                replication.on_snapshot_reply(state, sender, message)
            case messages.TimeoutNow():
                election.on_timeout_now(state, sender, message)

    def propose(self, commands, *, now):
        """Appends commands to the log; returns their indices and the term.

        Raises NotLeaderError if nothing was appended.
        """
        state = self._advance(now)
        if state.role is not Role.LEADER or state.transfer_target is not None:
            raise NotLeaderError
        kind = messages.EntryKind.COMMAND
        return replication.append_leader_entries(state, kind, commands), state.term

    def start_read(self, request, *, now):
        """Starts a linearizable read, confirmed by a heartbeat round after this call.

        ``ReadReady`` or ``ReadFailed`` with the same request number follows.
        Raises NotLeaderError.
        """
        state = self._advance(now)
        if state.role is not Role.LEADER:
            raise NotLeaderError
        reads.start_read(state, request)

    def change_member(self, action, member, *, now):
        """Appends one step of a membership change; returns its index and the term.

        Raises NotLeaderError or MemberChangeRefusedError.
        """
        state = self._advance(now)
        membership = next_membership(state, action, member)
        return replication.append_membership(state, membership), state.term

    def transfer_leadership(self, *, now, target=None):
        """Starts a leadership transfer; returns whether a target was found."""
        state = self._advance(now)
        if state.role is not Role.LEADER:
            raise NotLeaderError
        return election.start_transfer(state, target)

    def snapshot_taken(self, snapshot, *, now):
        """Compacts the log after ``snapshot`` has been made durable."""
        state = self._advance(now)
        if state.snapshot is not None and snapshot.index <= state.snapshot.index:
            return
        state.snapshot = snapshot
        kept_after = state.log.index_before_tail(
            entries=state.timing.trailing_entries,
            data_bytes=state.timing.trailing_bytes,
        )
        state.log.compact(min(snapshot.index, kept_after))

    def synced(self, *, now):
        """Records that all storage actions returned so far are durable."""
        state = self._advance(now)
        election.on_own_vote_synced(state)
        replication.on_log_synced(state, state.log.last.index)

    def flush(self, *, now):
        """Sends the entries and heartbeats that are due since the last call."""
        state = self._advance(now)
        if state.role is Role.LEADER and state.broadcast_due:
            replication.broadcast(state)
            reads.release_reads(state)

    def take_actions(self) -> list[Action]:
        """Returns the collected actions and clears them."""
        actions = self.state.actions
        self.state.actions = []
        return actions

    def _advance(self, now):
        # Time never goes back here, even if the clock that the driver reads does.
        self.state.now = max(self.state.now, now)
        return self.state
