"""When a replica takes a snapshot of its state machine."""

from dataclasses import dataclass

MAX_SNAPSHOT_TO_LOG_RATIO = 8  # bytes of a snapshot per byte of log before it


@dataclass(frozen=True, kw_only=True)
class SnapshotPolicy:
    """Limits the log that a start replays and the rate of snapshots.

    A snapshot is due after ``entries`` entries, but at most once in ``interval_s``
    seconds: under load thousands of entries arrive in a second, and each snapshot
    delays them by three syncs. Regardless of the interval it is due after
    ``max_entries``, which take about 40 ms to replay, and after ``max_bytes``.
    """

    entries: int = 250
    interval_s: float = 1.0
    max_entries: int = 2000
    max_bytes: int = 8 * 1024 * 1024

    def is_due(
        self, *, log_entries: int, log_bytes: int, snapshot_bytes: int, age_s: float
    ):
        """Whether to take a snapshot, given the log since the last one.

        ``snapshot_bytes`` and ``age_s`` are the size and age of the last snapshot.
        """
        if log_bytes >= self.max_bytes:
            return True
        # A large state is written again only after a proportionate amount of log;
        # replaying that log still takes less time than reading the state.
        if log_bytes * MAX_SNAPSHOT_TO_LOG_RATIO < snapshot_bytes:
            return False
        if log_entries >= self.max_entries:
            return True
        return log_entries >= self.entries and age_s >= self.interval_s
