"""Checks the values in announcements of searchers, whatever their format."""

from plantainstage._errors import InvalidAnnouncementError
from plantainstage._serving.number_ranges import COUNTER, DURATION_MS, SLOTS
from plantainstage._serving.searchers import Searcher
from plantainstage._serving.text_kinds import HEADER_VALUE, NAME
from plantainstage._settings.base import is_address

MAX_SHOWN_CHARACTERS = 80  # of an id in a log line

_NUMBERS = {
    "slots": SLOTS,
    "warm_up_ms": DURATION_MS,
    "sequence": COUNTER,
    "started_at_ms": COUNTER,
}
# Each request to a searcher carries its id in a header.
_TEXTS = {"searcher_id": HEADER_VALUE, "service": NAME, "data_centre": NAME}


def check_ranges(searcher: Searcher):
    """Raises InvalidAnnouncementError if a value of an announcement is out of range."""
    for name, allowed in _NUMBERS.items():
        if not allowed.contains(getattr(searcher, name)):
            raise InvalidAnnouncementError(detail=f"{name} must be {allowed}")
    for name, kind in _TEXTS.items():
        if not kind.contains(getattr(searcher, name)):
            raise InvalidAnnouncementError(detail=f"{name} must be {kind}")
    if not is_address(searcher.address):
        raise InvalidAnnouncementError(detail="the address must be IP:port")


def check_start(started_at_ms: int | None):
    """Raises InvalidAnnouncementError if a stated start time is out of range."""
    if started_at_ms is not None and not COUNTER.contains(started_at_ms):
        raise InvalidAnnouncementError(detail=f"the start must be {COUNTER}")


def usable(searchers: tuple[Searcher, ...], *, log_event) -> tuple[Searcher, ...]:
    """Returns the announcements that may be used, and logs the others.

    For announcements that another process has taken or stored: it may belong to a
    release that checks less.
    """
    refusals = {}  # searcher id -> why it is refused
    for searcher in searchers:
        try:
            check_ranges(searcher)
        except InvalidAnnouncementError as error:
            refusals[searcher.searcher_id] = error.detail
    if not refusals:
        return searchers
    for searcher_id, reason in refusals.items():
        shown = searcher_id[:MAX_SHOWN_CHARACTERS]
        log_event("searcher_unusable", searcher=shown, reason=reason)
    return tuple(s for s in searchers if s.searcher_id not in refusals)
