"""The state of the Raft core, shared by its modules."""

import enum
import random
from dataclasses import dataclass, field

from plantainstage._agreement.actions import (
    Action,
    LeaderChanged,
    ReadFailed,
    SaveHardState,
    Send,
)
from plantainstage._agreement.log import Log
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import (
    Acknowledgement,
    LogPosition,
    MemberId,
    Membership,
    PeerRecord,
    Snapshot,
)


class Role(enum.Enum):
    """The role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class Timing:
    """Time and size parameters of the core.

    The election timeout is drawn between ``election_timeout_s`` and twice that, so
    that a lost leader is replaced within about 1 s. The minimum has to exceed
    several heartbeats plus the slowest usual sync.
    """

    heartbeat_s: float = 0.08
    election_timeout_s: float = 0.45
    # Minimum election timeout after a start, if shorter than the usual one.
    start_election_s: float | None = None
    boot_retry_s: float = 0.1
    # How long a starting replica waits for the boot records of all members before a
    # majority is enough. Slower peers count as absent in the limitation that
    # docs/design.md, section 7.4, states.
    boot_grace_s: float = 0.8
    max_append_bytes: int = 256 * 1024
    max_in_flight_entries: int = 4096
    snapshot_chunk_bytes: int = 256 * 1024
    trailing_entries: int = 1000
    # Limit in bytes as well: entries carry answers of up to 1 MiB, and 1000 of them
    # would need too much memory.
    trailing_bytes: int = 4 * 1024 * 1024


@dataclass(kw_only=True)
class SnapshotTransfer:
    """The state of a snapshot transfer to one member."""

    snapshot: Snapshot
    offset: int = 0
    sent_at: float = 0.0


@dataclass(kw_only=True)
class Progress:
    """The replication state of one member, as the leader knows it."""

    next_index: int
    match_index: int = 0
    round: int = 0
    heard_at: float = 0.0
    probing: bool = True
    probe_sent_at: float = float("-inf")
    snapshot_transfer: SnapshotTransfer | None = None
    sent_records: tuple[PeerRecord, ...] = ()
    records_in_all_from_round: int = 0  # each request carries them from this one on
    records_confirmed: bool = False
    # Time of the last message of a process whose start is not recorded here.
    unrecorded_at: float = float("-inf")


@dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A read that waits until a quorum has answered ``round``."""

    request: int
    round: int


@dataclass(kw_only=True)
class PartialSnapshot:
    """The part of a snapshot that a follower has received."""

    index: int
    term: int
    size: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(kw_only=True)
class CoreState:
    """The complete state of the core; times are on the driver's monotonic clock."""

    member_id: MemberId
    boot: int
    boot_nonce: str
    timing: Timing
    random: random.Random
    log: Log
    term: int = 0
    vote: MemberId | None = None
    snapshot: Snapshot | None = None
    peers: dict[MemberId, PeerRecord] = field(default_factory=dict)
    now: float = 0.0
    commit_index: int = 0
    role: Role = Role.FOLLOWER
    leader: MemberId | None = None
    leader_heard_at: float = float("-inf")
    election_deadline: float = 0.0
    votes: set[MemberId] = field(default_factory=set)
    campaign_is_transfer: bool = False
    # Used by a leader only.
    progress: dict[MemberId, Progress] = field(default_factory=dict)
    round: int = 0
    broadcast_due: bool = False
    pending_reads: list[PendingRead] = field(default_factory=list)
    own_match_index: int = 0
    term_start_index: int = 0
    heartbeat_at: float = 0.0
    quorum_checked_at: float = 0.0
    transfer_target: MemberId | None = None
    transfer_deadline: float = 0.0
    # Used by a follower only.
    partial_snapshot: PartialSnapshot | None = None
    # Recording of this boot by the peers.
    joined: bool = False
    boot_members: Membership = Membership()
    start_acknowledgement: Acknowledgement = Acknowledgement()
    start_term: int = 0
    boot_recorded_by: set[MemberId] = field(default_factory=set)
    boot_members_position: LogPosition = LogPosition()
    boot_retry_at: float = 0.0
    boot_grace_until: float = 0.0
    boot_highest_term: int = 0
    stopped: bool = False
    actions: list[Action] = field(default_factory=list)

    @property
    def membership(self) -> Membership:
        """The newest membership, committed or not."""
        return self.log.membership

    def voters(self):
        """Returns the ids of the voters of the newest membership."""
        return {m.member_id for m in self.membership.members if m.voter}

    def other_member_ids(self):
        """Returns the ids of all other members, learners included."""
        return [
            m.member_id
            for m in self.membership.members
            if m.member_id != self.member_id
        ]

    def is_quorum(self, ids):
        """Whether ``ids`` contain a majority of the voters."""
        voters = self.voters()
        return len(voters & set(ids)) * 2 > len(voters)

    def send(self, receiver, message, *, after_sync):
        """Adds an action that sends a message."""
        self.actions.append(
            Send(receiver=receiver, message=message, after_sync=after_sync)
        )

    def save_hard_state(self, *, term, vote):
        """Changes the term or the vote; both must be durable before any reply."""
        check_invariant(
            term > self.term or (term == self.term and self.vote in (None, vote)),
            invariant="one vote a term",
            detail=f"{self.vote} in term {self.term}, then {vote} in term {term}",
        )
        if (term, vote) != (self.term, self.vote):
            self.term = term
            self.vote = vote
            self.actions.append(SaveHardState(term=term, vote=vote))

    def reset_election_deadline(self):
        """Draws a random time for the next election of this replica."""
        minimum = self.timing.election_timeout_s
        self.election_deadline = self.now + self.random.uniform(minimum, 2 * minimum)

    def set_first_election_deadline(self):
        """Draws a random time for the first election after a start.

        The minimum may be shorter than for later elections: if the others have a
        leader, it usually contacts this replica first, and if it does not, the others
        refuse the pre-vote.
        """
        minimum = self.timing.start_election_s
        if minimum is None:
            self.reset_election_deadline()
            return
        self.election_deadline = self.now + self.random.uniform(minimum, 4 * minimum)

    def set_leader(self, leader):
        """Sets the leader of this term and reports a change to the driver."""
        if leader == self.leader:
            return
        check_invariant(
            self.leader is None or leader is None,
            invariant="one leader a term",
            detail=f"{self.leader} and {leader} lead term {self.term}",
        )
        self.leader = leader
        self.actions.append(LeaderChanged(leader=leader, term=self.term))

    def become_follower(self, *, term):
        """Becomes a follower in ``term``, which may be the current one."""
        if term > self.term:
            self.set_leader(None)
            self.save_hard_state(term=term, vote=None)
        elif self.role is Role.LEADER:
            self.set_leader(None)
        if self.role is Role.LEADER:
            self.fail_reads()
            self.progress = {}
            self.transfer_target = None
        if self.role is not Role.FOLLOWER:
            self.reset_election_deadline()
        self.role = Role.FOLLOWER
        self.votes = set()

    def fail_reads(self):
        """Fails all reads that wait for a confirmation of leadership."""
        for read in self.pending_reads:
            self.actions.append(ReadFailed(request=read.request))
        self.pending_reads = []

    def update_peer_record(self, member_id, *, acknowledged=None, term=0):
        """Updates the in-memory record of what a peer has acknowledged."""
        record = self.peers.setdefault(member_id, PeerRecord(member_id=member_id))
        merged = PeerRecord(
            member_id=member_id,
            boot=record.boot,
            boot_nonce=record.boot_nonce,
            acknowledged=max(record.acknowledged, acknowledged or Acknowledgement()),
            acknowledged_term=max(record.acknowledged_term, term),
        )
        if merged != record:
            self.peers[member_id] = merged
