"""Requests that crash searchers, by fingerprint."""

from dataclasses import dataclass, field

import xxhash

QUARANTINE_S = 600.0
CRASHES_TO_QUARANTINE = 2
CRASHES_AFTER_LIFT = 1  # it has crashed searchers before
SAME_CRASH_S = 1.0  # a searcher takes longer to restart than to lose its sockets


def fingerprint_of(index, query):
    """Returns the hash of the index and the query body.

    The profile and the request id are left out, so that a resend under another
    id or profile has the same fingerprint.
    """
    return xxhash.xxh3_128_hexdigest(index.encode() + b"\0" + query)


@dataclass(kw_only=True)
class _Crashes:
    """Crashes of one searcher while it ran one fingerprint."""

    last: float = float("-inf")
    count: int = 0

    def add(self, now):
        """Counts a reset, unless it belongs to the last crash."""
        if now - self.last > SAME_CRASH_S:
            self.count += 1
        self.last = now


@dataclass(kw_only=True)
class _Resets:
    """Crashes while running one fingerprint, by partition and searcher."""

    last: float = 0.0
    partitions: dict[str, dict[str, _Crashes]] = field(default_factory=dict)

    def add(self, partition, upstream_id, now):
        """Counts a reset of one searcher."""
        self.last = now
        searchers = self.partitions.setdefault(partition, {})
        searchers.setdefault(upstream_id, _Crashes()).add(now)

    def crashes(self):
        """Returns the number of crashes of all searchers."""
        return sum(
            crashes.count
            for searchers in self.partitions.values()
            for crashes in searchers.values()
        )


class QuarantineTable:
    """Resets and quarantines that this host knows.

    A fingerprint is quarantined after two crashes: of two searchers, or of one
    that came back. Resets of one searcher within a second are one crash: when a
    searcher is lost, all of its running sub-requests are reset at once, and the
    owner and the gather both see each.
    An answer for a partition clears that partition's resets, because a request
    that crashes searchers is never answered by one that runs it::

        table = QuarantineTable()
        reset = {"fingerprint": fingerprint, "partition": "p1", "now": now}
        table.record_reset(upstream_id="p1-1", **reset)  # False
        table.record_reset(upstream_id="p1-1", **reset)  # False, the same one
        table.record_reset(upstream_id="p1-2", **reset)  # True: now quarantined
    """

    def __init__(self, *, duration_s: float = QUARANTINE_S):
        self.duration_s = duration_s
        self.until = {}
        self.lifts = {}  # fingerprint -> version of the newest lift applied here
        self.strict_until = {}  # fingerprint -> until when one crash is enough
        self.resets = {}  # fingerprint -> _Resets, in the order of the last reset

    def is_quarantined(self, fingerprint, now):
        """Whether no sub-request of this fingerprint may be sent."""
        until = self.until.get(fingerprint)
        if until is None:
            return False
        if now < until:
            return True
        del self.until[fingerprint]
        return False

    def has_reset(self, fingerprint, now):
        """Whether a reset is remembered for this fingerprint."""
        resets = self.resets.get(fingerprint)
        return resets is not None and now - resets.last < self.duration_s

    def record_reset(self, *, fingerprint, upstream_id, partition, now):
        """Records a reset; true if the fingerprint became quarantined by it."""
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
        """Clears the resets of a partition that has answered the fingerprint."""
        resets = self.resets.get(fingerprint)
        if resets is not None:
            resets.partitions.pop(partition, None)
            if not resets.partitions:
                del self.resets[fingerprint]

    def quarantine(self, fingerprint, until):
        """Refuses the fingerprint until a time on the monotonic clock."""
        self.until[fingerprint] = max(until, self.until.get(fingerprint, until))

    def apply_notice(self, notice, now):
        """Takes over a ``QuarantineNotice`` from another entry host."""
        self.quarantine(notice.fingerprint, now + notice.duration_ms / 1000)

    def apply_recorded(self, quarantines, *, now, unix_ms):
        """Takes over the replicated ``Quarantine`` records of a configuration."""
        for item in quarantines:
            remaining_s = (item.expires_ms - unix_ms) / 1000
            if remaining_s > 0:
                self.quarantine(item.fingerprint, now + remaining_s)

    def apply_lifted(self, lifted, *, now):
        """Takes over an operator's lifts, each once.

        A fingerprint that was quarantined again here must stay so while the list
        still has its earlier lift.
        """
        for item in lifted:
            name = item.fingerprint
            if self.lifts.get(name, 0) < item.version:
                self.until.pop(name, None)
                self.resets.pop(name, None)
                self.strict_until[name] = now + self.duration_s
        self.lifts = {item.fingerprint: item.version for item in lifted}

    def crashed_searchers(self, fingerprint):
        """Returns the searchers that this host saw crash with it."""
        resets = self.resets.get(fingerprint)
        partitions = resets.partitions.values() if resets is not None else ()
        return tuple(sorted({name for searchers in partitions for name in searchers}))

    def _drop_expired(self, now):
        for fingerprint, until in list(self.strict_until.items()):
            if until <= now:
                del self.strict_until[fingerprint]
        # Entries are in the order of their last reset, so the loop stops early.
        for fingerprint, resets in list(self.resets.items()):
            if now - resets.last < self.duration_s:
                return
            del self.resets[fingerprint]
