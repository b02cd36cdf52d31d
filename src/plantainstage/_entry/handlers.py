"""HTTP handlers for callers, searchers' announcements and probes."""

import asyncio
import time

import msgspec
from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from plantainstage._entry.queries import encode_refusal
from plantainstage._entry.requests import MAX_BODY_BYTES, internal_error, too_large
from plantainstage._errors import RefusalError
from plantainstage._reports.recorder import encode_kept

# A larger body is read and dropped up to here, so that its sender gets the
# refusal instead of a closed connection.
MAX_DROPPED_BYTES = 64 * 1024 * 1024
# A caller that does not send its body within this time loses its connection.
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 3600.0


class JsonHandler(RequestHandler):
    """Writes typed bodies as JSON."""

    def initialize(self, host):
        self.host = host

    def reply(self, body, status=200):
        """Finishes the request with an encoded JSON body."""
        self.set_status(status, reason=None if status < 499 else "Refused")
        self.set_header("Content-Type", "application/json")
        if self.host.draining:
            # The caller's next request has to go to another entry host.
            self.set_header("Connection", "close")
        self.write(body)
        self.finish()

    def refuse(self, error):
        """Finishes the request with a typed refusal."""
        refusal = encode_refusal(error, "")
        self.reply(refusal.body, refusal.status)

    def write_error(self, status_code, **kwargs):
        """Replies to what tornado refuses itself, such as another method."""
        error = internal_error()
        if status_code < 500:
            error = RefusalError(
                code="not_supported",
                message=f"{self.request.method} {self.request.path} is not offered.",
                remedy="See docs/callers.md for paths and methods.",
                http_status=status_code,
            )
        self.refuse(error)

    def log_exception(self, typ, value, tb):
        """Logs an exception that no handler expected."""
        logger.opt(exception=(typ, value, tb)).error("request failed")


@stream_request_body
class BodyHandler(JsonHandler):
    """Collects a request body of limited size."""

    def initialize(self, host):
        super().initialize(host)
        self.chunks = []
        self.received = 0

    def prepare(self):
        """Raises tornado's limit for this request: the handler drops the rest."""
        self.request.connection.set_max_body_size(MAX_DROPPED_BYTES)

    def data_received(self, chunk):
        """Keeps a part of the body, unless there is too much of it already."""
        self.received += len(chunk)
        if self.received <= MAX_BODY_BYTES:
            self.chunks.append(chunk)

    def body(self):
        """Returns the whole body; raises RefusalError when it is too large."""
        if self.received > MAX_BODY_BYTES:
            raise too_large(MAX_BODY_BYTES)
        return b"".join(self.chunks)


class QueryHandler(BodyHandler):
    """``POST /v1/query``."""

    def initialize(self, host):
        super().initialize(host)
        self.query = None

    async def post(self):
        try:
            data = self.body()
        except RefusalError as error:
            self.refuse(error)
            return
        self.query = self.host.queries.begin(data)
        reply = await self.query.reply()
        if reply is not None:
            self.reply(reply.body, reply.status)

    def on_connection_close(self):
        """Cancels what runs for a caller that has gone."""
        super().on_connection_close()
        if self.query is not None:
            self.query.on_caller_disconnect()


class UpstreamsHandler(BodyHandler):
    """``POST /v1/upstreams``."""

    async def post(self):
        try:
            await self.host.announcements.accept(self.body())
        except RefusalError as error:
            self.refuse(error)
            return
        self.reply(b'{"accepted":true}')


class LiveHandler(JsonHandler):
    """``GET /livez``: the process serves."""

    def get(self):
        self.reply(b'{"live":true}')


class ReadyHandler(JsonHandler):
    """``GET /readyz``: the host may get requests."""

    def get(self):
        reason = self.host.reason_not_ready()
        body = msgspec.json.encode({"ready": not reason, "reason": reason})
        self.reply(body, 503 if reason else 200)


class MinutesHandler(JsonHandler):
    """``GET /v1/minutes``: minute records for the burn report."""

    def get(self):
        self.reply(encode_kept(self.host.recorder, now=time.time()))


class UnknownHandler(JsonHandler):
    """Any other path."""

    def prepare(self):
        """Refuses every method alike."""
        self.write_error(404)


def make_application(host):
    """Returns the tornado application of an entry host."""
    arguments = {"host": host}
    return Application(
        [
            ("/v1/query", QueryHandler, arguments),
            ("/v1/upstreams", UpstreamsHandler, arguments),
            ("/v1/minutes", MinutesHandler, arguments),
            ("/livez", LiveHandler, arguments),
            ("/readyz", ReadyHandler, arguments),
        ],
        default_handler_class=UnknownHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


async def close_idle_connections(server):
    """Closes the connections on which no request runs."""
    try:
        await asyncio.wait_for(server.close_all_connections(), timeout=1.0)
    except (TimeoutError, StreamClosedError):
        logger.warning("connections did not close")
