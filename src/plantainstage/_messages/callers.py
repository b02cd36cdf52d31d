"""JSON bodies exchanged with callers."""

import enum

import msgspec


class QueryBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A caller's request, the body of ``POST /v1/query``.

    ``query`` is passed to the searchers as it is. ``partitions`` restricts the
    request to some partitions; coverage then counts only those.
    """

    profile: str
    query: msgspec.Raw
    request_id: str = ""
    idempotent: bool = True
    partitions: tuple[str, ...] = ()


class Coverage(msgspec.Struct, frozen=True, kw_only=True):
    """Documents searched, against the manifest of the answer's snapshot."""

    documents_answered: int
    documents_total: int
    fraction: float
    partitions_missing: tuple[str, ...]


class AnswerBody(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer; ``hits`` holds each partition's hits in turn."""

    request_id: str
    profile: str
    index: str
    snapshot: str
    coverage: Coverage
    elapsed_ms: float
    hits: dict[str, msgspec.Raw]


class RunState(enum.Enum):
    """What a refusal says about execution; NOT_RUN is a guarantee."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"
    DONE = "done"


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal; ``error`` is a stable code and ``remedy`` says what to do."""

    error: str
    run: RunState
    message: str
    remedy: str
    request_id: str = ""
