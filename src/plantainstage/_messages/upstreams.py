"""JSON bodies exchanged with searchers, which paths and fields call upstreams."""

import msgspec


class AnnouncedSnapshot(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A snapshot that a searcher holds.

    ``partitions`` are those that the searcher holds; ``manifest`` maps all partitions
    of the snapshot to their numbers of documents.
    """

    snapshot: str
    sequence: int
    partitions: tuple[str, ...]
    manifest: dict[str, int]


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A searcher's announcement, the body of ``POST /v1/upstreams``."""

    upstream_id: str
    incarnation: str
    address: str
    data_centre: str
    index: str
    slots: int
    connections: int
    snapshots: tuple[AnnouncedSnapshot, ...]
    state: str = "serving"
    in_flight: int = 0


class SearchBody(msgspec.Struct, frozen=True, kw_only=True):
    """A sub-request to a searcher, the body of ``POST /v1/search``."""

    request_id: str
    sub_request_id: str
    index: str
    snapshot: str
    partition: str
    query: msgspec.Raw
    remaining_ms: float


class SearchAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A searcher's answer for one partition of one snapshot."""

    sub_request_id: str
    snapshot: str
    partition: str
    documents: int
    hits: msgspec.Raw
    in_flight: float = 0.0


class SearchRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """A searcher's statement that a sub-request did not run or has ended.

    It is accepted only with the id of the sub-request: on a connection whose replies
    no longer match its requests, the refusal of an earlier sub-request must not end a
    later one.
    """

    error: str
    sub_request_id: str = ""


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of ``POST /v1/status``, which searchers need not offer."""

    sub_request_ids: tuple[str, ...]


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Which of the sub-requests asked about are running on the searcher."""

    running: tuple[str, ...]


class CancelBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of ``POST /v1/cancel``."""

    sub_request_id: str
