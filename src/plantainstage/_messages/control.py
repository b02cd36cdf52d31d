"""Requests to a control replica and its replies (pynng Req0/Rep0, msgpack).

Any replica takes any request. A replica that is not the leader, or cannot
confirm that it still is, replies ``NotLeader``; such a request had no effect.
"""

import enum

import msgspec

from plantainstage._messages.configuration import (
    Configuration,
    EntryHost,
    Manifest,
    Profile,
    Upstream,
)

# ---- Operators' changes -------------------------------------------------------


class PublishProfile(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Publishes a new profile or changes the one of that name."""

    profile: Profile


class RetireProfile(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Retires a profile; requests that name it are refused afterwards."""

    name: str


class TakeUpstreamOut(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stops new work for an upstream until an operator puts it back in."""

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
    """One operator's change. Its identity is (number, digest of the rest)."""

    number: int
    operator: str
    body: ChangeBody


class VerdictKind(enum.Enum):
    """The outcome of a change; it never differs between two deliveries."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """The recorded verdict of a change number.

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
    """What is known about a claimed request.

    ``ANSWERED`` carries the answer body. ``NOT_RUN`` allows a later claim with
    the next attempt. ``UNKNOWN`` is final: bytes may have reached an upstream.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a claim; ``body`` is the encoded answer when answered.

    An empty body means that the answer is not kept, or no longer.
    """

    kind: ClaimOutcomeKind
    body: bytes = b""


# ---- Requests ------------------------------------------------------------------


class RenewEntryLease(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host asks for a lease and tells what it has applied.

    ``releasing`` names searchers that it no longer owns by its newest
    configuration but on which it still has sub-requests in flight. ``leaving``
    is set at a planned stop, once nothing is in flight any more.
    """

    entry: EntryHost
    applied_version: int
    releasing: tuple[str, ...] = ()
    draining: bool = False
    leaving: bool = False


class AnnounceUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An entry host passes on announcements: changed records and live ids."""

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
    """Asks for control replicas, entry hosts and who has applied ``version``."""

    version: int | None = None


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims a non-idempotent request for one entry host.

    ``deadline_ms`` is the remaining time of the request; after the claiming
    host's lease and this time have passed, a running claim reads as unknown.
    ``nonce`` is drawn once for each claim, so that a second delivery of the
    same claim is granted again instead of reading as another host's claim.
    """

    request_id: str
    nonce: str
    digest: str
    entry_id: str
    incarnation: str
    deadline_ms: int


class CompleteClaim(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records the outcome of an attempt; an older attempt's is ignored."""

    request_id: str
    attempt: int
    outcome: ClaimOutcome


# Bounds of one ClaimBatch: its log entry and its reply are held in memory and
# travel in one message. A member above the bytes travels by itself.
MAX_BATCH_MEMBERS = 256
MAX_BATCH_BYTES = 1024 * 1024


class ClaimBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims and outcomes that waited together on one entry host.

    The members are decided in this order and committed as one log entry. Each
    may be repeated without harm, and so may the batch.
    """

    members: tuple[ClaimRequest | CompleteClaim, ...]


class ReportQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks to refuse a fingerprint for ``duration_ms`` on every entry host.

    ``searchers`` are those of ``index`` that the reporting host saw crash.
    """

    fingerprint: str
    duration_ms: int
    index: str = ""
    searchers: tuple[str, ...] = ()


class MemberAction(enum.Enum):
    """One step of a control replica's replacement."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class ChangeMember(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An operator changes the set of control replicas by one step."""

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
    """The replica cannot serve this; ``leader_address`` is a hint or empty."""

    leader_address: str = ""


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request may or may not take effect; send the same one again."""


class LeaseGranted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A lease from the time at which its request was sent.

    The host must apply ``configuration`` (when present) or already hold
    ``version`` before it counts the lease as renewed.
    """

    version: int
    lease_ms: int
    configuration: Configuration | None = None


class AnnouncementsTaken(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Which announcements were refused and why; the others are registered.

    ``unknown`` lists live ids without a record: their full record is wanted.
    """

    refused: dict[str, str] = {}
    unknown: tuple[str, ...] = ()


class ChangeVerdict(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The verdict of the submitted change, the first one for a resend."""

    verdict: Verdict


class ChangeConflict(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Another change holds this number; ``winner`` is its verdict."""

    winner: Verdict


class ChangeNotConsidered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The number is not the next one, or its verdict is no longer kept."""

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
    """An entry host as the leader sees it; the lease time may be negative."""

    entry: EntryHost
    applied_version: int
    lease_remaining_ms: int
    draining: bool


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A control replica as the leader sees it."""

    replica_id: str
    incarnation: str
    client_address: str
    peer_address: str
    voter: bool
    leader: bool
    match_index: int
    last_heard_ms: int


class Status(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """State of the tier for operators.

    ``lacking`` names the hosts that may still act on a version before the
    asked one; it is empty exactly when the version is in force everywhere.
    ``settled`` is false while a new leader cannot yet know all lease holders;
    no version counts as in force then.
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
    """The caller of the claim may run the request as this attempt."""

    attempt: int


class ClaimExists(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request was claimed before; its state as far as it is known."""

    outcome: ClaimOutcome


class ClaimRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The claim was not made: ``request_id_reused`` or ``request_too_old``."""

    code: str


class Done(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request is committed; ``version`` is the newest version then."""

    version: int = 0


class RequestRejected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request was understood but not carried out."""

    code: str
    message: str
    remedy: str


ClaimReply = (
    ClaimGranted | ClaimExists | ClaimRefused | Done | RequestRejected | OutcomeUnknown
)


class ClaimBatchReplies(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One reply for each member of a ClaimBatch, in its order.

    ``OutcomeUnknown`` for a member means the same as for a whole request: send
    this member again.
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
