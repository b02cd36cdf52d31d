"""Adds up what entry hosts report about requests that end searchers.

The reports are kept in memory only. A replica that has restarted gets them again from
the hosts and the other replicas, and a host never lifts a quarantine because a replica
does not list it.
"""

from collections import deque

import msgspec

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


class CrashRegister:
    """Reports of hosts, numbered for the other replicas, and what follows from them.

    ``on_change`` is called when the other replicas have something to fetch.
    """

    def __init__(self):
        self.records = CrashRecords()
        self.heard = deque(maxlen=MAX_REPORTS)  # (number, time, report) of hosts
        self.last_number = 0
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

    # ---- Commands -----------------------------------------------------------------

    def record_from_host(self, reports: tuple[CrashReport, ...], now: float):
        """Records new reports of a host, also for the other replicas."""
        for report in reports:
            at = now - report.age_ms / 1000
            if self.records.record(report, at):
                self.last_number += 1
                self.heard.append((self.last_number, at, report))
                if self.on_change is not None:
                    self.on_change()

    def record_from_replica(self, reports: tuple[CrashReport, ...], now: float):
        """Records reports that another replica has got from hosts."""
        for report in reports:
            self.records.record(report, now - report.age_ms / 1000)

    def lift(self, fingerprint: str, now: float):
        """Ends a quarantine by an operator's order."""
        report = CrashReport(fingerprint=fingerprint, kind=CrashReportKind.LIFTED)
        self.record_from_host((report,), now)

    def expire(self, now: float):
        """Forgets reports that are as old as a quarantine lasts."""
        self.records.expire(now)
