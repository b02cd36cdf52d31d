"""Metrics by statsd over UDP.

Requests only add to counters in memory. ``flush``, called about once a second,
sends them in a few datagrams on a socket that never blocks; what cannot be
sent is lost, as is usual with statsd.
"""

import enum
import re
from collections import Counter
from typing import Protocol

import statsd

PREFIX = "plantainstage"
FLUSH_INTERVAL_S = 1.0
# Beyond this number, the timings of one name within a flush are sampled; statsd
# servers compute the same percentiles from a sample.
MAX_TIMINGS_PER_FLUSH = 200
MAX_NAMES = 5000
MAX_DATAGRAM_BYTES = 1400  # fits an Ethernet frame
_NOT_ALLOWED_IN_NAME = re.compile(r"[^A-Za-z0-9_-]")


class Metric(enum.Enum):
    """The names of all metrics, below ``plantainstage.PROGRAM.HOST``.

    Those with a label (a profile, a refusal's code, an outcome) append it, as
    in ``plantainstage.entry.entry-1.refusals.overloaded``.
    """

    REQUESTS = "requests"
    REFUSALS = "refusals"
    REQUEST_TIME = "request_ms"
    FIRST_SUB_REQUESTS = "sub_requests.first"
    EXTRA_SUB_REQUESTS = "sub_requests.extra"
    SUB_REQUEST_OUTCOMES = "sub_requests.outcome"
    SUB_REQUEST_TIME = "sub_request_ms"
    HEDGES = "hedges"
    RETRIES = "retries"
    INVARIANT_VIOLATIONS = "invariant_violations"
    LEASE_HELD = "lease_held"
    VERSION = "version"
    QUEUE_LENGTH = "queue_length"
    IN_FLIGHT = "in_flight"
    CONTROL_REQUESTS = "control_requests"
    LEADER = "leader"
    TERM = "term"
    COMMIT_INDEX = "commit_index"


class Metrics(Protocol):
    """Counters, timers and gauges; no method blocks or raises."""

    def count(self, metric: Metric, *, label: str = "", value: int = 1):
        """Adds to a counter."""

    def timing(self, metric: Metric, *, milliseconds: float, label: str = ""):
        """Adds one duration."""

    def gauge(self, metric: Metric, *, value: float, label: str = ""):
        """Sets a value that stays until it is set again."""

    def flush(self):
        """Sends what has been added since the last flush."""

    def close(self):
        """Flushes and closes the socket."""


class NullMetrics:
    """Discards all metrics, for programs without a statsd address."""

    def count(self, metric, *, label="", value=1):
        """Does nothing."""

    def timing(self, metric, *, milliseconds, label=""):
        """Does nothing."""

    def gauge(self, metric, *, value, label=""):
        """Does nothing."""

    def flush(self):
        """Does nothing."""

    def close(self):
        """Does nothing."""


class StatsdMetrics:
    """Collects metrics and sends them to a statsd server.

    For example::

        metrics = StatsdMetrics(
            address="127.0.0.1:8125", program="entry", host_id="entry-1"
        )
        metrics.count(Metric.REFUSALS, label="overloaded")
        metrics.flush()
    """

    def __init__(self, *, address: str, program: str, host_id: str):
        ip, _, port = address.rpartition(":")
        ip = ip.strip("[]")
        self.client = statsd.StatsClient(
            host=ip,
            port=int(port),
            prefix=f"{PREFIX}.{sanitise_name(program)}.{sanitise_name(host_id)}",
            maxudpsize=MAX_DATAGRAM_BYTES,
            ipv6=":" in ip,
        )
        # The client has no public option for a non-blocking socket. With one, a
        # send to a full buffer fails at once and the client drops the datagram.
        self.client._sock.setblocking(False)
        self.counts = Counter()
        self.timings = {}
        self.gauges = {}
        self.closed = False

    def count(self, metric, *, label="", value=1):
        """Adds to a counter."""
        name = metric_name(metric, label)
        if name in self.counts or len(self.counts) < MAX_NAMES:
            self.counts[name] += value

    def timing(self, metric, *, milliseconds, label=""):
        """Adds one duration; many within one flush are sampled."""
        name = metric_name(metric, label)
        if name not in self.timings and len(self.timings) >= MAX_NAMES:
            return
        seen, sample = self.timings.get(name, (0, []))
        if seen < MAX_TIMINGS_PER_FLUSH:
            sample.append(milliseconds)
        else:
            # Replacing the oldest keeps the newest ones, without random numbers.
            sample[seen % MAX_TIMINGS_PER_FLUSH] = milliseconds
        self.timings[name] = (seen + 1, sample)

    def gauge(self, metric, *, value, label=""):
        """Sets a value, which is sent with each flush until it is set again."""
        name = metric_name(metric, label)
        if name in self.gauges or len(self.gauges) < MAX_NAMES:
            self.gauges[name] = value

    def flush(self):
        """Sends all values; one that does not fit into a datagram is lost."""
        if self.closed:
            return
        pipeline = self.client.pipeline()
        for name, value in self.counts.items():
            pipeline.incr(name, value)
        for name, (_, sample) in self.timings.items():
            for milliseconds in sample:
                pipeline.timing(name, milliseconds)
        for name, value in self.gauges.items():
            pipeline.gauge(name, value)
        self.counts.clear()
        self.timings.clear()
        pipeline.send()

    def close(self):
        """Flushes and closes the socket."""
        self.flush()
        self.closed = True
        self.client.close()


def make_metrics(*, address, program, host_id):
    """Returns Metrics for an address ``IP:port``; NullMetrics if it is empty."""
    if not address:
        return NullMetrics()
    return StatsdMetrics(address=address, program=program, host_id=host_id)


def metric_name(metric, label):
    """Returns the name below the prefix."""
    return f"{metric.value}.{sanitise_name(label)}" if label else metric.value


def sanitise_name(text):
    """Replaces the characters that have a meaning in the statsd protocol."""
    return _NOT_ALLOWED_IN_NAME.sub("_", text)[:100] or "_"
