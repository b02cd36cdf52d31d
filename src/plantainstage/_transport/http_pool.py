"""Kept-alive HTTP/1.1 connections to searchers.

One exchange at a time runs on a connection. tornado's simple client opens a
connection for each request, which costs 6 ms at the rider desk; its connection
class allows keeping them.
"""

import asyncio
from dataclasses import dataclass

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from plantainstage._errors import ExchangeError

MAX_BODY_BYTES = 16 * 1024 * 1024
_PARAMETERS = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """Status code and body of a reply."""

    status: int
    body: bytes


class _ReplyDelegate(httputil.HTTPMessageDelegate):
    def __init__(self):
        self.status = 0
        self.chunks = []
        self.finished = False

    def headers_received(self, start_line, headers):
        self.status = start_line.code

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        self.finished = True


class HttpConnection:
    """One kept-alive connection to ``address`` (``IP:port``)."""

    def __init__(self, *, address: str, stream):
        self.address = address
        self.stream = stream
        self.host_header = {"Host": address, "Content-Type": "application/json"}

    @classmethod
    async def open(cls, *, address, timeout_s):
        """Connects; raises ExchangeError with nothing sent."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                stream = await TCPClient().connect(host, int(port))
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise ExchangeError(
                address=address, reason="connection_refused", bytes_sent=False
            ) from error
        stream.set_nodelay(True)
        return cls(address=address, stream=stream)

    @property
    def closed(self):
        """Whether the connection can no longer be used."""
        return self.stream.closed()

    def close(self):
        """Closes the connection; an exchange on it fails."""
        self.stream.close()

    async def post(self, *, path, body):
        """Sends one request and returns its HttpReply.

        Raises ExchangeError; ``bytes_sent`` is false only when the connection
        was known to be closed before the first byte.
        """
        if self.closed:
            raise ExchangeError(
                address=self.address, reason="connection_closed", bytes_sent=False
            )
        exchange = HTTP1Connection(self.stream, True, _PARAMETERS)
        delegate = _ReplyDelegate()
        headers = httputil.HTTPHeaders(self.host_header)
        headers["Content-Length"] = str(len(body))
        try:
            start_line = httputil.RequestStartLine("POST", path, "HTTP/1.1")
            written = exchange.write_headers(start_line, headers, body)
            exchange.finish()
            await exchange.read_response(delegate)
            await written
        except (StreamClosedError, OSError, httputil.HTTPInputError) as error:
            raise ExchangeError(
                address=self.address, reason="reset", bytes_sent=True
            ) from error
        if not delegate.finished:
            raise ExchangeError(address=self.address, reason="reset", bytes_sent=True)
        return HttpReply(status=delegate.status, body=b"".join(delegate.chunks))
