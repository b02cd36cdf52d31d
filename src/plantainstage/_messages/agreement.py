"""Messages between control replicas (pynng Push0/Pull0, msgpack) and log entries.

Structs that are stored have the same encoding on disk and on the network. Those that
are only sent are encoded as arrays, without field names, since heartbeats make up most
of the traffic of an idle group. Where a class says "folder", it means the data folder
of a control replica.
"""

import enum

import msgspec


class MemberId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """The identity of one data folder.

    ``incarnation`` is drawn at random when the folder is created. It stays the same
    when the replica restarts, unlike the incarnation of a searcher.
    """

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
    """The members of the group, valid from one log index on."""

    members: tuple[Member, ...] = ()


class EntryKind(enum.IntEnum):
    """The kind of a log entry.

    ``NO_OP`` is the first entry of a leader's term. ``MEMBERSHIP`` replaces the
    members of the group.
    """

    COMMAND = 0
    NO_OP = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry; ``data`` is a command or an encoded ``Membership``."""

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
    """Term and index of a log entry.

    Of two logs, the one whose last entry has the greater position is more up to
    date.
    """

    term: int = 0
    index: int = 0


class Acknowledgement(msgspec.Struct, frozen=True, order=True, array_like=True):
    """States that a folder has synced the leader's log up to ``index``.

    ``term`` is the term of that leader. The folder's current term and last index
    never fall below an acknowledgement that it gave: the term is made durable
    before the acknowledgement, a leader never replaces entries that it has matched,
    and a later leader has a higher term. The term of the last entry could not be
    used instead, since a later leader may replace the end of the log with entries of
    an earlier term.
    """

    term: int = 0
    index: int = 0


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What is known about another folder: its last boot and its acknowledgement.

    ``boot`` counts the starts with that folder and ``boot_nonce`` identifies the
    process. ``acknowledged_term`` is the highest term in which it voted or
    acknowledged entries.
    """

    member_id: MemberId
    boot: int = 0
    boot_nonce: str = ""
    acknowledged: Acknowledgement = Acknowledgement()
    acknowledged_term: int = 0


# ---- Election ---------------------------------------------------------------------


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """Requests a vote in ``term``, or with ``pre_vote`` asks whether one is possible.

    ``last`` is the position of the candidate's last log entry. ``transfer`` is set
    when the leader asked this candidate to take over.
    """

    term: int
    last: LogPosition
    pre_vote: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """``term`` is the requested term if granted, otherwise the voter's own."""

    term: int
    granted: bool
    pre_vote: bool


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """The leader of ``term`` asks the receiver to start an election at once."""

    term: int


# ---- Replication ------------------------------------------------------------------


class AppendRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Appends entries after ``previous``; without entries, a heartbeat.

    ``round`` numbers the leader's broadcasts. The reply echoes it, which proves that
    the follower acknowledged the leader after the round began. ``known`` passes on
    the leader's records of the members' acknowledgements.
    """

    term: int
    previous: LogPosition
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    known: tuple[PeerRecord, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """The follower's reply to an ``AppendRequest``.

    If accepted, ``index`` is the last synced index that matches the leader's log;
    otherwise it is the index to try next. ``needs_snapshot`` is set by a folder that
    holds no membership yet.
    """

    term: int
    accepted: bool
    index: int
    round: int
    needs_snapshot: bool = False


class SnapshotChunk(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Bytes of a snapshot from ``offset`` on; ``size`` is the snapshot's total size."""

    term: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    size: int
    data: bytes
    round: int


class SnapshotReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """The first ``offset`` bytes of the snapshot at ``index`` have been received."""

    term: int
    index: int
    offset: int
    round: int
    installed: bool


# ---- Start of a replica -----------------------------------------------------------


class BootRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """A starting replica asks a peer to record its boot number durably."""

    boot: int
    boot_nonce: str


class BootReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """The reply to the ``BootRequest`` with this nonce.

    ``recorded`` is false if the peer knows a later boot, or another process with the
    same boot number. ``known`` is the peer's record from before the request. ``term``
    is the peer's own term, ``membership`` its newest one and ``last`` the position of
    its last log entry.
    """

    boot_nonce: str
    recorded: bool
    known: PeerRecord
    term: int
    membership: Membership
    last: LogPosition


class FoundingOffer(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """A replica with an empty folder offers to join a new group of ``replica_ids``."""

    member: Member
    replica_ids: tuple[str, ...]


class FoundGroup(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """Instructs the receiver to adopt the initial membership of a new group.

    The name is an instruction, from "to found": the founder of the group has already
    made the membership durable.
    """

    membership: Membership


class FoundingRefused(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Refuses a ``FoundingOffer``.

    The receiver has state of a group that does not include the offered folder.
    """

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


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A frame between two replicas.

    ``receiver`` is None while the receiver's incarnation is not known yet.
    ``process`` is a random id of the sending process. ``heard_sequence`` is the
    highest sequence number that was received from the process ``heard_process``. It
    acknowledges frames, so that a link that loses them is detected.
    """

    sender: MemberId
    receiver: MemberId | None
    reply_address: str
    process: str
    sequence: int
    heard_process: str
    heard_sequence: int
    body: PeerMessage | FoundingMessage
