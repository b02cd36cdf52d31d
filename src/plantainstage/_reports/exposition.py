"""Prometheus metrics of the daemons for routed requests, served over HTTP."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from tornado import web
from tornado.httpserver import HTTPServer

from plantainstage._reports.account_counters import AccountCounters
from plantainstage._reports.account_metrics import AccountCollector
from plantainstage._transport.listening import listen_on

PREFIX = "plantainstage"
METRICS_PATH = "/metrics"
# Covers the latency aims of the current routes, 50 to 700 ms, and their deadlines.
SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.35, 0.5, 1.0, 2.5, 10.0)


class GatewayMetrics:
    """Metrics of an entry host of routed requests.

    Labels take few values: ``kind`` is ``single`` or ``gather``, ``status`` a
    status code (0 if the caller disconnected), ``outcome`` one of ``success``,
    ``rejected``, ``failure`` and ``no_reply``, ``error`` the name of an error type,
    ``reason`` one of ``key_missing``, ``key_malformed`` and ``key_unknown``.
    Times are in seconds.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        shared = {"namespace": PREFIX, "registry": self.registry}
        self.requests = Counter(
            "requests", "Requests finished", ["kind", "status"], **shared
        )
        self.account_requests = AccountCounters()
        self.registry.register(
            AccountCollector(
                name=f"{PREFIX}_account_requests", counters=self.account_requests
            )
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
        self.limited = Counter(
            "limited_parts",
            "Shards and single requests that rate limits of searchers excluded",
            **shared,
        )
        self.calls = Counter(
            "calls", "Calls to searchers finished", ["outcome"], **shared
        )
        self.call_seconds = Histogram(
            "call_seconds",
            "Duration of successful calls to searchers",
            buckets=SECONDS_BUCKETS,
            **shared,
        )
        self.hedges = Counter("hedges", "Hedged calls to a second searcher", **shared)
        self.repeats = Counter("repeats", "Calls repeated after a failure", **shared)
        self.internal_errors = Counter(
            "internal_errors",
            "Unexpected errors in requests, which were ended with an answer",
            **shared,
        )
        self.ended_searchers = Counter(
            "ended_searchers",
            "Searchers that ended while they ran requests of this host",
            **shared,
        )
        self.quarantined = Counter(
            "quarantined_requests",
            "Requests quarantined since they end searchers, by fingerprint",
            **shared,
        )
        self.quarantine_refusals = Counter(
            "quarantine_refusals", "Calls not sent since of a quarantine", **shared
        )
        self.refused_keys = Counter(
            "refused_keys",
            "Requests refused with 401 for want of a key of a client account",
            ["reason"],
            **shared,
        )
        self.over_share = Counter(
            "over_share_refusals",
            "Requests refused as their account was over its share of the capacity",
            **shared,
        )
        self.room_queue_refusals = Counter(
            "room_queue_refusals",
            "Parts of requests refused as the queue for room was full or too slow",
            **shared,
        )
        self.passed_on = Counter(
            "passed_on", "Requests passed on to another entry host", **shared
        )
        self.cut_off = Gauge(
            "cut_off", "1 while this host reaches no searcher, else 0", **shared
        )
        self.quota_refusals = Counter(
            "quota_refusals", "Requests refused by the quota of an account", **shared
        )
        self.quota_waits = Counter(
            "quota_waits", "Requests that waited for a permit of the leader", **shared
        )
        self.quota_contact_age = Gauge(
            "quota_contact_age_seconds",
            "Age of the last contact with the leader about accounts, -1 before it",
            **shared,
        )
        self.failed_polls = Counter(
            "failed_polls", "Polls of control that got no reply", ["error"], **shared
        )
        self.version = Gauge(
            "configuration_version",
            "Configuration version in force, -1 for none",
            **shared,
        )
        self.searchers = Gauge("searchers", "Searchers in use", **shared)
        self.cold_searchers = Gauge(
            "cold_searchers", "Searchers that warm up, with limited requests", **shared
        )
        self.evacuated = Gauge(
            "evacuated_data_centres",
            "Data centres whose searchers get no requests of this host",
            **shared,
        )
        self.dropped_lines = Gauge(
            "dropped_event_lines", "Event lines dropped since the start", **shared
        )
        self.failed_tasks = Gauge(
            "failed_tasks", "Failures of tasks since the start", **shared
        )


class RegistryMetrics:
    """Metrics of a control replica of routed requests."""

    def __init__(self):
        self.registry = CollectorRegistry()
        shared = {"namespace": PREFIX, "registry": self.registry}
        self.configurations = Counter(
            "configurations", "Configurations by outcome", ["outcome"], **shared
        )
        self.announcements = Counter(
            "announcements", "Announcements by outcome", ["outcome"], **shared
        )
        self.version = Gauge(
            "configuration_version", "Committed configuration version", **shared
        )
        self.searchers = Gauge(
            "searchers", "Searchers with a current announcement", **shared
        )
        self.evacuations = Gauge(
            "evacuations", "Data centres that are evacuated", **shared
        )
        self.evacuation_orders = Counter(
            "evacuation_orders",
            "Orders about evacuations, by outcome",
            ["outcome"],
            **shared,
        )
        self.hosts = Gauge(
            "entry_hosts", "Entry hosts that poll this replica", **shared
        )
        self.leader_state = Gauge(
            "leader", "1 on the leader, 0 on other replicas", **shared
        )
        self.missing_voters = Gauge(
            "missing_voters",
            "Voters that the control group lacks or has lost; 0 if not the leader",
            **shared,
        )
        self.repeated_joins = Gauge(
            "repeated_joins",
            "Replicas added again before they were voters, by this one as leader",
            **shared,
        )
        self.dropped_lines = Gauge(
            "dropped_event_lines", "Event lines dropped since the start", **shared
        )
        self.failed_requests = Gauge(
            "failed_requests",
            "Requests of hosts and replicas whose handling failed, since the start",
            **shared,
        )
        self.failed_tasks = Gauge(
            "failed_tasks", "Failures of tasks since the start", **shared
        )


class _MetricsHandler(web.RequestHandler):
    def initialize(self, registry):
        self.registry = registry

    def get(self):
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.registry))


def serve_metrics(*, address: str, registry: CollectorRegistry, events):
    """Serves the metrics of a registry on ``IP:port``.

    A program whose metrics cannot be served goes on without them and logs why.
    """
    application = web.Application(
        [(METRICS_PATH, _MetricsHandler, {"registry": registry})],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    try:
        listen_on(server, address)
    except OSError as error:
        events.log_event("metrics_unavailable", address=address, reason=str(error))
