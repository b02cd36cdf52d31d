"""Heartbeat leases of searchers, which the leader keeps in memory.

Times are seconds on the leader's monotonic clock and are passed in.
"""

from dataclasses import dataclass, field

HEARTBEAT_LEASE_S = 3.0
# The record of a lost searcher is kept for operators and for a quick return of the
# same process; after this time the searcher counts as replaced.
LOST_RETENTION_S = 600.0


@dataclass(kw_only=True)
class Heartbeats:
    """When each searcher was last announced.

    ``baseline`` replaces the time of an announcement for searchers that have not
    announced themselves to this leader, or not since a pause of its process.
    """

    baseline: float
    announced_at: dict[str, float] = field(default_factory=dict)

    def record_announcements(self, upstream_ids, now):
        """Records that the searchers were announced at ``now``."""
        for upstream_id in upstream_ids:
            self.announced_at[upstream_id] = now

    def renew_all(self, now):
        """Gives each searcher a full lease after a pause of the leader's process."""
        self.baseline = now

    def silence_s(self, upstream_id, now):
        """Returns the time since the last announcement, or since a later baseline."""
        return now - max(
            self.announced_at.get(upstream_id, self.baseline), self.baseline
        )

    def remove_unknown(self, known):
        """Removes the times of searchers that are not registered."""
        for upstream_id in tuple(self.announced_at):
            if upstream_id not in known:
                del self.announced_at[upstream_id]
