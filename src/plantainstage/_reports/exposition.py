"""Counters and histograms in the text format that scrapers read, over HTTP."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from tornado import web
from tornado.httpserver import HTTPServer

PREFIX = "plantainstage"
METRICS_PATH = "/metrics"
# Around the aims of today's routes, 50 to 700 ms, and up to their deadlines.
SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.35, 0.5, 1.0, 2.5, 10.0)


class GatewayMetrics:
    """What an entry host of routed requests counts.

    Labels take few values: ``kind`` is ``single`` or ``gather``, ``status`` a
    status code (0 for a caller that left), ``outcome`` one of ``success``,
    ``rejected``, ``failure`` and ``no_reply``. Times are in seconds.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        shared = {"namespace": PREFIX, "registry": self.registry}
        self.requests = Counter(
            "requests", "Requests that ended", ["kind", "status"], **shared
        )
        self.request_seconds = Histogram(
            "request_seconds",
            "Time from the head of a request to its answer",
            ["kind"],
            buckets=SECONDS_BUCKETS,
            **shared,
        )
        self.missing_parts = Counter(
            "missing_parts", "Shards left out of answers", **shared
        )
        self.calls = Counter(
            "calls", "Requests to searchers that ended", ["outcome"], **shared
        )
        self.call_seconds = Histogram(
            "call_seconds",
            "Time of a searcher's success",
            buckets=SECONDS_BUCKETS,
            **shared,
        )
        self.hedges = Counter("hedges", "Second searchers that were asked", **shared)
        self.repeats = Counter(
            "repeats", "Requests that were sent again after a failure", **shared
        )
        self.version = Gauge(
            "configuration_version", "Version in force, -1 for none", **shared
        )
        self.searchers = Gauge("searchers", "Searchers in use", **shared)
        self.dropped_lines = Gauge(
            "dropped_event_lines", "Event lines dropped since the start", **shared
        )


class RegistryMetrics:
    """What a control replica of routed requests counts."""

    def __init__(self):
        self.registry = CollectorRegistry()
        shared = {"namespace": PREFIX, "registry": self.registry}
        self.configurations = Counter(
            "configurations", "Configurations by outcome", ["outcome"], **shared
        )
        self.announcements = Counter(
            "announcements", "Announcements by outcome", ["outcome"], **shared
        )
        self.version = Gauge("configuration_version", "Version committed", **shared)
        self.searchers = Gauge("searchers", "Searchers that are heard", **shared)
        self.hosts = Gauge("entry_hosts", "Entry hosts that poll", **shared)
        self.leader_state = Gauge("leader", "1 on the replica that leads", **shared)
        self.dropped_lines = Gauge(
            "dropped_event_lines", "Event lines dropped since the start", **shared
        )


class _MetricsHandler(web.RequestHandler):
    def initialize(self, registry):
        self.registry = registry

    def get(self):
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.registry))


def serve_metrics(*, address: str, registry: CollectorRegistry) -> HTTPServer:
    """Serves the metrics of a registry on ``IP:port``; raises OSError."""
    application = web.Application(
        [(METRICS_PATH, _MetricsHandler, {"registry": registry})],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    host, _, port = address.rpartition(":")
    server.listen(int(port), address=host)
    return server
