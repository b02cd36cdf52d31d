"""Minute records: the counters of one host for a profile in one minute.

Records of the same profile and minute from several hosts are merged by adding
all counts and the latency histograms. The sums are exact, so that merging is
associative and commutative.
"""

import functools
import zlib
from collections import Counter

import msgspec
from hdrh.codec import HdrCookieException, HdrLengthException
from hdrh.histogram import HdrHistogram

from plantainstage._errors import check_invariant
from plantainstage._messages.callers import RunState

MINUTE_S = 60
# Latency is kept in microseconds with 1% resolution: 21 KiB while a minute is
# open and a few hundred bytes once it is encoded.
LATENCY_LOW_US = 1
LATENCY_HIGH_US = 120_000_000
LATENCY_DIGITS = 2


class RefusalCount(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """How many requests were refused with one code and run state."""

    code: str
    run: RunState
    count: int


class MinuteRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one profile in one minute (``minute`` is Unix time / 60).

    A request counts in the minute in which it finished, a sub-request in the
    minute in which it was sent. ``late`` counts answers after the deadline and
    all refusals; ``below_promise`` counts answers below the profile's minimum
    coverage and refusals with ``coverage_not_met``. Document counts are sums
    over answers. ``latency`` is an encoded histogram of the answers'
    microseconds, or empty when there was no answer.
    """

    profile: str
    minute: int
    requests: int = 0
    answers: int = 0
    late: int = 0
    refusals: tuple[RefusalCount, ...] = ()
    below_promise: int = 0
    documents_answered: int = 0
    documents_total: int = 0
    first_sub_requests: int = 0
    extra_sub_requests: int = 0
    latency: str = ""


class HostMinute(msgspec.Struct, frozen=True, kw_only=True):
    """All records of one host for one closed minute.

    A minute without requests is present without records, unlike a minute that is
    unknown. ``complete`` is false when the host did not record the whole minute,
    because it started or stopped in it.
    """

    host: str
    incarnation: str
    minute: int
    complete: bool
    records: tuple[MinuteRecord, ...] = ()


class HostMinutes(msgspec.Struct, frozen=True, kw_only=True):
    """The closed minutes that a host still keeps, the oldest first."""

    host: str
    incarnation: str
    minutes: tuple[HostMinute, ...]


class DamagedHistogramError(ValueError):
    """An encoded histogram cannot be decoded; its record is not usable."""


def empty_histogram():
    """Returns a histogram with the range that all records share."""
    return HdrHistogram(LATENCY_LOW_US, LATENCY_HIGH_US, LATENCY_DIGITS)


def encode_histogram(histogram):
    """Returns the text form, empty for a histogram without values."""
    return histogram.encode().decode("ascii") if histogram.total_count else ""


def decode_histogram(text):
    """Returns the histogram of a text form; raises DamagedHistogramError."""
    if not text:
        return empty_histogram()
    try:
        histogram = HdrHistogram.decode(text.encode("ascii"))
    except (ValueError, zlib.error, HdrCookieException, HdrLengthException) as error:
        raise DamagedHistogramError(f"not an encoded histogram: {error!r}") from error
    if (
        histogram.lowest_trackable_value != LATENCY_LOW_US
        or histogram.highest_trackable_value != LATENCY_HIGH_US
        or histogram.significant_figures != LATENCY_DIGITS
    ):
        raise DamagedHistogramError("histogram has a different range or precision")
    return histogram


def merge_latency(left, right):
    """Returns the text form of the sum of two histograms in text form."""
    if not left or not right:
        return left or right
    total = decode_histogram(left)
    total.add(decode_histogram(right))
    return encode_histogram(total)


def merge_refusals(left, right):
    """Adds refusal counts by code and run state; the result is sorted."""
    counts = Counter()
    for item in (*left, *right):
        counts[item.code, item.run.value] += item.count
    return tuple(
        RefusalCount(code=code, run=RunState(run), count=count)
        for (code, run), count in sorted(counts.items())
    )


def merge_records(left, right):
    """Returns the sum of two records of the same profile and minute.

    For example, two hosts with 3 and 4 requests give a record with 7 requests.
    The caller ensures that no minute of a host is merged twice.
    """
    check_invariant(
        (left.profile, left.minute) == (right.profile, right.minute),
        invariant="merged records share profile and minute",
        detail=f"{left.profile}/{left.minute} and {right.profile}/{right.minute}",
    )
    return MinuteRecord(
        profile=left.profile,
        minute=left.minute,
        requests=left.requests + right.requests,
        answers=left.answers + right.answers,
        late=left.late + right.late,
        refusals=merge_refusals(left.refusals, right.refusals),
        below_promise=left.below_promise + right.below_promise,
        documents_answered=left.documents_answered + right.documents_answered,
        documents_total=left.documents_total + right.documents_total,
        first_sub_requests=left.first_sub_requests + right.first_sub_requests,
        extra_sub_requests=left.extra_sub_requests + right.extra_sub_requests,
        latency=merge_latency(left.latency, right.latency),
    )


def merge_all(records):
    """Merges an iterable of records; returns them by (profile, minute)."""
    groups = {}
    for record in records:
        groups.setdefault((record.profile, record.minute), []).append(record)
    return {
        key: functools.reduce(merge_records, group) for key, group in groups.items()
    }
