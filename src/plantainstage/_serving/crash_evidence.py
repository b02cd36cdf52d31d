"""What an entry host knows of requests that end the searchers which run them.

A broken connection alone says little: searchers reset connections, answers are cut
short, links fail. So a break is pending until other signs decide whether the searcher
has ended. Only ends count for the request; they are reported to control, which adds up
what all hosts report.
"""

import enum
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from plantainstage._limits.quarantine_times import QUARANTINE_S, QuarantineTimes
from plantainstage._serving.crash_records import ENDS_TO_QUARANTINE, CrashRecords
from plantainstage._serving.crash_reports import (
    CrashReport,
    CrashReportKind,
    SuspectedRequest,
)

# A new start of the searcher may be announced only after it has been down for a while.
PENDING_S = 8.0
MAX_PENDING_STARTS = 256
MAX_PENDING_OF_START = 32
# A request that was answered so recently ends no searchers; many callers send it.
ANSWERED_VALIDITY_S = 10.0
MAX_ANSWERED = 4096
# Reports that are kept for a replica that has not got them yet.
MAX_REPORTS = 512


class Standing(enum.Enum):
    """How a request may be sent."""

    CLEAR = "clear"
    ON_TRIAL = "on trial"  # to one searcher, and further once that has answered
    QUARANTINED = "quarantined"


@dataclass(frozen=True, kw_only=True)
class _Observation:
    number: int
    at: float
    report: CrashReport


@dataclass(frozen=True, kw_only=True)
class Ruling:
    """A change of what is sent: a fingerprint is quarantined, or no longer."""

    fingerprint: str
    quarantined: bool
    ends: int


class CrashEvidence:
    """Breaks, ends and quarantines known to one host; a start is (id, start time).

    For example, after a break whose searcher turns out to have ended::

        evidence.record_broken(fingerprint, start, now=1.0)
        evidence.record_end(start, now=1.1)      # rulings, with the third end
        evidence.standing(fingerprint, now=1.2)
    """

    def __init__(self):
        self.pending = {}  # start -> {fingerprint: time of its break}
        self.in_contact = set()  # pending starts that have accepted a connection since
        self.answered = OrderedDict()  # fingerprint -> time, by last answer
        self.records = CrashRecords()  # ends that this host has found
        self.suspected = {}  # fingerprint -> ends, as control counts them
        self.suspected_until = {}  # fingerprint -> time at which that is too old
        self.quarantines = QuarantineTimes()
        self.observations = deque(maxlen=MAX_REPORTS)
        self.last_number = 0

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether nothing is known of any request, as on most days."""
        return not (
            self.pending
            or self.records.records
            or self.suspected
            or self.quarantines.until
        )

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Returns how long the request must not be sent, 0 if it may be."""
        return self.quarantines.remaining_s(fingerprint, now)

    def standing(self, fingerprint: str, now: float) -> Standing:
        """Returns how a first call of the request may be sent."""
        if self.remaining_s(fingerprint, now):
            return Standing.QUARANTINED
        if self._ends(fingerprint) >= ENDS_TO_QUARANTINE:
            return Standing.ON_TRIAL
        return Standing.CLEAR

    def may_repeat(self, fingerprint: str, now: float) -> bool:
        """Whether a repeat or a hedge may be sent, which could end one more searcher.

        Breaks count as well here, since it is not known yet what they mean, unless the
        searcher has a connection to this host.
        """
        broken = sum(
            fingerprint in requests
            for start, requests in self.pending.items()
            if start not in self.in_contact
        )
        if self._ends(fingerprint) + broken >= ENDS_TO_QUARANTINE - 1:
            return False
        return not self.remaining_s(fingerprint, now)

    def _ends(self, fingerprint):
        return max(self.records.ends(fingerprint), self.suspected.get(fingerprint, 0))

    def is_pending(self, start) -> bool:
        """Whether it is to be decided if this start of a searcher has ended."""
        return start in self.pending

    def reports_after(
        self, number: int, now: float
    ) -> tuple[tuple[CrashReport, ...], int]:
        """Returns the observations after ``number``, and the number of the last."""
        reports = tuple(
            _aged(seen.report, now - seen.at)
            for seen in self.observations
            if seen.number > number
        )
        return reports, self.last_number

    # ---- Events -------------------------------------------------------------------

    def record_broken(self, fingerprint: str, start, now: float) -> bool:
        """Records that the connection broke on which the searcher had the request.

        Returns whether that says anything of the request.
        """
        if now - self.answered.get(fingerprint, float("-inf")) < ANSWERED_VALIDITY_S:
            return False
        requests = self.pending.setdefault(start, {})
        self.in_contact.discard(start)
        if len(requests) < MAX_PENDING_OF_START:
            requests.setdefault(fingerprint, now)
        if len(self.pending) > MAX_PENDING_STARTS:
            del self.pending[next(iter(self.pending))]
        return True

    def record_end(self, start, now: float) -> list[Ruling]:
        """Records that a searcher with pending breaks has ended."""
        rulings = []
        searcher, started_at_ms = start
        for fingerprint, broken_at in self.pending.pop(start, {}).items():
            report = CrashReport(
                fingerprint=fingerprint,
                kind=CrashReportKind.ENDED,
                searcher=searcher,
                started_at_ms=started_at_ms,
            )
            is_new = self._observe(report, broken_at)
            if is_new and self.records.is_proven(fingerprint):
                ends = self.records.ends(fingerprint)
                rulings += self._rule(fingerprint, ends, now + QUARANTINE_S, now)
        return rulings

    def record_contact(self, start):
        """Records that a start, or the next one, accepts connections after a break."""
        if start in self.pending:
            self.in_contact.add(start)

    def record_alive(self, start, broken_before: float):
        """Records that a start has answered, so that earlier breaks were no end."""
        requests = self.pending.get(start)
        if requests is not None and max(requests.values()) < broken_before:
            del self.pending[start]

    def record_answer(self, fingerprint: str, now: float) -> list[Ruling]:
        """Records that a searcher has run the request and answered it."""
        self.answered[fingerprint] = now
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        for start, requests in list(self.pending.items()):
            requests.pop(fingerprint, None)
            if not requests:
                del self.pending[start]
        if not self._is_suspected(fingerprint, now):
            return []
        report = CrashReport(fingerprint=fingerprint, kind=CrashReportKind.ANSWERED)
        self._observe(report, now)
        return self._clear(fingerprint, now)

    def apply_suspected(
        self, suspected: Iterable[SuspectedRequest], now: float
    ) -> list[Ruling]:
        """Applies what control has counted; what it no longer lists stays as it is.

        A replica that has restarted lists nothing, which must not end a quarantine.
        """
        rulings = []
        for entry in suspected:
            if entry.ends == 0:
                rulings += self._clear(entry.fingerprint, now)
                continue
            until = now + QUARANTINE_S - entry.age_ms / 1000
            self.suspected[entry.fingerprint] = entry.ends
            self.suspected_until[entry.fingerprint] = until
            if entry.proven and now < until:
                rulings += self._rule(entry.fingerprint, entry.ends, until, now)
        return rulings

    def expire(self, now: float):
        """Forgets breaks of which nothing came, and old ends."""
        for start, requests in list(self.pending.items()):
            if now - max(requests.values()) > PENDING_S:
                del self.pending[start]
        self.in_contact &= self.pending.keys()
        self.records.expire(now)
        self.quarantines.expire(now)
        for fingerprint, until in list(self.suspected_until.items()):
            if until <= now:
                self._forget_suspicion(fingerprint)

    def _is_suspected(self, fingerprint, now):
        return (
            self.records.ends(fingerprint) > 0
            or fingerprint in self.suspected
            or self.quarantines.is_quarantined(fingerprint, now)
        )

    def _observe(self, report, now):
        if not self.records.record(report, now):
            return False
        self.last_number += 1
        seen = _Observation(number=self.last_number, at=now, report=report)
        self.observations.append(seen)
        return True

    def _rule(self, fingerprint, ends, until, now):
        known = self.quarantines.is_quarantined(fingerprint, now)
        self.quarantines.quarantine(fingerprint, until)
        if known:
            return []
        return [Ruling(fingerprint=fingerprint, quarantined=True, ends=ends)]

    def _clear(self, fingerprint, now):
        known = self.quarantines.is_quarantined(fingerprint, now)
        self.quarantines.end(fingerprint)
        self._forget_suspicion(fingerprint)
        report = CrashReport(fingerprint=fingerprint, kind=CrashReportKind.ANSWERED)
        self.records.record(report, now)
        if not known:
            return []
        return [Ruling(fingerprint=fingerprint, quarantined=False, ends=0)]

    def _forget_suspicion(self, fingerprint):
        self.suspected.pop(fingerprint, None)
        self.suspected_until.pop(fingerprint, None)


def _aged(report, age_s):
    return CrashReport(
        fingerprint=report.fingerprint,
        kind=report.kind,
        searcher=report.searcher,
        started_at_ms=report.started_at_ms,
        age_ms=round(age_s * 1000),
    )
