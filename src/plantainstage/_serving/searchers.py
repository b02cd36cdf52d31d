"""What is believed about searchers, from announcements that may come late.

A searcher is known by its id and the time of its start. Within one start the
announcement with the highest sequence number counts, and leaving is final.
"""

import enum

import msgspec


class SearcherState(enum.IntEnum):
    """States of one start of a searcher; a later one is never taken back."""

    READY = 0
    DRAINING = 1
    LEFT = 2


class Searcher(msgspec.Struct, frozen=True, kw_only=True):
    """One announcement of a searcher.

    ``started_at_ms`` is the Unix time of its start by its own clock and
    ``sequence`` counts its announcements since. ``warm_up_ms`` is how much longer
    it stays slow after its start.
    """

    searcher_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: SearcherState = SearcherState.READY
    warm_up_ms: int = 0
    sequence: int = 0
    started_at_ms: int = 0

    @property
    def recency(self):
        """Orders the announcements of one id."""
        return (self.started_at_ms, self.state, self.sequence)


def newer(known: Searcher | None, announced: Searcher) -> Searcher:
    """Returns what is to be believed after ``heard`` came.

    A late announcement of the same start can't undo a departure, and one of an
    earlier start changes nothing.
    """
    if known is None or announced.recency > known.recency:
        return announced
    return known


def differs(known: Searcher | None, announced: Searcher) -> bool:
    """Whether ``heard`` changes where or whether requests are sent."""
    if known is None:
        return True
    return msgspec.structs.replace(announced, sequence=0, warm_up_ms=0) != (
        msgspec.structs.replace(known, sequence=0, warm_up_ms=0)
    )
