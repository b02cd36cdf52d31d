"""Latency and load estimates that an entry host keeps of searchers and partitions.

Quantiles are tracked with small multiplicative steps (Robbins-Monro in the log
domain), which costs one comparison and one multiplication per sample.
"""

import math
import random as random_module
from bisect import insort

from plantainstage._limits.admission import HostAdmission, PartitionWait
from plantainstage._limits.quarantine import QuarantineTable

SAME_DATA_CENTRE_HOP_S = 0.0002
CROSS_DATA_CENTRE_HOP_S = 0.0015
INITIAL_SERVICE_S = 0.005
SERVICE_GAIN = 0.1
STALE_AFTER_S = 1.0
STALE_DECAY_S = 5.0
QUEUE_REPORT_MAX_AGE_S = 0.05  # queue lengths change within a few service times
RAMP_S = 5.0
RAMP_FACTOR = 2.0  # initial slowdown assumed of a searcher that has just started
FAILURE_FACTOR = 4.0
MAXIMUM_SERVICE_S = 2.0
P95 = 0.95
P95_STEP = 0.1
MEDIAN_STEP = 0.02
EXACT_SAMPLES = 15
MINIMUM_P95_S = 0.001
INITIAL_P95_S = 0.02


class PartitionLatency:
    """Estimated 95th percentile (``p95_s``) and median latency of a partition.

    The median is exact for the first samples and is then tracked with small steps.
    With steps alone it took 80 samples (10 s) to move from 5 ms to 24 ms; until
    then hedges were sent too late to be answered and used up the extra-load budget.
    """

    __slots__ = ("p95_s", "median_s", "first_samples")

    def __init__(self):
        self.p95_s = INITIAL_P95_S
        self.median_s = INITIAL_SERVICE_S
        self.first_samples = []

    def observe(self, latency_s):
        """Updates both estimates with one latency sample."""
        if latency_s > self.p95_s:
            self.p95_s *= 1 + P95_STEP * P95
        elif self.p95_s > MINIMUM_P95_S:
            self.p95_s *= 1 - P95_STEP * (1 - P95)
        if self.first_samples is not None:
            self._observe_first_sample(latency_s)
        elif latency_s > self.median_s:
            self.median_s *= 1 + MEDIAN_STEP
        else:
            self.median_s *= 1 - MEDIAN_STEP

    def _observe_first_sample(self, latency_s):
        insort(self.first_samples, latency_s)
        # The lower of two middle samples, so that one straggler among the first two
        # is not taken as the median.
        self.median_s = self.first_samples[(len(self.first_samples) - 1) // 2]
        if len(self.first_samples) == EXACT_SAMPLES:
            self.first_samples = None


class SearcherEstimate:
    """Expected completion time of a sub-request to one searcher from this host."""

    __slots__ = (
        "upstream_id",
        "incarnation",
        "slots",
        "round_trip_s",
        "service_s",
        "updated",
        "outstanding",
        "queued",
        "queue_time",
        "reported_load",
        "ramp_until",
        "median_service",
    )

    def __init__(
        self, *, upstream_id, incarnation, slots, round_trip_s, median_service
    ):
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.slots = slots
        self.round_trip_s = round_trip_s
        self.median_service = median_service
        self.service_s = median_service.service_s
        self.updated = -math.inf
        self.outstanding = 0
        self.queued = 0
        self.queue_time = -math.inf
        self.reported_load = 0.0
        self.ramp_until = -math.inf

    def observe(self, result, elapsed_s, now):
        """Updates from an answer, with its ``service_ms`` if the owner measured it."""
        service = result.service_ms / 1000 or elapsed_s
        self.service_s += SERVICE_GAIN * (service - self.service_s)
        self.median_service.observe(service)
        self.updated = now
        self.reported_load = result.reported_load

    def observe_at_least(self, elapsed_s, now):
        """Updates from a sub-request that was abandoned after this time."""
        if elapsed_s > self.service_s:
            self.service_s += SERVICE_GAIN * (elapsed_s - self.service_s)
            self.updated = now

    def observe_queue(self, result, now):
        """Records the owner's queue length; returns the wait that it implies."""
        self.queued = result.queued
        self.queue_time = now
        waiting = result.queued + 1 - self.slots
        return waiting * self.service_s / self.slots if waiting > 0 else 0.0

    def observe_failure(self, now):
        """Penalises the searcher until the estimate has decayed."""
        self.service_s = min(self.service_s * FAILURE_FACTOR, MAXIMUM_SERVICE_S)
        self.updated = now

    def wait_s(self, now):
        """Returns the expected wait for a slot, from the last reported queue length."""
        age = now - self.queue_time
        if age >= QUEUE_REPORT_MAX_AGE_S or not self.queued:
            return 0.0
        return (
            self.queued
            * (1 - age / QUEUE_REPORT_MAX_AGE_S)
            * self.service_s
            / self.slots
        )

    def score(self, now):
        """Returns the expected completion time in seconds; lower is better."""
        service = self.service_s
        age = now - self.updated
        if age > STALE_AFTER_S:
            index_median_s = self.median_service.service_s
            weight = math.exp(-(age - STALE_AFTER_S) / STALE_DECAY_S)
            service = index_median_s + (service - index_median_s) * weight
        if now < self.ramp_until:
            left = (self.ramp_until - now) / RAMP_S
            service *= 1 + (RAMP_FACTOR - 1) * left
        expected = self.round_trip_s + service
        if self.outstanding:
            expected += self.outstanding * service / self.slots
        return expected + self.wait_s(now)


class MedianServiceTime:
    """Estimated median service time over all searchers of an index."""

    __slots__ = ("service_s",)

    def __init__(self):
        self.service_s = INITIAL_SERVICE_S

    def observe(self, service_s):
        """Moves the estimate one small step towards the median."""
        self.service_s *= 1.005 if service_s > self.service_s else 0.995


class RoutingCounters:
    """Counters of routing events over all requests of a host."""

    def __init__(self):
        self.discarded_results = 0
        self.late_results = 0
        self.hedges = 0
        self.retries = 0
        self.budget_denials = 0
        self.quarantine_refusals = 0
        self.overload_refusals = 0


class RoutingState:
    """Routing state that all gathers of one entry host share.

    ``incarnation`` is unique to the process, so that a result addressed to an
    earlier process never matches a sub-request of this one. For example::

        routing = RoutingState(
            entry_id="e1", incarnation="7f3a", data_centre="upper-canal",
            random=random.Random(1),
        )
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: str,
        data_centre: str,
        random: random_module.Random | None = None,
        quarantines: QuarantineTable | None = None,
        cross_data_centre_hop_s: float = CROSS_DATA_CENTRE_HOP_S,
    ):
        self.entry_id = entry_id
        self.data_centre = data_centre
        self.random = (random or random_module.Random()).random
        self.quarantines = quarantines or QuarantineTable()
        self.admission = HostAdmission(random=self.random)
        self.counters = RoutingCounters()
        self.cross_data_centre_hop_s = cross_data_centre_hop_s
        self.sub_request_prefix = f"{entry_id}.{incarnation}."
        self.sub_request_count = 0
        self.estimates = {}
        self.latencies = {}
        self.waits = {}
        self.median_services = {}

    def next_sub_request_id(self):
        """Returns an id that is unique across requests, processes and hosts."""
        self.sub_request_count += 1
        return f"{self.sub_request_prefix}{self.sub_request_count}"

    def hop_s(self, owner_id, owner_data_centre):
        """Returns the expected one-way network latency to an owner."""
        if owner_id == self.entry_id:
            return 0.0
        return self._one_way_s(self.data_centre, owner_data_centre)

    def partition_latency(self, index, partition):
        """Returns the partition's PartitionLatency, kept across versions."""
        return self.latencies.setdefault((index, partition), PartitionLatency())

    def partition_wait(self, index, partition):
        """Returns the partition's PartitionWait, kept across versions."""
        return self.waits.setdefault((index, partition), PartitionWait())

    def estimate(self, upstream, owner_data_centre):
        """Returns the searcher's estimate; a restarted searcher gets a new one."""
        estimate = self.estimates.get(upstream.upstream_id)
        if estimate is None or estimate.incarnation != upstream.incarnation:
            estimate = SearcherEstimate(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                slots=upstream.slots,
                round_trip_s=0.0,
                median_service=self.median_services.setdefault(
                    upstream.index, MedianServiceTime()
                ),
            )
            self.estimates[upstream.upstream_id] = estimate
        estimate.slots = upstream.slots
        estimate.round_trip_s = 2 * (
            self._one_way_s(self.data_centre, owner_data_centre)
            + self._one_way_s(owner_data_centre, upstream.data_centre)
        )
        return estimate

    def start_ramp(self, upstream_id, now):
        """Starts a searcher's ramp-up, during which it gets fewer sub-requests."""
        if upstream_id in self.estimates:
            self.estimates[upstream_id].ramp_until = now + RAMP_S

    def choose(self, replicas, tried, now):
        """Returns the better of two random untried replicas, or None.

        This is the power of two choices.
        """
        if tried:
            replicas = [item for item in replicas if item.upstream_id not in tried]
        count = len(replicas)
        if count < 2:
            return replicas[0] if count else None
        random = self.random
        first = int(random() * count)
        second = first + 1 + int(random() * (count - 1))
        one = replicas[first]
        other = replicas[second if second < count else second - count]
        one_score = one.estimate.score(now)
        other_score = other.estimate.score(now)
        if one_score == other_score:
            # Reported load is delayed and may be wrong, so it only breaks ties.
            if other.estimate.reported_load < one.estimate.reported_load:
                return other
            return one
        return one if one_score < other_score else other

    def _one_way_s(self, one, other):
        return SAME_DATA_CENTRE_HOP_S if one == other else self.cross_data_centre_hop_s
