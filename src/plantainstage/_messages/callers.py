"""JSON bodies exchanged with callers."""

import enum

import msgspec


class QueryBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A caller's request, the body of ``POST /v1/query``.

    ``query`` is passed to the searchers unchanged. ``partitions`` restricts the
    request to these partitions; coverage then counts only their documents.
    """

    profile: str
    query: msgspec.Raw
    request_id: str = ""
    idempotent: bool = True
    partitions: tuple[str, ...] = ()


class Coverage(msgspec.Struct, frozen=True, kw_only=True):
    """Documents searched, relative to the manifest of the answer's snapshot."""

    documents_answered: int
    documents_total: int
    fraction: float
    partitions_missing: tuple[str, ...]


class AnswerBody(msgspec.Struct, frozen=True, kw_only=True):
    """An answer to a caller; ``hits`` maps each answered partition to its hits."""

    request_id: str
    profile: str
    index: str
    snapshot: str
    coverage: Coverage
    elapsed_ms: float
    hits: dict[str, msgspec.Raw]


class RunState(enum.Enum):
    """Whether a refused request was executed; ``NOT_RUN`` is a guarantee."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"
    DONE = "done"


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal of a request.

    ``error`` is a stable code, ``run`` says whether the request was executed and
    ``remedy`` what the caller can do.
    """

    error: str
    run: RunState
    message: str
    remedy: str
    request_id: str = ""
