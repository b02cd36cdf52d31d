"""HTTP handlers for queries, announcements, health checks and minute records."""

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

# The part of a body above MAX_BODY_BYTES is read and discarded up to this size, so
# that its sender gets a refusal instead of a closed connection.
MAX_DROPPED_BYTES = 64 * 1024 * 1024
# The connection of a caller that has not sent its body within this time is closed.
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 3600.0


class JsonHandler(RequestHandler):
    """Base of all handlers: writes JSON replies and refusals."""

    def initialize(self, host):
        self.host = host

    def reply(self, body, status=200):
        """Finishes the request with an encoded JSON body."""
        self.set_status(status, reason=None if status < 499 else "Refused")
        self.set_header("Content-Type", "application/json")
        if self.host.draining:
            # Makes the caller send its next request to another entry host.
            self.set_header("Connection", "close")
        self.write(body)
        self.finish()

    def refuse(self, error):
        """Finishes the request with the refusal of a RefusalError."""
        refusal = encode_refusal(error, "")
        self.reply(refusal.body, refusal.status)

    def write_error(self, status_code, **kwargs):
        """Replies to requests that tornado rejects, such as an unsupported method."""
        error = internal_error()
        if status_code < 500:
            error = RefusalError(
                code="not_supported",
                message=f"{self.request.method} {self.request.path} is not supported.",
                remedy="See docs/callers.md for paths and methods.",
                http_status=status_code,
            )
        self.refuse(error)

    def log_exception(self, typ, value, tb):
        """Logs an exception that a handler did not catch."""
        logger.opt(exception=(typ, value, tb)).error("request failed")


@stream_request_body
class BodyHandler(JsonHandler):
    """Collects a request body up to MAX_BODY_BYTES."""

    def initialize(self, host):
        super().initialize(host)
        self.chunks = []
        self.received = 0

    def prepare(self):
        """Raises tornado's size limit, since the handler discards the excess."""
        self.request.connection.set_max_body_size(MAX_DROPPED_BYTES)

    def data_received(self, chunk):
        """Keeps a chunk of the body unless the limit is exceeded."""
        self.received += len(chunk)
        if self.received <= MAX_BODY_BYTES:
            self.chunks.append(chunk)

    def body(self):
        """Returns the whole body; raises RefusalError if it is too large."""
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
        """Cancels the query of a caller that has disconnected."""
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
    """``GET /livez``: the process responds."""

    def get(self):
        self.reply(b'{"live":true}')


class ReadyHandler(JsonHandler):
    """``GET /readyz``: whether the host accepts requests."""

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
        """Refuses every method with status 404."""
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
    """Closes the connections on which no request is in progress."""
    try:
        await asyncio.wait_for(server.close_all_connections(), timeout=1.0)
    except (TimeoutError, StreamClosedError):
        logger.warning("idle connections did not close within 1 s")
