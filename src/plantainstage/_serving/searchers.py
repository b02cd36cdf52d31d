"""State of searchers, from announcements that may arrive late or out of order.

A searcher is identified by its id and its start time. Within one start the
announcement with the most advanced state and then the highest sequence number counts;
a searcher that drains or has left never becomes ready again.

Another process may announce itself under the id of a searcher, for a service that the
configuration does not name. Such an announcement does not count beside a searcher of a
service that it names. Hosts and replicas may know different versions for a while, so
that each of them decides this by its own.
"""

import enum
from collections.abc import Callable

import msgspec

# By which the remaining warm-up time that hosts know may be too short before they are
# told: announcements arrive with different delays.
COUNTDOWN_MARGIN_S = 1.0


class SearcherState(enum.IntEnum):
    """States of a searcher within one start; it only moves to higher ones."""

    READY = 0
    DRAINING = 1
    LEFT = 2


class Searcher(msgspec.Struct, frozen=True, kw_only=True):
    """One announcement of a searcher.

    ``started_at_ms`` is the Unix time of its start on its own clock, and
    ``sequence`` counts its announcements since then. ``warm_up_ms`` is the remaining
    warm-up time, during which it is slower. ``heard_after`` is set by the replica that
    hears it: the number of the evacuations that the replica knew then.
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
    heard_after: int = 0

    @property
    def start(self):
        """Key of this start of the searcher: its id and the time of its start."""
        return (self.searcher_id, self.started_at_ms)

    @property
    def recency(self):
        """Sort key of the announcements with one id; a greater one is newer."""
        return (self.started_at_ms, self.state, self.sequence, self.heard_after)


def newer(known: Searcher | None, announced: Searcher) -> Searcher:
    """Returns the newer one of two announcements of a searcher.

    A late announcement of the same start cannot undo a departure, and one of an
    earlier start has no effect.
    """
    if known is None or announced.recency > known.recency:
        return announced
    return known


def counting(
    known: Searcher | None, announced: Searcher, is_named: Callable[[str], bool]
) -> Searcher:
    """Returns which of two announcements under one id counts.

    ``is_named(service)`` tells whether the configuration names a service. One of a
    service that is not named never replaces one of a service that is. For example::

        counting(card_searcher, other_searcher, {"cards"}.__contains__)  # card_searcher
    """
    if known is None or known.service == announced.service:
        return newer(known, announced)
    known_is_named = is_named(known.service)
    if known_is_named != is_named(announced.service):
        return known if known_is_named else announced
    return newer(known, announced)


def differs(known: Searcher | None, announced: Searcher) -> bool:
    """Whether ``announced`` changes where or whether requests are sent.

    That it warms up does, or no longer does; how long it still warms up does not.
    """
    return known is None or _essence(known) != _essence(announced)


def renews_warm_up(known: Searcher, announced: Searcher) -> bool:
    """Whether ``announced`` tells a host anew about the warm-up of a known searcher.

    Replicas pass an announcement on only if it changes something.
    """
    if announced.recency <= known.recency:
        return False
    return announced.warm_up_ms > 0 or announced.heard_after > known.heard_after


def _essence(searcher):
    return msgspec.structs.replace(
        searcher,
        sequence=0,
        warm_up_ms=min(1, searcher.warm_up_ms),
        heard_after=0,
    )
