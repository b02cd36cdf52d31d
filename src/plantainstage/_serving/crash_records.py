"""Ends of searchers, by the request that they ran."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from plantainstage._limits.quarantine_times import QUARANTINE_S
from plantainstage._serving.crash_reports import CrashReport, CrashReportKind

# A harmless request shares each end of a searcher with the one that caused it, and both
# may be repeated at the same searcher; that both are there a third time is rare.
ENDS_TO_QUARANTINE = 3
# Hosts get to know a request before it is quarantined, so that any host which gets an
# answer to it can clear it.
ENDS_TO_SUSPECT = ENDS_TO_QUARANTINE - 1
# A request that changes each time fills the records with fingerprints of one end.
MAX_FINGERPRINTS = 1000
MAX_ENDS = 16  # that are told apart of one fingerprint
# A request to all shards ends many searchers at once, and so seems each harmless one
# that runs beside it: ends prove something only if they are further apart than this.
ONE_MOMENT_S = 0.2


@dataclass(kw_only=True)
class _Record:
    ends: dict = field(default_factory=dict)  # start of a searcher -> time of its end
    changed_at: float = float("-inf")
    cleared_at: float = float("-inf")
    cleared_by: CrashReportKind | None = None
    was_suspected: bool = False  # before it was cleared


class CrashRecords:
    """What is known of each fingerprint; those that changed last are kept.

    An answer clears the ends of a fingerprint, since a request that ends each searcher
    which runs it is never answered. For example::

        records = CrashRecords()
        records.record(report_of_an_end, at=1.0)
        records.ends(fingerprint)     # 1
    """

    def __init__(self):
        self.records = OrderedDict()  # fingerprint -> _Record, by last change

    # ---- Queries ------------------------------------------------------------------

    def ends(self, fingerprint: str) -> int:
        """Returns how many starts of searchers have ended under the request."""
        record = self.records.get(fingerprint)
        return 0 if record is None else len(record.ends)

    def is_proven(self, fingerprint: str) -> bool:
        """Whether enough searchers have ended, and not all of them in one moment."""
        if self.ends(fingerprint) < ENDS_TO_QUARANTINE:
            return False
        times = self.records[fingerprint].ends.values()
        return max(times) - min(times) > ONE_MOMENT_S

    def changed_at(self, fingerprint: str) -> float:
        """Returns the time of the last end, or of what cleared them."""
        return self.records[fingerprint].changed_at

    def is_suspected(self, fingerprint: str) -> bool:
        """Whether one more end could quarantine the request."""
        return self.ends(fingerprint) >= ENDS_TO_SUSPECT

    def has_news_of_clearance(self, fingerprint: str) -> bool:
        """Whether hosts may hold a suspicion that was cleared."""
        record = self.records[fingerprint]
        if record.cleared_by is None:
            return False
        return record.was_suspected or record.cleared_by is CrashReportKind.LIFTED

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Returns reports from which the same is known again, the oldest first."""
        observed = [
            seen
            for fingerprint, record in self.records.items()
            for seen in _observations(fingerprint, record)
        ]
        observed.sort(key=lambda seen: seen[0])
        return tuple(
            msgspec.structs.replace(report, age_ms=max(0, round((now - at) * 1000)))
            for at, report in observed
        )

    # ---- Commands -----------------------------------------------------------------

    def record(self, report: CrashReport, at: float) -> bool:
        """Records a report of something at ``at``; returns whether it is new."""
        record = self.records.get(report.fingerprint) or _Record()
        if not _apply(record, report, at):
            return False
        record.changed_at = max(record.changed_at, at)
        self.records[report.fingerprint] = record
        self.records.move_to_end(report.fingerprint)
        if len(self.records) > MAX_FINGERPRINTS:
            self._drop_one()
        return True

    def expire(self, now: float):
        """Forgets what has not changed for the time of a quarantine."""
        for fingerprint, record in list(self.records.items()):
            if now - record.changed_at > QUARANTINE_S:
                del self.records[fingerprint]

    def _drop_one(self):
        """Drops the oldest record that quarantines nothing, so that none is lifted."""
        for fingerprint in self.records:
            if not self.is_proven(fingerprint):
                del self.records[fingerprint]
                return
        self.records.popitem(last=False)


def _observations(fingerprint, record):
    """Yields (time, report) of what is known of a fingerprint."""
    if record.cleared_by is not None:
        report = CrashReport(fingerprint=fingerprint, kind=record.cleared_by)
        yield record.cleared_at, report
    for (searcher, started_at_ms), at in record.ends.items():
        report = CrashReport(
            fingerprint=fingerprint,
            kind=CrashReportKind.ENDED,
            searcher=searcher,
            started_at_ms=started_at_ms,
        )
        yield at, report


def _apply(record, report, at):
    if report.kind is not CrashReportKind.ENDED:
        if at <= record.cleared_at:
            return False
        record.was_suspected = len(record.ends) >= ENDS_TO_SUSPECT
        record.cleared_at = at
        record.cleared_by = report.kind
        record.ends.clear()
        return True
    start = (report.searcher, report.started_at_ms)
    if at <= record.cleared_at or start in record.ends:
        return False
    if len(record.ends) >= MAX_ENDS and not _make_room(record, at):
        return False
    record.ends[start] = at
    record.cleared_by = None
    return True


def _make_room(record, at):
    """Drops an end for one of another moment; returns whether it did."""
    first, second, *_ = record.ends
    if at - record.ends[first] <= ONE_MOMENT_S:
        return False
    del record.ends[second]
    return True
