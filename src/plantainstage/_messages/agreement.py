"""Messages between control replicas (pynng Push0/Pull0, msgpack) and log entries.

The same structs are written to disk and sent over the wire.
"""

import enum

import msgspec


class MemberId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """The identity of one data folder: a replica id and a random incarnation."""

    replica_id: str
    incarnation: str

    def __str__(self):
        return f"{self.replica_id}/{self.incarnation[:8]}"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the group; a learner receives the log but has no vote."""

    member_id: MemberId
    client_address: str = ""
    peer_address: str = ""
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """The members from one log index on."""

    members: tuple[Member, ...] = ()


class EntryKind(enum.IntEnum):
    """``NO_OP`` opens a leader's term; ``MEMBERSHIP`` replaces the members."""

    COMMAND = 0
    NO_OP = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry; ``data`` is a command or an encoded ``Membership``."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state after the entry at ``index`` was applied."""

    index: int
    term: int
    membership: Membership
    data: bytes = b""


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The end of a log; of two logs the greater one is more up to date."""

    term: int = 0
    index: int = 0


class Acknowledgement(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A folder has synced the log of the leader of ``term`` up to ``index``.

    The folder's own (term, last index) never falls below one that it gave: its
    term is durable before, a leader never replaces what it has matched, and a
    later leader raises the term. The term of the last entry would not do: a
    later leader may replace a tail by entries of an earlier term.
    """

    term: int = 0
    index: int = 0


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What is known about another folder: its boot and what it acknowledged.

    ``acknowledged_term`` is the highest term in which it voted or acknowledged.
    """

    member_id: MemberId
    boot: int = 0
    boot_nonce: str = ""
    acknowledged: Acknowledgement = Acknowledgement()
    acknowledged_term: int = 0


# ---- Election ---------------------------------------------------------------------


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for a vote in ``term``; a pre-vote only asks whether one is possible.

    ``transfer`` is set when the leader asked this candidate to take over.
    """

    term: int
    last: LogPosition
    pre_vote: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """``term`` is the term asked for when granted, else the voter's own."""

    term: int
    granted: bool
    pre_vote: bool


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The leader of ``term`` asks the receiver to start an election at once."""

    term: int


# ---- Replication ------------------------------------------------------------------


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Entries after ``previous``; without entries it is a heartbeat.

    ``round`` numbers the leader's broadcasts and is echoed, so that a reply
    proves that leadership was acknowledged after the round began. ``known``
    spreads what the leader knows about the members' acknowledgements.
    """

    term: int
    previous: LogPosition
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    known: tuple[PeerRecord, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """``index`` is the synced match if accepted, else the index to try next.

    ``needs_snapshot`` is set by a folder that holds no membership yet.
    """

    term: int
    accepted: bool
    index: int
    round: int
    needs_snapshot: bool = False


class SnapshotChunk(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Bytes of a snapshot from ``offset`` on; ``size`` is that of the whole."""

    term: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    size: int
    data: bytes
    round: int


class SnapshotReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """``offset`` bytes of the snapshot up to ``index`` have been received."""

    term: int
    index: int
    offset: int
    round: int
    installed: bool


# ---- Start of a replica -----------------------------------------------------------


class BootRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A starting replica asks a peer to record its boot durably."""

    boot: int
    boot_nonce: str


class BootReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The boot of that nonce is recorded; ``known`` is what the peer knew.

    ``recorded`` is false when the peer knows a later boot or another process
    with this one. ``term`` is the peer's own, ``membership`` its newest and
    ``last`` the end of its log.
    """

    boot_nonce: str
    recorded: bool
    known: PeerRecord
    term: int
    membership: Membership
    last: LogPosition


class FoundingOffer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An empty folder offers itself for a new group of these replicas."""

    member: Member
    replica_ids: tuple[str, ...]


class FoundGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The founder has made this initial membership durable; adopt it."""

    membership: Membership


class FoundingRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The receiver has state of a group that the offered folder is not in."""

    reason: str


PeerMessage = (
    VoteRequest
    | VoteReply
    | TimeoutNow
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | BootRequest
    | BootReply
)

FoundingMessage = FoundingOffer | FoundGroup | FoundingRefused


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """One frame between two replicas.

    ``receiver`` is None while the receiver's incarnation is not known yet.
    ``process`` is a random name of the sending process. ``heard_sequence`` is
    the highest sequence received from the process ``heard_process``: it
    acknowledges frames, so that a link on which frames vanish is found.
    """

    sender: MemberId
    receiver: MemberId | None
    reply_address: str
    process: str
    sequence: int
    heard_process: str
    heard_sequence: int
    body: PeerMessage | FoundingMessage
