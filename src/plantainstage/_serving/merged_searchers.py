"""Merges the searchers that several control replicas report.

A searcher announces itself to one replica at a time, and each replica knows only the
announcements that it received. An entry host keeps a searcher as long as at least one
replica reports it as ready. A replica that restarts has lost its state, and one that
is partitioned does not reply; searchers reported by no other replica are kept for a
grace period.

Two processes may announce themselves under one id, for different services. What each of
them says is kept apart, and that of a service which the configuration in force names
counts.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from functools import reduce

from plantainstage._serving.searchers import (
    Searcher,
    SearcherState,
    counting,
    differs,
    newer,
    renews_warm_up,
)

# Gives a searcher time to announce itself to another replica; it sends an
# announcement every 1.2 s and tries each replica for a second.
LOST_SOURCE_GRACE_S = 8.0
# Applies if a reachable replica reports that the searcher's announcements stopped.
SILENT_GRACE_S = 0.5


@dataclass(kw_only=True)
class _Claim:
    """What was announced under one id for one service."""

    searcher: Searcher
    sources: set = field(default_factory=set)
    expires_at: float = float("inf")

    @property
    def is_reported(self):
        """Whether a replica reports it, or reported that it leaves."""
        return bool(self.sources) or self.searcher.state is not SearcherState.READY

    def remove_source(self, source, expires_at):
        """Removes a replica; without another one the claim expires."""
        if source not in self.sources:
            return
        self.sources.discard(source)
        if not self.is_reported:
            self.expires_at = expires_at


class MergedSearchers:
    """All known searchers by id, with the replicas that report them."""

    def __init__(self):
        self.known = {}  # searcher id -> service -> _Claim
        self.services = frozenset()  # names in the configuration in force

    # ---- Queries ------------------------------------------------------------------

    def find(self, searcher_id: str) -> Searcher | None:
        """Returns the announcement under an id that counts, or None."""
        announced = (c.searcher for c in self.known.get(searcher_id, {}).values())
        return reduce(self._counting, announced, None)

    def _counting(self, known, announced):
        return counting(known, announced, self.services.__contains__)

    # ---- Commands -----------------------------------------------------------------

    def update(self, source: str, searcher: Searcher) -> Searcher | None:
        """Merges an announcement from a replica.

        Returns the announcement that counts if it affects where or whether requests are
        sent, or renews the warm-up of the searcher, otherwise None.
        """
        before = self.find(searcher.searcher_id)
        self._merge(source, searcher)
        after = self.find(searcher.searcher_id)
        if differs(before, after) or renews_warm_up(before, after):
            return after
        return None

    def _merge(self, source, searcher):
        claims = self.known.setdefault(searcher.searcher_id, {})
        claim = claims.get(searcher.service)
        newest = newer(claim.searcher if claim else None, searcher)
        if claim is None or newest.started_at_ms != claim.searcher.started_at_ms:
            claim = claims[searcher.service] = _Claim(searcher=newest)
        claim.searcher = newest
        if searcher.started_at_ms != newest.started_at_ms:
            return
        if searcher.state is SearcherState.READY:
            claim.sources.add(source)
            claim.expires_at = float("inf")
        if len(claims) > 1:
            self._replace_earlier_report(source, searcher)

    def _replace_earlier_report(self, source, searcher):
        """Drops what a replica, which has one entry under an id, reported before.

        What counts here is kept: a replica that does not know yet that its service is
        named may have replaced it.
        """
        claims = self.known[searcher.searcher_id]
        counts = self.find(searcher.searcher_id)
        for service, claim in list(claims.items()):
            if service in (searcher.service, counts.service):
                continue
            claim.sources.discard(source)
            if not claim.is_reported:
                del claims[service]

    def set_services(self, services: Collection[str]) -> list[Searcher]:
        """Sets the services that exist; returns the announcements that count now."""
        disputed = [name for name, claims in self.known.items() if len(claims) > 1]
        before = {name: self.find(name) for name in disputed}
        self.services = frozenset(services)
        after = map(self.find, disputed)
        return [s for s in after if differs(before[s.searcher_id], s)]

    def mark_silent(self, source: str, searcher_id: str, now: float):
        """Records that a replica no longer receives announcements of the searcher."""
        for claim in self.known.get(searcher_id, {}).values():
            claim.remove_source(source, now + SILENT_GRACE_S)

    def mark_source_lost(self, source: str, now: float):
        """Records that a replica has restarted or is unreachable."""
        for claims in self.known.values():
            for claim in claims.values():
                claim.remove_source(source, now + LOST_SOURCE_GRACE_S)

    def expire(self, now: float) -> list[str]:
        """Drops what has no source after the grace period.

        Returns the ids of the searchers that are lost thereby.
        """
        due = [
            (searcher_id, service)
            for searcher_id, claims in self.known.items()
            for service, claim in claims.items()
            if claim.expires_at <= now
        ]
        return [name for name, service in due if self._drop(name, service)]

    def _drop(self, searcher_id, service):
        """Drops a claim; returns whether it was the one that counted."""
        counted = self.find(searcher_id).service == service
        claims = self.known[searcher_id]
        del claims[service]
        if not claims:
            del self.known[searcher_id]
        return counted
