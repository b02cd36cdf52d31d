"""Quarantine of requests that crash searchers, by fingerprint."""

from dataclasses import dataclass, field

from plantainstage._limits.quarantine_times import QUARANTINE_S, QuarantineTimes

CRASHES_TO_QUARANTINE = 2
CRASHES_AFTER_LIFT = 1  # the fingerprint has crashed searchers before
SAME_CRASH_S = 1.0  # connections of a lost searcher reset sooner than it restarts


@dataclass(kw_only=True)
class _Crashes:
    """Crashes of one searcher while it was running one fingerprint."""

    last: float = float("-inf")
    count: int = 0

    def add(self, now):
        """Counts a reset as a crash, unless it belongs to the previous crash."""
        if now - self.last > SAME_CRASH_S:
            self.count += 1
        self.last = now


@dataclass(kw_only=True)
class _Resets:
    """Crashes caused by one fingerprint, by partition and searcher."""

    last: float = 0.0
    partitions: dict[str, dict[str, _Crashes]] = field(default_factory=dict)

    def add(self, partition, upstream_id, now):
        """Records a reset of one searcher."""
        self.last = now
        searchers = self.partitions.setdefault(partition, {})
        searchers.setdefault(upstream_id, _Crashes()).add(now)

    def crashes(self):
        """Returns the number of crashes over all searchers."""
        return sum(
            crashes.count
            for searchers in self.partitions.values()
            for crashes in searchers.values()
        )


class QuarantineTable:
    """Resets and quarantines known to this host.

    A fingerprint is quarantined after two crashes: of two searchers, or of one
    searcher before and after a restart. Resets of one searcher within a second
    count as one crash, because the loss of a searcher resets all of its running
    sub-requests at once, and both the owner and the gather record each reset.
    An answer for a partition clears that partition's resets, because a request
    that crashes searchers is never answered by a searcher that runs it::

        table = QuarantineTable()
        reset = {"fingerprint": fingerprint, "partition": "p1", "now": now}
        table.record_reset(upstream_id="p1-1", **reset)  # False
        table.record_reset(upstream_id="p1-1", **reset)  # False, the same crash
        table.record_reset(upstream_id="p1-2", **reset)  # True: now quarantined
    """

    def __init__(self, *, duration_s: float = QUARANTINE_S):
        self.duration_s = duration_s
        self.times = QuarantineTimes()
        self.lifts = {}  # fingerprint -> version of the newest lift applied
        self.strict_until = {}  # fingerprint -> time until which one crash is enough
        self.resets = {}  # fingerprint -> _Resets, ordered by last reset

    def is_quarantined(self, fingerprint, now):
        """Whether sub-requests of this fingerprint must not be sent."""
        return self.times.is_quarantined(fingerprint, now)

    def has_reset(self, fingerprint, now):
        """Whether a reset of this fingerprint was recorded and has not expired."""
        resets = self.resets.get(fingerprint)
        return resets is not None and now - resets.last < self.duration_s

    def record_reset(self, *, fingerprint, upstream_id, partition, now):
        """Records a reset; returns whether it quarantined the fingerprint."""
        self._drop_expired(now)
        resets = self.resets.pop(fingerprint, None) or _Resets()
        resets.add(partition, upstream_id, now)
        self.resets[fingerprint] = resets
        needed = CRASHES_TO_QUARANTINE
        if now < self.strict_until.get(fingerprint, now):
            needed = CRASHES_AFTER_LIFT
        if resets.crashes() < needed or self.is_quarantined(fingerprint, now):
            return False
        self.quarantine(fingerprint, now + self.duration_s)
        return True

    def record_answer(self, fingerprint, partition):
        """Clears the resets of a partition that answered the fingerprint."""
        resets = self.resets.get(fingerprint)
        if resets is not None:
            resets.partitions.pop(partition, None)
            if not resets.partitions:
                del self.resets[fingerprint]

    def quarantine(self, fingerprint, until):
        """Quarantines the fingerprint until a time on the monotonic clock."""
        self.times.quarantine(fingerprint, until)

    def apply_notice(self, notice, now):
        """Applies a ``QuarantineNotice`` from another entry host."""
        self.quarantine(notice.fingerprint, now + notice.duration_ms / 1000)

    def apply_recorded(self, quarantines, *, now, unix_ms):
        """Applies the replicated ``Quarantine`` records of a configuration."""
        for item in quarantines:
            remaining_s = (item.expires_ms - unix_ms) / 1000
            if remaining_s > 0:
                self.quarantine(item.fingerprint, now + remaining_s)

    def apply_lifted(self, lifted, *, now):
        """Applies lifts of quarantines by operators, each of them once.

        A fingerprint that this host has quarantined again must remain so while the
        list still contains its earlier lift.
        """
        for item in lifted:
            name = item.fingerprint
            if self.lifts.get(name, 0) < item.version:
                self.times.end(name)
                self.resets.pop(name, None)
                self.strict_until[name] = now + self.duration_s
        self.lifts = {item.fingerprint: item.version for item in lifted}

    def crashed_searchers(self, fingerprint):
        """Returns the searchers that this host saw crash with the fingerprint."""
        resets = self.resets.get(fingerprint)
        partitions = resets.partitions.values() if resets is not None else ()
        return tuple(sorted({name for searchers in partitions for name in searchers}))

    def _drop_expired(self, now):
        for fingerprint, until in list(self.strict_until.items()):
            if until <= now:
                del self.strict_until[fingerprint]
        # Entries are ordered by last reset, so the loop can stop early.
        for fingerprint, resets in list(self.resets.items()):
            if now - resets.last < self.duration_s:
                return
            del self.resets[fingerprint]
