"""Messages between entry hosts (pynng Push0/Pull0, msgpack, batched).

"Upstream" in names means a searcher.
"""

import enum

import msgspec


class SubRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a request for one partition, addressed to one searcher.

    ``remaining_ms`` is the time until the deadline, from the moment of sending, so
    that the hosts need no common clock. ``epoch`` is the ownership epoch that the
    sender knows. ``extra`` marks a sub-request beyond the first for its partition.
    ``alternatives`` is the number of searchers that the sender could use instead; if
    there are any, an owner whose slots are busy may decline (``NOT_SENT``,
    ``busy``).
    """

    sub_request_id: str
    request_id: str
    profile: str
    upstream_id: str
    epoch: int
    index: str
    snapshot: str
    partition: str
    fingerprint: str
    query: bytes
    remaining_ms: float
    idempotent: bool
    extra: bool = False
    alternatives: int = 0


class SubOutcome(enum.Enum):
    """How a sub-request ended.

    ``NOT_SENT`` guarantees that no byte was sent to the searcher. ``REFUSED`` means
    that the searcher replied that it did not run the sub-request (load shed, snapshot
    not held). After any other failure the sub-request may have run.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    SILENT = "silent"
    CANCELLED = "cancelled"
    INVALID = "invalid"


class SubResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a sub-request, from the owner of its searcher.

    ``reason`` is a code such as ``shed``, ``snapshot_gone``, ``not_owner``,
    ``lease_expired``, ``quarantined``, ``queue_full`` or
    ``connection_refused``. ``queued`` is the number of sub-requests for this searcher
    that wait or run at the owner. ``service_ms`` is the time from the first byte to
    the answer, and ``reported_load`` the load that the searcher reported.
    """

    sub_request_id: str
    upstream_id: str
    partition: str
    outcome: SubOutcome
    reason: str = ""
    snapshot: str = ""
    documents: int = 0
    hits: bytes = b"[]"
    queued: int = 0
    service_ms: float = 0.0
    reported_load: float = 0.0


class SubRequests(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A batch of sub-requests from one entry host to an owner."""

    sender: str
    items: tuple[SubRequest, ...]


class SubResults(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A batch of results from an owner to the entry host that requested them."""

    sender: str
    items: tuple[SubResult, ...]


class CancelSubRequests(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The sender no longer needs these sub-requests."""

    sender: str
    sub_request_ids: tuple[str, ...]


class QuarantineNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A fingerprint to refuse at once, before the replicated record arrives."""

    sender: str
    fingerprint: str
    duration_ms: int


class DrainNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A searcher announced that it drains, before the replicated record arrives."""

    sender: str
    upstream_id: str
    incarnation: str


class LinkProbe(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a ``LinkEcho``, to distinguish a silent link from a slow owner."""

    sender: str
    number: int


class LinkEcho(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The reply to a ``LinkProbe`` with the same number."""

    sender: str
    number: int


class RequestsFinished(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The sender is stopping and will send no more sub-requests."""

    sender: str
    incarnation: str


ForwardMessage = (
    SubRequests
    | SubResults
    | CancelSubRequests
    | QuarantineNotice
    | DrainNotice
    | LinkProbe
    | LinkEcho
    | RequestsFinished
)
