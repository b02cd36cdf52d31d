"""Counts requests of one host per profile and minute.

The logic does no I/O and reads no clock: each call takes ``now`` in Unix
seconds.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

import msgspec

from plantainstage._messages.callers import RunState
from plantainstage._reports.records import (
    LATENCY_HIGH_US,
    LATENCY_LOW_US,
    MINUTE_S,
    HostMinute,
    HostMinutes,
    MinuteRecord,
    RefusalCount,
    empty_histogram,
    encode_histogram,
)

KEPT_MINUTES = 180
# Callers can send any number of unpublished profile names. These requests share one
# record, as do those of profiles beyond MAX_PROFILES, which bounds the memory used.
MAX_PROFILES = 512
OTHER_PROFILES = ""


@dataclass(kw_only=True)
class _OpenRecord:
    requests: int = 0
    answers: int = 0
    late: int = 0
    below_promise: int = 0
    documents_answered: int = 0
    documents_total: int = 0
    first_sub_requests: int = 0
    extra_sub_requests: int = 0
    refusals: Counter = field(default_factory=Counter)
    latency: object = field(default_factory=empty_histogram)

    def close(self, *, profile, minute):
        return MinuteRecord(
            profile=profile,
            minute=minute,
            requests=self.requests,
            answers=self.answers,
            late=self.late,
            refusals=tuple(
                RefusalCount(code=code, run=RunState(run), count=count)
                for (code, run), count in sorted(self.refusals.items())
            ),
            below_promise=self.below_promise,
            documents_answered=self.documents_answered,
            documents_total=self.documents_total,
            first_sub_requests=self.first_sub_requests,
            extra_sub_requests=self.extra_sub_requests,
            latency=encode_histogram(self.latency),
        )


class MinuteRecorder:
    """The minute records of one host; the last 180 closed minutes are kept.

    For example::

        recorder = MinuteRecorder(host="entry-1", incarnation="8d1f", now=time.time())
        recorder.sub_requests_sent(profile="rider-gate", now=time.time(), first=27)
        recorder.request_answered(
            profile="rider-gate",
            now=time.time(),
            elapsed_ms=41.7,
            deadline_ms=80,
            documents_answered=27_000,
            documents_total=27_000,
            minimum_coverage=0.95,
        )
        for minute in recorder.close_due(now=time.time()):
            log_minute(minute)

    ``close_due`` is called about once a second. After the clock was set back,
    requests count in the open minute; a closed minute is never reopened.
    """

    def __init__(self, *, host: str, incarnation: str, now: float):
        self.host = host
        self.incarnation = incarnation
        self.open_minute = int(now // MINUTE_S)
        self.open_complete = now % MINUTE_S == 0
        self.open_records = {}
        self.closed = deque(maxlen=KEPT_MINUTES)
        self.unreported = deque(maxlen=KEPT_MINUTES)

    def request_answered(
        self,
        *,
        profile: str,
        now: float,
        elapsed_ms: float,
        deadline_ms: float,
        documents_answered: int,
        documents_total: int,
        minimum_coverage: float,
    ):
        """Counts an answer that was sent to its caller."""
        record = self._open_record(profile, now)
        record.requests += 1
        record.answers += 1
        record.late += elapsed_ms > deadline_ms
        record.below_promise += documents_answered < minimum_coverage * documents_total
        record.documents_answered += documents_answered
        record.documents_total += documents_total
        elapsed_us = round(elapsed_ms * 1000)
        record.latency.record_value(
            min(max(elapsed_us, LATENCY_LOW_US), LATENCY_HIGH_US)
        )

    def request_refused(self, *, profile: str, now: float, code: str, run: RunState):
        """Counts a refusal; pass an empty profile when none is published."""
        record = self._open_record(profile, now)
        record.requests += 1
        record.late += 1
        record.below_promise += code == "coverage_not_met"
        record.refusals[code, run.value] += 1

    def sub_requests_sent(
        self, *, profile: str, now: float, first: int = 0, extra: int = 0
    ):
        """Counts sub-requests in the same way as the extra-load budget."""
        record = self._open_record(profile, now)
        record.first_sub_requests += first
        record.extra_sub_requests += extra

    def close_due(self, *, now: float):
        """Closes the minutes that have passed; returns the new ones, oldest first."""
        self._advance(now)
        closed = tuple(self.unreported)
        self.unreported.clear()
        return closed

    def close_all(self, *, now: float):
        """Also closes the open minute, as incomplete, for a planned stop."""
        self._advance(now)
        self._close_open_minute(complete=False)
        self.open_minute += 1
        self.open_complete = False
        return self.close_due(now=now)

    def kept(self, *, now: float):
        """Returns the closed minutes as HostMinutes, the body of /v1/minutes."""
        self._advance(now)
        return HostMinutes(
            host=self.host, incarnation=self.incarnation, minutes=tuple(self.closed)
        )

    def _open_record(self, profile, now):
        self._advance(now)
        record = self.open_records.get(profile)
        if record is None:
            if len(self.open_records) >= MAX_PROFILES:
                profile = OTHER_PROFILES
            record = self.open_records.setdefault(profile, _OpenRecord())
        return record

    def _advance(self, now):
        minute = int(now // MINUTE_S)
        if minute <= self.open_minute:
            return
        self._close_open_minute(complete=self.open_complete)
        # After a long pause, only the last KEPT_MINUTES are filled in as empty.
        for empty in range(max(self.open_minute + 1, minute - KEPT_MINUTES), minute):
            self._append_closed(minute=empty, complete=True, records=())
        self.open_minute = minute
        self.open_complete = True

    def _close_open_minute(self, *, complete):
        records = tuple(
            record.close(profile=profile, minute=self.open_minute)
            for profile, record in sorted(self.open_records.items())
        )
        self.open_records = {}
        self._append_closed(minute=self.open_minute, complete=complete, records=records)

    def _append_closed(self, *, minute, complete, records):
        closed = HostMinute(
            host=self.host,
            incarnation=self.incarnation,
            minute=minute,
            complete=complete,
            records=records,
        )
        self.closed.append(closed)
        self.unreported.append(closed)


def encode_kept(recorder, *, now):
    """Returns the JSON body of ``GET /v1/minutes``."""
    return msgspec.json.encode(recorder.kept(now=now))
