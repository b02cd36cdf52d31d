"""A persistent HTTP/1.1 connection to a searcher, on tornado's classes.

tornado's simple client opens a connection for each request, which takes 6 ms with
searchers of the service rider-desk. Its connection class formats requests and reads
replies; one instance reads all replies of a connection, one after the other.
"""

import asyncio
import socket
from collections.abc import Callable
from functools import lru_cache

import msgspec
from loguru import logger
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError

from plantainstage._errors import ExchangeError, check_invariant
from plantainstage._transport.reply_headers import ReplyConnection
from plantainstage._transport.reply_stream import WAITING, ReplyStream

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEAD_BYTES, max_body_size=MAX_BODY_BYTES
)
# Request heads differ by searcher, path and body length; each takes 200 bytes.
MAX_CACHED_HEADS = 4096
BODILESS_STATUSES = frozenset({204, 304})
MAX_MISMATCHED_REPLIES = 4  # in one exchange; after more the connection is closed


class HttpReply(msgspec.Struct, frozen=True, kw_only=True):
    """A reply: status code and body."""

    status: int
    body: bytes


class ReplyReader(httputil.HTTPMessageDelegate):
    """Collects one reply; ``on_first_byte`` is called when its head has arrived."""

    def __init__(self, on_first_byte):
        self.on_first_byte = on_first_byte
        self.status = 0
        self.keep_alive = True
        self.chunks = []
        self.close_delimited = False  # the body ends with the connection
        self.mismatched_replies = 0

    def headers_received(self, start_line, headers):
        self.chunks = []
        self.status = start_line.code
        requested = ""
        if "Connection" in headers:
            requested = headers["Connection"].lower()
        if start_line.version == "HTTP/1.1":
            self.keep_alive = requested != "close"
        else:
            self.keep_alive = requested == "keep-alive"
        framed = "Transfer-Encoding" in headers or "Content-Length" in headers
        self.close_delimited = not framed and self.status not in BODILESS_STATUSES
        if self.on_first_byte is not None:
            self.on_first_byte()

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def count_mismatched(self):
        """Counts a reply to another request, which is dropped."""
        self.mismatched_replies += 1

    def is_mismatched(self):
        """Whether the reply belongs to another request than the current one."""
        return False

    def reply(self):
        """Returns the HttpReply; call it when the message is complete."""
        return HttpReply(status=self.status, body=b"".join(self.chunks))


class _HeadRecorder:
    """A stream that records the request head that tornado writes."""

    def __init__(self):
        self.head = b""

    def closed(self):
        return False

    def set_close_callback(self, callback):
        """Does nothing, since a recorder is never closed."""

    def write(self, data):
        self.head = data
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written


@lru_cache(maxsize=MAX_CACHED_HEADS)
def _request_head(address, path, length):
    """Returns the head of a request as tornado formats it.

    Formatting takes 25 microseconds, a sixth of a sub-request's CPU target, and the
    same heads recur, so that they are cached.
    """
    recorder = _HeadRecorder()
    HTTP1Connection(recorder, True, _PARAMETERS).write_headers(
        httputil.RequestStartLine("POST", path.decode(), "HTTP/1.1"),
        httputil.HTTPHeaders(
            {
                "Host": address,
                "Content-Type": "application/json",
                "Content-Length": str(length),
            }
        ),
    )
    return recorder.head


def _reason_of(error):
    match error:
        case TimeoutError():
            return "connection_timed_out"
        case ConnectionRefusedError():
            return "connection_refused"
        case _:
            return "connection_failed"


class HttpConnection:
    """A connection to ``address`` (``IP:port``).

    ``on_closed`` is called with the connection when it has closed. Each exchange
    ends with exactly one call of its ``on_done``, with an HttpReply or an
    ExchangeError.
    """

    def __init__(self, *, address: str, stream, on_closed: Callable | None = None):
        self.address = address
        self.stream = stream
        self.on_closed = on_closed
        self.ended = False
        self.close_reason = "reset"
        self.on_done = None
        self.next_reader = None  # collects the reply to the current request
        self.read_coroutine = None  # reads a reply; None until bytes have arrived
        self.reader = None
        stream.on_bytes = self._step
        stream.on_closed = self._stream_closed
        self.reply_connection = ReplyConnection(stream, True, _PARAMETERS)
        # Requests are written to the stream directly. To tornado the request counts
        # as finished, so that replies may be read.
        self.reply_connection.finish()

    @classmethod
    async def open(cls, *, address, timeout_s, on_closed=None):
        """Connects; raises ExchangeError with ``bytes_sent`` false.

        The address is numeric, so that no resolver and no thread is needed.
        """
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, stream = await loop.create_connection(
                    ReplyStream, host, int(port), family=family
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise ExchangeError(
                address=address, reason=_reason_of(error), bytes_sent=False
            ) from error
        return cls(address=address, stream=stream, on_closed=on_closed)

    @property
    def closed(self):
        """Whether no further exchange can start."""
        return self.ended or self.stream.closed()

    @property
    def busy(self):
        """Whether an exchange is running."""
        return self.on_done is not None

    def close(self, reason="closed"):
        """Closes at once; a running exchange fails with this reason."""
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
        """Posts one request; ``on_done`` gets the outcome after this call returns.

        ``on_first_byte`` is called when the head of the reply has arrived.
        """
        head = _request_head(self.address, path, len(body))
        reader = ReplyReader(on_first_byte)
        self.send_request(request=head + body, reader=reader, on_done=on_done)

    def send_request(self, *, request: bytes, reader, on_done: Callable):
        """Sends a formatted request, whose reply ``reader`` collects.

        ``on_done`` is called with the result of ``reader.reply()`` or an
        ExchangeError. A reply for which ``reader.is_mismatched()`` holds is dropped
        and the next one is read.
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
        self.next_reader = reader
        # One write, so that a small request leaves as one packet.
        self.stream.write(request)
        if self.stream.buffer:
            # Bytes that arrived before the request are read as its reply.
            self.stream.resume()
            loop.call_soon(self._step)

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

    def _step(self):
        """Resumes reading after bytes have arrived or the stream has closed."""
        if self.read_coroutine is None:
            if self.on_done is None:
                self.stream.pause()
                return
            self.reader = self.next_reader
            self.read_coroutine = self.reply_connection.read_response(self.reader)
        try:
            if self.read_coroutine.send(None) is not WAITING:
                asyncio.get_running_loop().call_soon(self._step_if_reading)
            return
        except StopIteration as end:
            complete = end.value
        except StreamClosedError:
            complete = None
        except Exception:
            # The bytes of one searcher must not end more than its own exchange.
            logger.exception("reply could not be read", address=self.address)
            complete = False
        self.read_coroutine = None
        if complete is None:
            self._fail(self.close_reason)
        elif self.reader.close_delimited and not self.stream.ended_by_peer:
            # tornado accepts any end of the connection as the end of the body, but
            # the body is incomplete if the connection was reset.
            self._fail("truncated_reply")
        elif not complete:
            # tornado has logged what is invalid and has closed the stream.
            self._fail("invalid_reply")
        else:
            self._complete(self.reader)

    def _step_if_reading(self):
        """Resumes reading after tornado has yielded to other work between chunks."""
        if self.read_coroutine is not None:
            self._step()

    def _complete(self, reader):
        if not reader.keep_alive:
            self.ended = True
            self.stream.close()
        if reader.is_mismatched():
            self._read_next(reader)
            return
        self._finish_exchange(reader.reply())
        if self.ended:
            self._notify_closed()

    def _read_next(self, reader):
        """Reads the next reply after one that belongs to another request."""
        if self.ended or reader.mismatched_replies >= MAX_MISMATCHED_REPLIES:
            self._fail("invalid_reply")
            return
        reader.count_mismatched()
        self._step()

    def _fail(self, reason):
        self.ended = True
        self.stream.close()
        self._finish_exchange(self._error(reason, bytes_sent=True))
        self._notify_closed()

    def _stream_closed(self):
        """Ends a running exchange and notifies ``on_closed``."""
        self.ended = True
        if self.read_coroutine is not None:
            self._step()
        elif self.on_done is not None:
            self._fail(self.close_reason)
        else:
            self._notify_closed()

    def _notify_closed(self):
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed(self)

    def _finish_exchange(self, outcome):
        done, self.on_done = self.on_done, None
        if done is not None:
            done(outcome)

    def _error(self, reason, *, bytes_sent):
        return ExchangeError(address=self.address, reason=reason, bytes_sent=bytes_sent)
