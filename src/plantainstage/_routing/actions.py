"""Actions that a gather returns for its caller to carry out.

They are msgspec structs because each sub-request creates four of them: a frozen
dataclass with five fields takes 2.4 microseconds to create, a struct 0.2. Structs
without ``gc=False`` may be part of a reference cycle.
"""

import msgspec

from plantainstage._errors import RefusalError
from plantainstage._messages.callers import AnswerBody
from plantainstage._messages.forward import SubRequest


class SendSubRequest(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send the sub-request to ``owner_id``, the entry host that owns the searcher."""

    owner_id: str
    sub_request: SubRequest


class CancelSubRequest(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Tell the owner that the result of a sub-request is no longer needed."""

    owner_id: str
    sub_request_id: str


class WakeAt(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Call ``on_timer`` at this time; the most recent WakeAt replaces earlier ones."""

    time: float


class ReportCrashes(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Quarantine the fingerprint on all entry hosts before the request finishes.

    Once the quarantine is recorded, ``on_quarantine_recorded`` must be called.
    """

    fingerprint: str
    duration_ms: int


class FinishRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Send the final reply; later events do not change it.

    Neither field is set if the caller has disconnected, since it reads no reply.
    """

    answer: AnswerBody | None = None
    refusal: RefusalError | None = None


GatherAction = (
    SendSubRequest | CancelSubRequest | WakeAt | ReportCrashes | FinishRequest
)
