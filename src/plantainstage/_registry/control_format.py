"""Paths and body formats of the HTTP interface of a control replica."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from plantainstage._decoding import decode_bytes
from plantainstage._errors import InvalidAnnouncementError
from plantainstage._serving.announcement_ranges import check_ranges, check_start
from plantainstage._serving.configuration import (
    ConfigurationDecoder,
    decode_configuration,
    has_accounts,
    service_names,
)
from plantainstage._serving.searchers import Searcher

_announcement_decoder = msgspec.json.Decoder(Searcher)


def decode_announcement(searcher_id: str, body: bytes) -> Searcher:
    """Decodes an announcement in the project's own format (JSON).

    Raises InvalidAnnouncementError.
    """
    try:
        searcher = decode_bytes(_announcement_decoder, body)
    except msgspec.MsgspecError as error:
        raise InvalidAnnouncementError(detail=str(error)) from error
    if searcher.searcher_id != searcher_id:
        raise InvalidAnnouncementError(detail="path and body name different searchers")
    check_ranges(searcher)
    return searcher


class _Departure(msgspec.Struct):
    started_at_ms: int | None = None


_departure_decoder = msgspec.json.Decoder(_Departure)


def decode_departure(body: bytes, *, decoder=_departure_decoder) -> int | None:
    """Returns the start time that a departure states, None without one.

    The body may be empty. ``decoder`` reads it as an object with the attribute
    ``started_at_ms``. Raises InvalidAnnouncementError.
    """
    if not body:
        return None
    try:
        started_at_ms = decode_bytes(decoder, body).started_at_ms
    except msgspec.MsgspecError as error:
        raise InvalidAnnouncementError(detail=str(error)) from error
    check_start(started_at_ms)
    return started_at_ms


@dataclass(frozen=True, kw_only=True)
class ControlFormat:
    """Paths and body formats; the defaults are the project's own.

    The ``*_searcher`` paths are regular expressions whose group is the searcher's id,
    ``lift_quarantine`` is one whose group is the fingerprint of the request, and the
    ``*_evacuation`` paths are those whose group is the name of the data centre.
    ``has_accounts`` tells of a stored configuration whether it has client accounts,
    ``service_names`` which services it names.
    """

    put_configuration: str = "/v1/configuration"
    get_configuration: str = "/v1/configuration/newest"
    announce_searcher: str = "/v1/searchers/([^/]+)/announcement"
    remove_searcher: str = "/v1/searchers/([^/]+)/departure"
    list_quarantines: str = "/v1/quarantined-requests"
    lift_quarantine: str = "/v1/quarantined-requests/([0-9a-f]{32})/lift"
    start_evacuation: str = "/v1/evacuations/([^/]*)/start"
    end_evacuation: str = "/v1/evacuations/([^/]*)/end"
    list_evacuations: str = "/v1/evacuations"
    list_accounts: str = "/v1/accounts"
    decode_configuration: ConfigurationDecoder = decode_configuration
    has_accounts: Callable[[bytes], bool] = has_accounts
    service_names: Callable[[bytes], frozenset[str]] = service_names
    decode_announcement: Callable[[str, bytes], Searcher] = decode_announcement
    decode_departure: Callable[[bytes], int | None] = decode_departure
