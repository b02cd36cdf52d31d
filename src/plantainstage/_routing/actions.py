"""What a gather asks its owner to do."""

from dataclasses import dataclass

from plantainstage._errors import RefusalError
from plantainstage._messages.callers import AnswerBody
from plantainstage._messages.forward import SubRequest


@dataclass(frozen=True, kw_only=True)
class SendSubRequest:
    """Send this to its searcher's owner, entry host ``owner_id``."""

    owner_id: str
    sub_request: SubRequest


@dataclass(frozen=True, kw_only=True)
class CancelSubRequest:
    """The result is no longer needed; tell the owner."""

    owner_id: str
    sub_request_id: str


@dataclass(frozen=True, kw_only=True)
class WakeAt:
    """Call ``on_timer`` at this time; a later WakeAt replaces an earlier one."""

    time: float


@dataclass(frozen=True, kw_only=True)
class ReportCrashes:
    """Quarantine this fingerprint everywhere before the request finishes.

    The owner of the gather calls ``on_quarantine_recorded`` afterwards.
    """

    fingerprint: str
    duration_ms: int


@dataclass(frozen=True, kw_only=True)
class FinishRequest:
    """The reply is final; events after it change nothing.

    Neither field is set when the caller has gone and nobody reads a reply.
    """

    answer: AnswerBody | None = None
    refusal: RefusalError | None = None


GatherAction = (
    SendSubRequest | CancelSubRequest | WakeAt | ReportCrashes | FinishRequest
)
