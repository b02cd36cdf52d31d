"""The queue in front of one searcher, at the entry host that owns it.

The logic does no I/O. Its owner passes events with the current time (seconds
on a monotonic clock) and carries out the returned actions in order.
"""

from dataclasses import dataclass

from plantainstage._messages.forward import SubRequest, SubResult


@dataclass(frozen=True, kw_only=True)
class StartExchange:
    """Send this sub-request to the searcher now; a slot is taken for it.

    Exactly one ``finished`` call must follow.
    """

    requester_id: str
    sub_request: SubRequest
    deadline: float


@dataclass(frozen=True, kw_only=True)
class AbortExchange:
    """Ask the searcher to stop this running sub-request."""

    sub_request_id: str


@dataclass(frozen=True, kw_only=True)
class ReturnResult:
    """Send this result back to the entry host that asked."""

    requester_id: str
    result: SubResult


OwnerAction = StartExchange | AbortExchange | ReturnResult
