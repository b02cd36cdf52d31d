"""HTTP API through which tests and demos control stand-in searchers.

It listens on its own port, so that its connections do not count as connections
of a searcher.
"""

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from standin.searcher import Behaviour, Run, SearcherRecord


class SnapshotOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot to load, with the document count of each partition."""

    snapshot: str
    sequence: int
    manifest: dict[str, int]


class HoldOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The partitions of a held snapshot that the searcher is to hold."""

    snapshot: str
    partitions: tuple[str, ...]


class Order(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A change of the searchers with these upstream ids, or of all searchers.

    ``behaviour`` holds the fields of Behaviour to replace. ``silence`` is the
    number of open connections that become silent, -1 for all. ``crash`` crashes
    the searcher immediately.
    """

    upstream_ids: tuple[str, ...] = ()
    behaviour: dict[str, msgspec.Raw] = {}
    take: SnapshotOrder | None = None
    hold: HoldOrder | None = None
    drop: str = ""
    silence: int = 0
    crash: bool = False


class Records(msgspec.Struct, frozen=True, kw_only=True):
    """The records of all searchers of the process."""

    searchers: tuple[SearcherRecord, ...]


class Runs(msgspec.Struct, frozen=True, kw_only=True):
    """The sub-requests that the searchers of the process have run."""

    runs: tuple[Run, ...]


def updated_behaviour(behaviour, members):
    """Returns a Behaviour with some fields replaced; raises MsgspecError."""
    merged = {**msgspec.structs.asdict(behaviour), **members}
    return msgspec.json.decode(msgspec.json.encode(merged), type=Behaviour)


class ControlHandler(RequestHandler):
    """Base class of the handlers of the control API."""

    def initialize(self, services):
        self.services = services

    def reply(self, body):
        """Finishes the request with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class RecordsHandler(ControlHandler):
    """``GET /control/searchers``."""

    def get(self):
        records = tuple(service.record() for service in self.services)
        self.reply(Records(searchers=records))


class RunsHandler(ControlHandler):
    """``GET /control/runs?request_id=``; all runs without a request id."""

    def get(self):
        wanted_id = self.get_query_argument("request_id", "")
        runs = tuple(
            run
            for service in self.services
            for run in service.searcher.runs
            if not wanted_id or run.request_id == wanted_id
        )
        self.reply(Runs(runs=runs))


class OrderHandler(ControlHandler):
    """``POST /control/order``."""

    def post(self):
        order = msgspec.json.decode(self.request.body, type=Order)
        silenced = 0
        for service in self.services:
            wanted_ids = order.upstream_ids
            if not wanted_ids or service.searcher.placement.upstream_id in wanted_ids:
                silenced += apply_order(service, order)
        self.reply({"silenced": silenced})


def apply_order(service, order):
    """Applies an order to one searcher; returns the number of silenced connections."""
    searcher = service.searcher
    if order.behaviour:
        searcher.behaviour = updated_behaviour(searcher.behaviour, order.behaviour)
    if order.take is not None:
        take = order.take
        searcher.take_snapshot(take.snapshot, take.sequence, take.manifest)
    if order.hold is not None:
        searcher.hold_partitions(order.hold.snapshot, order.hold.partitions)
    if order.drop:
        searcher.drop_snapshot(order.drop)
    service.request_announcement()
    if order.crash:
        service.crash()
    if order.silence:
        return service.silence_connections(None if order.silence < 0 else order.silence)
    return 0


def start_control(services, address):
    """Serves the control API on ``address``; returns the server."""
    arguments = {"services": services}
    application = Application(
        [
            ("/control/searchers", RecordsHandler, arguments),
            ("/control/runs", RunsHandler, arguments),
            ("/control/order", OrderHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    host, _, port = address.rpartition(":")
    server.listen(int(port), address=host)
    return server
