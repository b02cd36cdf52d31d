"""Adds up what entry hosts report about requests that end searchers.

A replica that has restarted has what it saved before, and gets the rest from the hosts
and the other replicas. A host never lifts a quarantine because a replica does not list
it.
"""

from collections import deque

import msgspec

from plantainstage._limits.quarantine_times import QUARANTINE_S
from plantainstage._serving.crash_records import CrashRecords
from plantainstage._serving.crash_reports import (
    CrashReport,
    CrashReportKind,
    SuspectedRequest,
    suspicion_digest,
)

# Hosts poll at least once a second; one that was out of reach for longer keeps a
# quarantine until its time is over.
CLEARANCE_TOLD_S = 60.0
MAX_REPORTS = 1024  # that are kept for the other replicas


class SavedReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report in a file, with the Unix time of what it reports."""

    report: CrashReport
    at_unix_ms: int


class CrashRegister:
    """Reports of hosts, numbered for the other replicas, and what follows from them.

    ``on_change`` is called when the other replicas have something to fetch.
    """

    def __init__(self):
        self.records = CrashRecords()
        self.heard = deque(maxlen=MAX_REPORTS)  # (number, time, report) of hosts
        self.last_number = 0
        self.revision = 0  # counts all changes, whoever reported them
        self.on_change = None

    # ---- Queries ------------------------------------------------------------------

    def suspected(self, now: float) -> tuple[SuspectedRequest, ...]:
        """Returns the requests that hosts need to know, quarantined or not."""
        return tuple(
            SuspectedRequest(
                fingerprint=name,
                ends=self.records.ends(name),
                proven=self.records.is_proven(name),
                age_ms=max(0, round((now - self.records.changed_at(name)) * 1000)),
            )
            for name in self.records.records
            if self._matters(name, now)
        )

    def suspected_unless(self, digest: int, now: float):
        """Returns what is suspected, or None if ``digest`` is that of the same."""
        suspected = self.suspected(now)
        return None if suspicion_digest(suspected) == digest else suspected

    def reports_after(
        self, number: int, now: float
    ) -> tuple[tuple[CrashReport, ...], int]:
        """Returns what hosts have reported after ``number``, and the last number."""
        reports = tuple(
            msgspec.structs.replace(report, age_ms=round((now - at) * 1000))
            for heard, at, report in self.heard
            if heard > number
        )
        return reports, self.last_number

    def _matters(self, fingerprint, now):
        if self.records.is_suspected(fingerprint):
            return True
        age_s = now - self.records.changed_at(fingerprint)
        has_news = self.records.has_news_of_clearance(fingerprint)
        return has_news and age_s < CLEARANCE_TOLD_S

    def to_save(self, now: float, unix_ms: int) -> tuple[SavedReport, ...]:
        """Returns what a later process has to know, with times that it can read."""
        return tuple(
            SavedReport(
                report=msgspec.structs.replace(report, age_ms=0),
                at_unix_ms=unix_ms - report.age_ms,
            )
            for report in self.records.reports(now)
        )

    # ---- Commands -----------------------------------------------------------------

    def record_from_host(self, reports: tuple[CrashReport, ...], now: float):
        """Records new reports of a host, also for the other replicas."""
        for report in reports:
            at = now - report.age_ms / 1000
            if self._record(report, at):
                self.last_number += 1
                self.heard.append((self.last_number, at, report))
                if self.on_change is not None:
                    self.on_change()

    def record_from_replica(self, reports: tuple[CrashReport, ...], now: float):
        """Records reports that another replica has got from hosts."""
        for report in reports:
            self._record(report, now - report.age_ms / 1000)

    def _record(self, report, at):
        is_new = self.records.record(report, at)
        self.revision += is_new
        return is_new

    def lift(self, fingerprint: str, now: float):
        """Ends a quarantine by an operator's order."""
        report = CrashReport(fingerprint=fingerprint, kind=CrashReportKind.LIFTED)
        self.record_from_host((report,), now)

    def restore(self, saved: tuple[SavedReport, ...], now: float, unix_ms: int):
        """Records what an earlier process of this replica has saved.

        If the clock was set back meanwhile, the newest report is taken for one of this
        moment, so that no quarantine lasts longer than a new one.
        """
        newest_ms = max((entry.at_unix_ms for entry in saved), default=unix_ms)
        for entry in saved:
            age_ms = max(unix_ms, newest_ms) - entry.at_unix_ms
            if age_ms < QUARANTINE_S * 1000:
                report = msgspec.structs.replace(entry.report, age_ms=age_ms)
                self.record_from_host((report,), now)

    def expire(self, now: float):
        """Forgets reports that are as old as a quarantine lasts."""
        self.records.expire(now)
