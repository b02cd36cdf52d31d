"""The register of the searchers that announced themselves to a control replica."""

from dataclasses import dataclass

import msgspec

from plantainstage._errors import RegisterFullError
from plantainstage._serving.searchers import (
    COUNTDOWN_MARGIN_S,
    Searcher,
    SearcherState,
    counting,
    differs,
)

# Heartbeat intervals without an announcement after which a searcher counts as silent.
MISSED_ANNOUNCEMENTS = 3.5
# Longer than an announcement may be delayed, so that a late one finds the departure.
DEPARTURE_RETENTION_S = 120.0
# Hosts and replicas that were out of reach for so long have dropped what they had of
# this replica, and get everything anew.
SILENT_RETENTION_S = 120.0
# A few times the searchers of the largest deployments; bounds what a writer that uses a
# new id each time can add.
MAX_SEARCHERS = 50_000


@dataclass(kw_only=True)
class SearcherEntry:
    """One searcher; ``change`` numbers the last change that hosts need to know.

    ``warm_at`` is when it will have warmed up, as hosts were told with that change.
    """

    searcher: Searcher
    announced_at: float
    change: int
    silent: bool = False
    warm_at: float = float("-inf")


def _none_ended(data_centre):
    """Replaces ``ended_number`` until it is set."""
    return 0


def _none_named(service):
    """Replaces ``is_named`` until it is set."""
    return False


def _warm_at(searcher, now):
    return now + searcher.warm_up_ms / 1000


class SearcherRegister:
    """Announcements by searcher id, with a cursor for the polls of entry hosts.

    Each change that hosts need to know gets the next number; an announcement that
    repeats known data is not sent to them. ``ended_number(data_centre)`` is the number
    of the end of its last evacuation, after which hosts need one announcement of each
    searcher there. ``is_named(service)`` tells whether the configuration names a
    service; see ``counting`` for announcements under one id. Searchers that are silent
    for long are forgotten, and sooner if more than MAX_SEARCHERS are known.
    """

    def __init__(self, *, heartbeat_s: float):
        self.silent_after_s = heartbeat_s * MISSED_ANNOUNCEMENTS
        self.entries = {}
        self.cursor = 0
        self.on_change = None  # called after a change that hosts need to know
        self.ended_number = _none_ended
        self.is_named = _none_named

    # ---- Queries ------------------------------------------------------------------

    def changes_since(self, cursor: int):
        """Returns the entries that changed after ``cursor``."""
        return [entry for entry in self.entries.values() if entry.change > cursor]

    def searchers(self):
        """Returns the newest announcement of each searcher."""
        return tuple(entry.searcher for entry in self.entries.values())

    def find(self, searcher_id: str) -> Searcher | None:
        """Returns the newest announcement of a searcher."""
        entry = self.entries.get(searcher_id)
        return entry.searcher if entry is not None else None

    # ---- Commands -----------------------------------------------------------------

    def record_announcement(self, searcher: Searcher, now: float) -> bool:
        """Records an announcement; returns whether it is a departure not yet known.

        Raises RegisterFullError for a new searcher if too many are known.
        """
        entry = self.entries.get(searcher.searcher_id)
        if entry is None:
            if len(self.entries) >= MAX_SEARCHERS:
                raise RegisterFullError(limit=MAX_SEARCHERS)
            self.entries[searcher.searcher_id] = SearcherEntry(
                searcher=searcher,
                announced_at=now,
                change=self._next_change(),
                warm_at=_warm_at(searcher, now),
            )
            return searcher.state is not SearcherState.READY
        before = entry.searcher
        entry.searcher = counting(before, searcher, self.is_named)
        if not self._is_current(entry, searcher):
            return False
        changed = differs(before, entry.searcher)
        entry.announced_at = now
        if changed or entry.silent or self._is_news(entry, before, now):
            entry.silent = False
            entry.change = self._next_change()
            entry.warm_at = _warm_at(entry.searcher, now)
        return changed and searcher.state is not SearcherState.READY

    @staticmethod
    def _is_current(entry, searcher):
        """Whether an announcement is one of the start that the entry describes."""
        counts = entry.searcher
        return (counts.service, counts.start) == (searcher.service, searcher.start)

    def _is_news(self, entry, before, now):
        """Whether hosts need an announcement for what they know of the warm-up."""
        searcher = entry.searcher
        if searcher is before:
            return False
        warm_at = _warm_at(searcher, now)
        if searcher.warm_up_ms and warm_at > entry.warm_at + COUNTDOWN_MARGIN_S:
            return True
        ended = self.ended_number(searcher.data_centre)
        return before.heard_after < ended <= searcher.heard_after

    def record_departure(
        self,
        searcher_id: str,
        now: float,
        *,
        heard_elsewhere: Searcher | None,
        started_at_ms: int | None = None,
    ) -> Searcher | None:
        """Records that a searcher has left; returns it if that was not yet known.

        ``heard_elsewhere`` is its newest announcement to another replica, since a
        searcher may report its departure to a replica to which it never announced
        itself. ``started_at_ms`` tells which start leaves: one that is late, after the
        searcher has started again, changes nothing.
        """
        entry = self.entries.get(searcher_id)
        known = entry.searcher if entry is not None else heard_elsewhere
        if known is None:
            return None
        if heard_elsewhere is not None:
            known = counting(known, heard_elsewhere, self.is_named)
        if started_at_ms is None:
            started_at_ms = known.started_at_ms
        left = msgspec.structs.replace(
            known, state=SearcherState.LEFT, started_at_ms=started_at_ms
        )
        return left if self.record_announcement(left, now) else None

    def expire(self, now: float):
        """Marks silent searchers; removes old departures and those long silent."""
        is_full = len(self.entries) >= MAX_SEARCHERS
        for searcher_id, entry in list(self.entries.items()):
            age_s = now - entry.announced_at
            if entry.searcher.state is not SearcherState.READY:
                if age_s > DEPARTURE_RETENTION_S:
                    del self.entries[searcher_id]
            elif entry.silent:
                # Reported as silent in an earlier round, and so to all that poll.
                if is_full or age_s > SILENT_RETENTION_S:
                    del self.entries[searcher_id]
            elif age_s > self.silent_after_s:
                entry.silent = True
                entry.change = self._next_change()

    def _next_change(self):
        self.cursor += 1
        if self.on_change is not None:
            self.on_change()
        return self.cursor
