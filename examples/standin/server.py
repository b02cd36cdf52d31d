"""HTTP server of a stand-in searcher: the upstream protocol, and announcements."""

import asyncio
import contextlib
import itertools
import time

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from plantainstage.messages import upstreams
from standin.searcher import SearcherCrashed

ANNOUNCE_INTERVAL_S = 1.0
# A draining searcher stops when no sub-request has arrived for DRAIN_QUIET_S, and
# after DRAIN_LIMIT_S in any case; entry hosts may send it new work for up to 3 s.
DRAIN_QUIET_S = 1.0
DRAIN_LIMIT_S = 5.0
DRAIN_POLL_S = 0.05
_search_decoder = msgspec.json.Decoder(upstreams.SearchBody)
_status_decoder = msgspec.json.Decoder(upstreams.StatusBody)
_cancel_decoder = msgspec.json.Decoder(upstreams.CancelBody)


class CountingServer(HTTPServer):
    """An HTTP server that tracks its open connections."""

    def initialize(self, *args, **kwargs):
        self.streams = set()
        self.on_connection = None
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream, address):
        self.streams = {item for item in self.streams if not item.closed()}
        self.streams.add(stream)
        self.on_connection(len(self.streams))
        super().handle_stream(stream, address)

    @property
    def open_streams(self):
        """The open connections."""
        return [item for item in self.streams if not item.closed()]


class SearcherHandler(RequestHandler):
    """Base class of the handlers of the upstream protocol."""

    def initialize(self, service):
        self.service = service
        self.connection_closed = asyncio.Event()

    def on_connection_close(self):
        self.connection_closed.set()

    async def simulate_connection(self):
        """Applies the simulated state of the connection.

        Waits until a silent connection is closed and returns false for it: no reply
        is sent on it.
        """
        stream = self.request.connection.stream
        if stream in self.service.silent_streams:
            self.service.searcher.counters.silenced += 1
            await self.connection_closed.wait()
            return False
        if stream not in self.service.used_streams:
            # The time to open a connection is added to its first request.
            self.service.used_streams.add(stream)
            await asyncio.sleep(self.service.searcher.placement.connect_ms / 1000)
        return True

    def reply(self, status, body):
        """Sends the reply, unless the connection is closed or silent."""
        if self.request.connection.stream in self.service.silent_streams:
            return
        self.set_status(status, reason="Reply")
        self.set_header("Content-Type", "application/json")
        with contextlib.suppress(StreamClosedError):
            self.finish(msgspec.json.encode(body))


class SearchHandler(SearcherHandler):
    """``POST /v1/search``."""

    async def post(self):
        if not await self.simulate_connection():
            return
        try:
            body = _search_decoder.decode(self.request.body)
        except msgspec.MsgspecError as error:
            self.reply(400, upstreams.SearchRefusal(error=str(error)))
            return
        try:
            reply = await self.service.searcher.search(body)
        except SearcherCrashed:
            self.service.crash()
            return
        if self.request.connection.stream in self.service.silent_streams:
            await self.connection_closed.wait()
            return
        answer = reply.body
        if isinstance(answer, upstreams.SearchRefusal):
            answer = msgspec.structs.replace(answer, sub_request_id=body.sub_request_id)
        self.reply(reply.status, answer)


class CancelHandler(SearcherHandler):
    """``POST /v1/cancel``."""

    async def post(self):
        if not await self.simulate_connection():
            return
        body = _cancel_decoder.decode(self.request.body)
        cancelled = self.service.searcher.cancel(body.sub_request_id)
        self.reply(200, {"cancelled": cancelled})


class StatusHandler(SearcherHandler):
    """``POST /v1/status``."""

    async def post(self):
        if not await self.simulate_connection():
            return
        searcher = self.service.searcher
        if not searcher.behaviour.offer_status:
            self.reply(404, upstreams.SearchRefusal(error="not_found"))
            return
        body = _status_decoder.decode(self.request.body)
        running = searcher.still_running(body.sub_request_ids)
        self.reply(200, upstreams.StatusAnswer(running=running))


class SearcherService:
    """Serves the upstream protocol for one searcher and announces it."""

    def __init__(self, *, searcher, entries):
        self.searcher = searcher
        self.entries = itertools.cycle(entries)
        self.entry = next(self.entries)
        self.server = None
        self.silent_streams = set()
        self.used_streams = set()
        self.announce_requested = asyncio.Event()
        self.down_until = 0.0
        self.drain_started_at = 0.0

    def listen(self):
        """Starts to listen; raises OSError if it cannot bind the address."""
        host, _, port = self.searcher.address.rpartition(":")
        application = Application(
            [
                ("/v1/search", SearchHandler, {"service": self}),
                ("/v1/cancel", CancelHandler, {"service": self}),
                ("/v1/status", StatusHandler, {"service": self}),
            ],
            log_function=lambda handler: None,
        )
        self.server = CountingServer(application)
        self.server.on_connection = self._update_connections
        self.server.listen(int(port), address=host)

    def _update_connections(self, count):
        counters = self.searcher.counters
        counters.max_connections = max(counters.max_connections, count)
        self.silent_streams = {
            item for item in self.silent_streams if not item.closed()
        }
        self.used_streams = {item for item in self.used_streams if not item.closed()}

    def crash(self):
        """Closes all connections and stops listening for ``crash_ms``."""
        if self.server is None:
            return
        self.searcher.counters.crashes += 1
        self.down_until = time.monotonic() + self.searcher.behaviour.crash_ms / 1000
        self.server.stop()
        for stream in self.server.open_streams:
            stream.close()
        self.server = None

    def silence_connections(self, count=None):
        """Makes ``count`` open connections (all by default) permanently silent."""
        streams = self.server.open_streams if self.server is not None else []
        self.silent_streams.update(streams[:count])
        return len(streams[:count])

    def record(self):
        """Returns the searcher's record with the number of open connections."""
        streams = self.server.open_streams if self.server is not None else []
        return self.searcher.record(len(streams))

    async def run(self):
        """Announces every second and restarts after crashes, until cancelled."""
        client = AsyncHTTPClient(force_instance=True, max_clients=2)
        try:
            while True:
                self._restart_after_crash()
                if self.server is not None and self.searcher.behaviour.announce:
                    await self.announce(client)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ANNOUNCE_INTERVAL_S):
                        await self.announce_requested.wait()
                self.announce_requested.clear()
        finally:
            client.close()

    def _restart_after_crash(self):
        if self.server is None and time.monotonic() >= self.down_until:
            self.searcher.restart()
            self.listen()

    def drain(self):
        """Announces the state draining."""
        self.searcher.behaviour.state = "draining"
        self.drain_started_at = time.monotonic()
        self.request_announcement()

    async def wait_drained(self):
        """Waits until no work is left or arrives, or until DRAIN_LIMIT_S has passed."""
        searcher = self.searcher
        for _ in range(round(DRAIN_LIMIT_S / DRAIN_POLL_S)):
            now = time.monotonic()
            quiet_since = max(searcher.counters.last_received, self.drain_started_at)
            if not searcher.running and now - quiet_since > DRAIN_QUIET_S:
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def request_announcement(self):
        """Makes the next announcement due immediately."""
        self.announce_requested.set()

    async def announce(self, client):
        """Announces once; after a failure, the next one goes to another entry host."""
        body = msgspec.json.encode(self.searcher.announcement())
        try:
            reply = await client.fetch(
                f"http://{self.entry}/v1/upstreams",
                method="POST",
                body=body,
                raise_error=False,
                request_timeout=ANNOUNCE_INTERVAL_S * 2,
            )
        except (OSError, HTTPError):
            self.entry = next(self.entries)
            return
        if reply.code != 200:
            self.entry = next(self.entries)
