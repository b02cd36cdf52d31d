"""One kept-alive HTTP/1.1 connection to a searcher, over tornado's classes.

tornado's simple client opens a connection for each request, which costs 6 ms at
the rider desk. Its connection class serves one exchange and leaves the stream
open, so that a new one over the same stream serves the next exchange.
"""

import asyncio
import socket
from collections.abc import Callable

import msgspec
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from plantainstage._errors import ExchangeError, check_invariant

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEAD_BYTES, max_body_size=MAX_BODY_BYTES
)


class HttpReply(msgspec.Struct, frozen=True, kw_only=True):
    """Status code and body of a reply."""

    status: int
    body: bytes


class _ReplyReader(httputil.HTTPMessageDelegate):
    """Collects one reply; ``on_first_byte`` is called with its head."""

    def __init__(self, on_first_byte):
        self.on_first_byte = on_first_byte
        self.status = 0
        self.keep_alive = True
        self.chunks = []

    def headers_received(self, start_line, headers):
        self.status = start_line.code
        requested = headers.get("Connection", "").lower()
        if start_line.version == "HTTP/1.1":
            self.keep_alive = requested != "close"
        else:
            self.keep_alive = requested == "keep-alive"
        if self.on_first_byte is not None:
            self.on_first_byte()

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def reply(self):
        """Returns the HttpReply, once the message is complete."""
        return HttpReply(status=self.status, body=b"".join(self.chunks))


class HttpConnection:
    """A connection to ``address`` (``IP:port``); ``on_closed`` is told of its end.

    Every exchange ends with exactly one call of its ``on_done``, with an
    HttpReply or an ExchangeError.
    """

    def __init__(self, *, address: str, stream, on_closed: Callable | None = None):
        self.address = address
        self.stream = stream
        self.on_closed = on_closed
        self.ended = False
        self.close_reason = "reset"
        self.on_done = None
        self.reading = None
        stream.set_nodelay(True)
        stream.set_close_callback(self._stream_closed)

    @classmethod
    async def open(cls, *, address, timeout_s, on_closed=None):
        """Connects; raises ExchangeError with nothing sent.

        The address is numeric, so that no resolver and no thread is needed.
        """
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((host, int(port)))
        except (OSError, TimeoutError, StreamClosedError) as error:
            stream.close()
            raise ExchangeError(
                address=address, reason="connection_refused", bytes_sent=False
            ) from error
        except BaseException:
            stream.close()
            raise
        return cls(address=address, stream=stream, on_closed=on_closed)

    @property
    def closed(self):
        """Whether no further exchange can be started."""
        return self.ended or self.stream.closed()

    @property
    def busy(self):
        """Whether an exchange is running."""
        return self.on_done is not None

    def close(self, reason="closed"):
        """Closes at once; a running exchange ends with this reason."""
        if not self.ended:
            self.close_reason = reason
            self.ended = True
            self.stream.close()
            self._finish_exchange(self._error(reason, bytes_sent=True))

    def start_exchange(
        self,
        *,
        path: bytes,
        body: bytes,
        on_done: Callable,
        on_first_byte: Callable | None = None,
    ):
        """Sends one request; ``on_done`` gets the outcome, never before return.

        ``on_first_byte`` is called when the head of the reply arrives.
        """
        check_invariant(
            self.on_done is None,
            invariant="one exchange at a time on a connection",
            detail=self.address,
        )
        loop = asyncio.get_running_loop()
        if self.closed:
            error = self._error("connection_closed", bytes_sent=False)
            loop.call_soon(on_done, error)
            return
        self.on_done = on_done
        exchange = HTTP1Connection(self.stream, True, _PARAMETERS)
        try:
            exchange.write_headers(
                httputil.RequestStartLine("POST", path.decode(), "HTTP/1.1"),
                self._headers(body),
                body,
            )
            exchange.finish()
        except StreamClosedError:
            # The first byte of the request may have been written.
            self.reading = loop.create_task(self._fail("reset"))
            return
        reader = _ReplyReader(on_first_byte)
        self.reading = loop.create_task(self._read_reply(exchange, reader))

    async def post(self, *, path, body):
        """Sends one request and returns its HttpReply; raises ExchangeError."""
        future = asyncio.get_running_loop().create_future()

        def done(outcome):
            if not future.done():
                future.set_result(outcome)

        self.start_exchange(path=path.encode(), body=body, on_done=done)
        outcome = await future
        if isinstance(outcome, ExchangeError):
            raise outcome
        return outcome

    def _headers(self, body):
        return httputil.HTTPHeaders(
            {
                "Host": self.address,
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            }
        )

    async def _read_reply(self, exchange, reader):
        try:
            complete = await exchange.read_response(reader)
        except StreamClosedError:
            await self._fail(self.close_reason)
            return
        if not complete:
            # tornado logs what is wrong with the bytes and closes the stream.
            await self._fail("invalid_reply")
            return
        if reader.keep_alive:
            # The connection class has taken the callback for its own use.
            self.stream.set_close_callback(self._stream_closed)
        else:
            self.ended = True
            self.stream.close()
        self._finish_exchange(reader.reply())
        if not reader.keep_alive:
            self._tell_closed()

    async def _fail(self, reason):
        self.ended = True
        self.stream.close()
        self._finish_exchange(self._error(reason, bytes_sent=True))
        self._tell_closed()

    def _stream_closed(self):
        """Is called when the searcher closes the connection between exchanges."""
        self.ended = True
        if self.on_done is None:
            self._tell_closed()

    def _tell_closed(self):
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed(self)

    def _finish_exchange(self, outcome):
        done, self.on_done = self.on_done, None
        if done is not None:
            done(outcome)

    def _error(self, reason, *, bytes_sent):
        return ExchangeError(address=self.address, reason=reason, bytes_sent=bytes_sent)
