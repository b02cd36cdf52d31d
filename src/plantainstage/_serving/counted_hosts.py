"""The number of entry hosts, from reports that are incomplete at times."""

from plantainstage._serving.connection_shares import HostCounts

# A replica that has restarted counts only the hosts that have polled it since.
LOWER_COUNT_HOLD_S = 4.0
# Reports come several times a second while a replica is reachable.
REPORT_GAP_S = 1.5


class CountedHosts:
    """The hosts that share the limits; a lower count holds once it has lasted.

    A host that counted too few others would use their shares. So a higher count holds
    at once, a lower one only if all reports of LOWER_COUNT_HOLD_S give it, and without
    reports the last one stays.
    """

    def __init__(self, *, data_centre: str):
        self.hosts = HostCounts(by_data_centre={data_centre: 1})
        self.lower_since = None
        self.reported_at = float("-inf")

    def record(self, counted: HostCounts, now: float):
        """Records the hosts that the replicas count according to a report."""
        is_lower = counted.total < self.hosts.total
        if not is_lower or self._has_lasted(now):
            self.hosts = counted
            self.lower_since = None
        self.reported_at = now

    def _has_lasted(self, now):
        interrupted = now - self.reported_at > REPORT_GAP_S
        if self.lower_since is None or interrupted:
            self.lower_since = now
        return now - self.lower_since >= LOWER_COUNT_HOLD_S
