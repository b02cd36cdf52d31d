"""Actions that an owner queue returns for its caller to carry out.

They are msgspec structs because each sub-request creates three of them: a frozen
dataclass with five fields takes 2.4 microseconds to create, a struct 0.2.
"""

import msgspec

from plantainstage._messages.forward import SubRequest, SubResult


class StartExchange(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send the sub-request to the searcher now; a slot is already reserved for it.

    Use connection ``connection_id``, and open it first if ``open_connection`` is
    true. ``finished`` must then be called exactly once, at the latest soon after
    ``deadline``, also if there was no reply.
    """

    requester_id: str
    sub_request: SubRequest
    deadline: float
    connection_id: int
    open_connection: bool


class AbortExchange(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Ask the searcher to stop a running sub-request (``/v1/cancel``).

    The request is sent on the auxiliary connection, which is not used for exchanges.
    The exchange then ends with status 499 or at its deadline.
    """

    sub_request_id: str


class ProbeSearcher(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Ask the searcher which sub-requests it is running, on a new auxiliary connection.

    Call ``probe_finished`` with whether a reply arrived within ``timeout_s``. The
    probe counts as an extra sub-request of ``profile``; its budget is already taken.
    """

    timeout_s: float
    profile: str
    sub_request_ids: tuple[str, ...]


class CloseConnection(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Close a connection; an exchange that is running on it fails.

    If ``silent`` is true, that exchange ends with outcome ``SILENT``. ``finished``
    must be called for it as for any other exchange.
    """

    connection_id: int
    silent: bool = False


class ReturnResult(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Return a result to the entry host that sent the sub-request."""

    requester_id: str
    result: SubResult


class WakeQueueAt(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Call ``on_timer`` at this time; the most recent WakeQueueAt replaces others."""

    time: float


class ReportCrashedFingerprint(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Quarantine the fingerprint on all hosts; this owner saw enough crashes."""

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
