"""What an owner queue asks its owner to do."""

from dataclasses import dataclass

from plantainstage._messages.forward import SubRequest, SubResult


@dataclass(frozen=True, kw_only=True)
class StartExchange:
    """Send this sub-request to the searcher now; a slot is taken for it.

    Use connection ``connection_id``; open it first if ``open_connection``.
    Report an outcome soon after ``deadline``, with or without a reply. Exactly one
    ``finished`` call must follow.
    """

    requester_id: str
    sub_request: SubRequest
    deadline: float
    connection_id: int
    open_connection: bool


@dataclass(frozen=True, kw_only=True)
class AbortExchange:
    """Ask the searcher to stop this running sub-request (``/v1/cancel``).

    Sent on the side connection, which is not used for exchanges. The exchange
    then ends with 499, or by its deadline.
    """

    sub_request_id: str


@dataclass(frozen=True, kw_only=True)
class ProbeSearcher:
    """Ask the searcher on a newly opened side connection what still runs there.

    Call ``probe_finished`` with whether a reply came within ``timeout_s``. The
    probe is an extra sub-request of ``profile``, whose budget has room for it.
    """

    timeout_s: float
    profile: str
    sub_request_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class CloseConnection:
    """Close this connection; an exchange on it fails.

    With ``silent`` the exchange running on it ends with outcome ``SILENT``;
    ``finished`` follows as for any other exchange.
    """

    connection_id: int
    silent: bool = False


@dataclass(frozen=True, kw_only=True)
class ReturnResult:
    """Send this result back to the entry host that asked."""

    requester_id: str
    result: SubResult


@dataclass(frozen=True, kw_only=True)
class WakeQueueAt:
    """Call ``on_timer`` at this time; a later one replaces an earlier one."""

    time: float


@dataclass(frozen=True, kw_only=True)
class ReportCrashedFingerprint:
    """Quarantine this fingerprint everywhere; this owner saw two resets."""

    fingerprint: str
    duration_ms: int


OwnerAction = (
    StartExchange
    | AbortExchange
    | ProbeSearcher
    | CloseConnection
    | ReturnResult
    | WakeQueueAt
    | ReportCrashedFingerprint
)
