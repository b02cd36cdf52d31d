"""Records of the requests of a run, and the measures computed from them."""

import math
from collections import Counter
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from .deployment import DOCUMENTS_PER_PARTITION

DEADLINE_SLACK_S = 0.005  # allowance for scheduling beyond the deadline


class RequestRecord:
    """One request of a caller with its outcome."""

    __slots__ = (
        "request_id",
        "started_at",
        "profile",
        "entry",
        "on_finish",
        "host_lost",
        "finished_at",
        "answer",
        "refusal",
    )

    def __init__(self, *, request_id, started_at, profile, entry=None, on_finish=None):
        self.request_id = request_id
        self.started_at = started_at
        self.profile = profile
        self.entry = entry
        self.host_lost = False  # the entry host failed before it replied
        self.on_finish = on_finish
        self.finished_at = None
        self.answer = None
        self.refusal = None

    def finish(self, action, now):
        """Records the FinishRequest; a second one is an error of the logic."""
        if self.finished_at is not None:
            raise RuntimeError(f"request {self.request_id} finished twice")
        self.finished_at = now
        self.answer = action.answer
        self.refusal = action.refusal
        if self.on_finish is not None:
            self.on_finish(self)

    @property
    def latency_s(self):
        """Seconds from arrival to the reply; infinite without one."""
        if self.finished_at is None:
            return math.inf
        return self.finished_at - self.started_at

    @property
    def good(self):
        """Whether it was answered in time with the profile's minimum coverage."""
        return (
            self.answer is not None
            and self.latency_s <= self.profile.deadline_ms / 1000
            and self.answer.coverage.fraction >= self.profile.minimum_coverage
        )


@dataclass(frozen=True, kw_only=True)
class Measures:
    """The measures of one run; times are in milliseconds, shares from 0 to 1."""

    scenario: str
    deployment: str
    policy: str
    requests: int
    good_per_s: float
    bad_worst_minute: float
    bad_share: float
    late_beyond_slack: int
    lost_with_host: int
    refused_not_run: int
    refused_other: int
    coverage_mean: float
    coverage_worst: float
    coverage_errors: int
    extra_load: float
    extra_load_worst_window: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    cpu_us_per_sub_request: float
    sub_requests: int
    crashed_first: int
    crashed_further: int
    crashed_further_partition: int
    crashed_resend: int
    good_share_by_profile: dict[str, float]


def measure(tier, *, scenario, policy, start, end, window_s):
    """Returns the Measures of the requests that started in [start, end)."""
    records = [item for item in tier.records if start <= item.started_at < end]
    histogram = HdrHistogram(1, 60_000_000, 3)
    coverages = []
    for record in records:
        if record.answer is not None:
            histogram.record_value(max(1, round(record.latency_s * 1_000_000)))
            coverages.append(record.answer.coverage.fraction)
    first, extra, worst = _loads(tier, window_s)
    cpu_ns = sum(entry.cpu_ns for entry in tier.host_list)
    sent = first + extra
    return Measures(
        scenario=scenario,
        deployment=tier.deployment.name,
        policy=policy,
        requests=len(records),
        good_per_s=sum(item.good for item in records) / (end - start),
        bad_worst_minute=_worst_minute(records, start, end, window_s),
        bad_share=sum(not item.good for item in records) / max(1, len(records)),
        late_beyond_slack=sum(
            item.latency_s > item.profile.deadline_ms / 1000 + DEADLINE_SLACK_S
            for item in records
            if not item.host_lost
        ),
        lost_with_host=sum(item.host_lost for item in records),
        refused_not_run=sum(
            item.refusal is not None and item.refusal.run.value == "not_run"
            for item in records
        ),
        refused_other=sum(
            item.refusal is not None and item.refusal.run.value != "not_run"
            for item in records
        ),
        coverage_mean=sum(coverages) / max(1, len(coverages)),
        coverage_worst=min(coverages, default=0.0),
        coverage_errors=coverage_errors(tier),
        extra_load=extra / max(1, first),
        extra_load_worst_window=worst,
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        p999_ms=histogram.get_value_at_percentile(99.9) / 1000,
        cpu_us_per_sub_request=cpu_ns / 1000 / max(1, sent),
        sub_requests=sent,
        good_share_by_profile=_good_shares(records),
        **_crashes(tier),
    )


def _good_shares(records):
    """Returns the share of good requests of each profile."""
    sent, good = Counter(), Counter()
    for record in records:
        sent[record.profile.name] += 1
        good[record.profile.name] += record.good
    return {name: good[name] / count for name, count in sent.items()}


def _crashes(tier):
    """Counts searcher crashes by first sub-requests, further ones and resends.

    The request that caused the first crash is the original; others are its resends.
    """
    crashes = sorted(
        crash for item in tier.searchers.values() for crash in item.crashes
    )
    original = crashes[0][1] if crashes else ""
    further = Counter(
        partition
        for _, request_id, partition, extra in crashes
        if request_id == original and extra
    )
    return {
        "crashed_first": sum(item[1] == original and not item[3] for item in crashes),
        "crashed_further": sum(further.values()),
        "crashed_further_partition": max(further.values(), default=0),
        "crashed_resend": sum(item[1] != original for item in crashes),
    }


def coverage_errors(tier):
    """Counts answers whose coverage differs from the records of the searchers.

    Each hit contains its sub-request id; a searcher must have answered that
    sub-request for the same request, snapshot and partition.
    """
    answered = {}
    for searcher in tier.searchers.values():
        answered.update(searcher.answers)
    errors = 0
    for record in tier.records:
        if record.answer is None:
            continue
        documents = 0
        for partition, hits in record.answer.hits.items():
            (key,) = msgspec.json.decode(hits)
            expected = (record.request_id, record.answer.snapshot, partition)
            entry = answered.get(key)
            if entry is None or entry[:3] != expected:
                errors += 1
                break
            documents += entry[3]
        coverage = record.answer.coverage
        partitions = len(record.answer.hits) + len(coverage.partitions_missing)
        errors += (
            documents != coverage.documents_answered
            or partitions * DOCUMENTS_PER_PARTITION != coverage.documents_total
        )
    return errors


def _loads(tier, window_s):
    """Returns (first arrivals, extra arrivals, highest ratio in any window).

    The ratio is extra to first arrivals, in windows that end at an extra arrival.
    """
    first, extra = [], []
    for searcher in tier.searchers.values():
        first.extend(searcher.first_arrivals)
        extra.extend(searcher.extra_arrivals)
    first.sort()
    extra.sort()
    worst = 0.0
    low_first = low_extra = high_first = 0
    for number, time in enumerate(extra):
        while first and high_first < len(first) and first[high_first] <= time:
            high_first += 1
        while low_first < len(first) and first[low_first] <= time - window_s:
            low_first += 1
        while extra[low_extra] <= time - window_s:
            low_extra += 1
        in_window = high_first - low_first
        if in_window:
            worst = max(worst, (number + 1 - low_extra) / in_window)
    return len(first), len(extra), worst


def _worst_minute(records, start, end, window_s):
    """Returns the highest share of requests in a minute that were not good."""
    worst = 0.0
    window_start = start
    while window_start < end - 1e-9:
        inside = [
            item
            for item in records
            if window_start <= item.started_at < window_start + window_s
        ]
        if inside:
            bad = sum(not item.good for item in inside) / len(inside)
            worst = max(worst, bad)
        window_start += window_s
    return worst
