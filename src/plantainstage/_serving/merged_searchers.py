"""Merges what several control replicas say about searchers.

A searcher announces itself to one replica at a time, and no replica knows more
than what it heard. An entry host keeps a searcher as long as some replica vouches
for it. A replica that restarts has forgotten everything and one that is cut off
says nothing; the searchers that only it vouched for are kept for a while.
"""

from dataclasses import dataclass, field

from plantainstage._serving.searchers import Searcher, SearcherState, differs, newer

# Until a searcher has announced itself to another replica; it sends every 1.2 s
# and tries each replica for a second.
LOST_SOURCE_GRACE_S = 8.0
# After a replica that is up has stopped hearing it.
SILENT_GRACE_S = 0.5


@dataclass(kw_only=True)
class _KnownSearcher:
    searcher: Searcher
    sources: set = field(default_factory=set)
    expires_at: float = float("inf")


class MergedSearchers:
    """All searchers that are known, by id."""

    def __init__(self):
        self.known = {}

    def update(self, source: str, searcher: Searcher) -> Searcher | None:
        """Takes an announcement from a replica; returns it if it is news."""
        known = self.known.get(searcher.searcher_id)
        before = known.searcher if known else None
        believed = newer(before, searcher)
        if known is None or believed.started_at_ms != before.started_at_ms:
            known = self.known[searcher.searcher_id] = _KnownSearcher(searcher=believed)
        known.searcher = believed
        current = searcher.started_at_ms == believed.started_at_ms
        if current and searcher.state is SearcherState.READY:
            known.sources.add(source)
            known.expires_at = float("inf")
        return believed if differs(before, believed) else None

    def mark_silent(self, source: str, searcher_id: str, now: float):
        """A replica no longer hears the searcher."""
        self._remove_source(source, searcher_id, now + SILENT_GRACE_S)

    def source_lost(self, source: str, now: float):
        """A replica has restarted or is out of reach."""
        for searcher_id in self.known:
            self._remove_source(source, searcher_id, now + LOST_SOURCE_GRACE_S)

    def expire(self, now: float) -> list[str]:
        """Drops the searchers that nobody vouches for any more; returns their ids."""
        expired = [
            name for name, known in self.known.items() if known.expires_at <= now
        ]
        for searcher_id in expired:
            del self.known[searcher_id]
        return expired

    def _remove_source(self, source, searcher_id, expires_at):
        known = self.known.get(searcher_id)
        if known is None or source not in known.sources:
            return
        known.sources.discard(source)
        if not known.sources and known.searcher.state is SearcherState.READY:
            known.expires_at = expires_at
