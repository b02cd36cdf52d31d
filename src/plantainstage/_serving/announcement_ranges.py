"""Checks the values in announcements of searchers, whatever their format."""

from plantainstage._errors import InvalidAnnouncementError
from plantainstage._serving.number_ranges import COUNTER, DURATION_MS, SLOTS
from plantainstage._serving.searchers import Searcher

# Ids, services, addresses and data centres; longer ones are not from a searcher.
MAX_TEXT_CHARACTERS = 1024


_NUMBERS = {
    "slots": SLOTS,
    "warm_up_ms": DURATION_MS,
    "sequence": COUNTER,
    "started_at_ms": COUNTER,
}
_TEXTS = ("searcher_id", "service", "address", "data_centre")


def check_ranges(searcher: Searcher):
    """Raises InvalidAnnouncementError if a value of an announcement is out of range."""
    for name, allowed in _NUMBERS.items():
        if not allowed.contains(getattr(searcher, name)):
            raise InvalidAnnouncementError(detail=f"{name} must be {allowed}")
    for name in _TEXTS:
        if len(getattr(searcher, name)) > MAX_TEXT_CHARACTERS:
            detail = f"{name} is longer than {MAX_TEXT_CHARACTERS} characters"
            raise InvalidAnnouncementError(detail=detail)


def check_start(started_at_ms: int | None):
    """Raises InvalidAnnouncementError if a stated start time is out of range."""
    if started_at_ms is not None and not COUNTER.contains(started_at_ms):
        raise InvalidAnnouncementError(detail=f"the start must be {COUNTER}")
