"""Requests to a control replica and its replies (pynng Req0/Rep0, msgpack).

Any request may be sent to any replica. A replica that is not the leader, or cannot
confirm that it still is, replies ``NotLeader``; the request then had no effect.
"Upstream" in names means a searcher, "entry" an entry host.
"""

import enum

import msgspec

from plantainstage._messages.agreement import MemberId
from plantainstage._messages.configuration import (
    Configuration,
    EntryHost,
    Manifest,
    Profile,
    Upstream,
)

# ---- Operators' changes -------------------------------------------------------


class PublishProfile(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Publishes a new profile or replaces the one with that name."""

    profile: Profile


class RetireProfile(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Retires a profile; requests that name it are refused afterwards."""

    name: str


class TakeUpstreamOut(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stops new work for a searcher until ``PutUpstreamIn``."""

    upstream_id: str


class PutUpstreamIn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends an earlier ``TakeUpstreamOut``."""

    upstream_id: str


class LiftQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends the quarantine of a request fingerprint before its time."""

    fingerprint: str


ChangeBody = (
    PublishProfile | RetireProfile | TakeUpstreamOut | PutUpstreamIn | LiftQuarantine
)


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change by an operator, identified by its number and a digest of the rest."""

    number: int
    operator: str
    body: ChangeBody


class VerdictKind(enum.Enum):
    """Whether a change was accepted; the same for each delivery of the change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """The recorded outcome of the change with a number.

    ``version`` is the configuration version in which an accepted change takes
    effect; ``reason`` and ``remedy`` are set for a rejected one.
    """

    change: Change
    kind: VerdictKind
    version: int
    reason: str = ""
    remedy: str = ""


# ---- Claims of non-idempotent requests ----------------------------------------


class ClaimOutcomeKind(enum.Enum):
    """What is known about the execution of a claimed request.

    After ``NOT_RUN``, the request may be claimed again, as the next attempt.
    ``UNKNOWN`` is final: bytes may have reached a searcher.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a claim; with ``ANSWERED``, ``body`` is the encoded answer.

    The body is empty if the answer is not kept, or no longer kept.
    """

    kind: ClaimOutcomeKind
    body: bytes = b""


# ---- Requests ------------------------------------------------------------------


class RenewEntryLease(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host requests a lease and reports the version that it has applied.

    ``releasing`` lists searchers that it no longer owns in its newest configuration
    but on which it still has sub-requests in flight. ``leaving`` is set at a planned
    stop, when nothing is in flight any more.
    """

    entry: EntryHost
    applied_version: int
    releasing: tuple[str, ...] = ()
    draining: bool = False
    leaving: bool = False


class AnnounceUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host forwards the announcements of searchers.

    ``upstreams`` contains the records that have changed, ``alive`` the ids of the
    searchers that have announced themselves since the previous heartbeat.
    """

    upstreams: tuple[Upstream, ...] = ()
    manifests: tuple[Manifest, ...] = ()
    alive: tuple[str, ...] = ()


class SubmitChange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An operator submits a change."""

    change: Change


class QueryNextNumber(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for the next free change number and the newest version."""


class QueryChange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for the recorded verdict of a change number."""

    number: int


class QueryConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for the newest committed configuration (a linearizable read)."""


class QueryStatus(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks for the status of the tier and which entry hosts may lack ``version``."""

    version: int | None = None


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims a non-idempotent request for one entry host.

    ``deadline_ms`` is the remaining time of the request. When the lease of the
    claiming host and this time have both passed, the outcome of a running claim
    counts as unknown. ``nonce`` is drawn once for each claim, so that a second
    delivery of the same claim is granted again and not taken for the claim of
    another host.
    """

    request_id: str
    nonce: str
    digest: str
    entry_id: str
    incarnation: str
    deadline_ms: int


class CompleteClaim(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records the outcome of an attempt; that of an older attempt is ignored."""

    request_id: str
    attempt: int
    outcome: ClaimOutcome


# Limits of a ClaimBatch: its log entry and its reply are held in memory and each is
# sent as one message. A member that exceeds the limit of bytes is sent by itself.
MAX_BATCH_MEMBERS = 256
MAX_BATCH_BYTES = 1024 * 1024


class ClaimBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims and outcomes of one entry host, sent together.

    The members are processed in this order and committed as one log entry. Each
    member may safely be repeated, and so may the batch.
    """

    members: tuple[ClaimRequest | CompleteClaim, ...]


class ReportQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests that every entry host refuses a fingerprint for ``duration_ms``.

    ``searchers`` are the searchers of ``index`` whose crash the reporting host
    observed.
    """

    fingerprint: str
    duration_ms: int
    index: str = ""
    searchers: tuple[str, ...] = ()


class MemberAction(enum.Enum):
    """A step in the replacement of a control replica."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class ChangeMember(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An operator changes the group of control replicas by one step."""

    action: MemberAction
    replica_id: str
    incarnation: str
    client_address: str = ""
    peer_address: str = ""


ControlRequest = (
    RenewEntryLease
    | AnnounceUpstreams
    | SubmitChange
    | QueryNextNumber
    | QueryChange
    | QueryConfiguration
    | QueryStatus
    | ClaimRequest
    | CompleteClaim
    | ClaimBatch
    | ReportQuarantine
    | ChangeMember
)

# ---- Replies -------------------------------------------------------------------


class NotLeader(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The replica is not the leader, or cannot confirm that it is.

    ``leader_address`` is a hint where to find the leader, or empty.
    """

    leader_address: str = ""


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request may or may not take effect; send the same one again."""


class LeaseGranted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Grants a lease that begins at the time at which its request was sent.

    The host must apply ``configuration`` (when present) or already hold
    ``version`` before it counts the lease as renewed.
    """

    version: int
    lease_ms: int
    configuration: Configuration | None = None


class AnnouncementsTaken(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The reply to ``AnnounceUpstreams``: which were refused, and why.

    The other announcements are registered. ``unknown`` lists the ids in ``alive``
    that have no record; the entry host should send their full records.
    """

    refused: dict[str, str] = {}
    unknown: tuple[str, ...] = ()


class ChangeVerdict(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The verdict of the submitted change; a repeated change gets its first verdict."""

    verdict: Verdict


class ChangeConflict(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Another change has this number; ``winner`` is the verdict of that change."""

    winner: Verdict


class ChangeNotConsidered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """There is no verdict for the number; a submitted change had no effect.

    A new change must have the number ``next_number``. ``too_old`` is set if the
    verdict of the number is no longer kept.
    """

    next_number: int
    too_old: bool = False


class NextNumber(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The next free change number and the newest committed version."""

    number: int
    version: int


class CurrentConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The newest committed configuration."""

    configuration: Configuration


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's view of an entry host; the lease time may be negative."""

    entry: EntryHost
    applied_version: int
    lease_remaining_ms: int
    draining: bool


class ReplicaWait(enum.Enum):
    """What a member lacks until it has all that is committed, as seen by its leader."""

    NOTHING = "nothing"
    REPLY = "a reply"
    RECORD_OF_START = "a record of its start"
    SNAPSHOT = "a snapshot"
    ENTRIES = "entries"


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's view of a replica; earlier releases send no ``waits_for``."""

    replica_id: str
    incarnation: str
    client_address: str
    peer_address: str
    voter: bool
    leader: bool
    match_index: int
    last_heard_ms: int
    waits_for: ReplicaWait = ReplicaWait.NOTHING

    @property
    def member_id(self) -> MemberId:
        """The identity of the replica's folder."""
        return MemberId(replica_id=self.replica_id, incarnation=self.incarnation)


class Status(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """State of the tier for operators.

    ``lacking`` lists the entry hosts that may still act on a version before
    ``asked_version``; it is empty exactly when that version is in force everywhere.
    ``settled`` is false while a new leader cannot yet know all lease holders; no
    version counts as in force during this time.
    """

    version: int
    asked_version: int
    commit_index: int
    term: int
    settled: bool
    lacking: tuple[str, ...]
    entries: tuple[EntryStatus, ...]
    replicas: tuple[ReplicaStatus, ...]


class ClaimGranted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The claiming entry host may run the request as this attempt."""

    attempt: int


class ClaimExists(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request was claimed before; ``outcome`` is its state as far as known."""

    outcome: ClaimOutcome


class ClaimRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The claim is refused: ``request_id_reused`` or ``request_too_old``."""

    code: str


class Done(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request is committed; ``version`` is the newest version at that time."""

    version: int = 0


class RequestRejected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request was not carried out; ``code`` says why."""

    code: str
    message: str
    remedy: str


ClaimReply = (
    ClaimGranted | ClaimExists | ClaimRefused | Done | RequestRejected | OutcomeUnknown
)


class ClaimBatchReplies(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One reply for each member of a ClaimBatch, in its order.

    ``OutcomeUnknown`` for a member means the same as for a single request: this
    member should be sent again.
    """

    replies: tuple[ClaimReply, ...]


ControlReply = (
    NotLeader
    | OutcomeUnknown
    | LeaseGranted
    | AnnouncementsTaken
    | ChangeVerdict
    | ChangeConflict
    | ChangeNotConsidered
    | NextNumber
    | CurrentConfiguration
    | Status
    | ClaimGranted
    | ClaimExists
    | ClaimRefused
    | ClaimBatchReplies
    | Done
    | RequestRejected
)
