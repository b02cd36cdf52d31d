"""Limits the bodies that an HTTP server buffers, each one and all together."""

from collections.abc import Callable
from dataclasses import dataclass

from tornado import httputil

from plantainstage._transport.buffer_memory import BufferMemory


@dataclass(frozen=True, kw_only=True)
class BodyLimit:
    """The longest body of one kind of request, and the memory for all of that kind."""

    longest_bytes: int
    memory: BufferMemory


class BoundedBodies(httputil.HTTPServerConnectionDelegate):
    """Passes requests on to ``application`` as long as their bodies fit.

    ``limit_of(path)`` returns the BodyLimit of a request. tornado refuses a body that
    is too long; one for which there is no memory gets 503, and ``on_refused(path)`` is
    called.
    """

    def __init__(
        self,
        *,
        application: httputil.HTTPServerConnectionDelegate,
        limit_of: Callable[[str], BodyLimit],
        on_refused: Callable[[str], None],
    ):
        self.application = application
        self.limit_of = limit_of
        self.on_refused = on_refused

    def start_request(self, server_conn, request_conn):
        """Returns the delegate for the next request of a connection."""
        inner = self.application.start_request(server_conn, request_conn)
        return _BoundedRequest(bodies=self, inner=inner, connection=request_conn)

    def on_close(self, server_conn):
        """Notifies the application of a closed connection."""
        self.application.on_close(server_conn)


class _BoundedRequest(httputil.HTTPMessageDelegate):
    """One request; ``inner`` is None once it was refused."""

    def __init__(self, *, bodies, inner, connection):
        self.bodies = bodies
        self.inner = inner
        self.connection = connection
        self.path = ""
        self.limit = None
        self.taken_bytes = 0

    def headers_received(self, start_line, headers):
        self.path, _, _ = start_line.path.partition("?")
        self.limit = self.bodies.limit_of(self.path)
        self.connection.set_max_body_size(self.limit.longest_bytes)
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk):
        if self.inner is None:
            return None
        if not self.limit.memory.take(len(chunk)):
            self._refuse()
            return None
        self.taken_bytes += len(chunk)
        return self.inner.data_received(chunk)

    def finish(self):
        self._release()
        if self.inner is not None:
            self.inner.finish()

    def on_connection_close(self):
        self._release()
        if self.inner is not None:
            self.inner.on_connection_close()

    def _release(self):
        if self.taken_bytes:
            self.limit.memory.release(self.taken_bytes)
            self.taken_bytes = 0

    def _refuse(self):
        """Answers at once; tornado closes the connection, which has bytes to read."""
        self._release()
        self.inner.on_connection_close()
        self.inner = None
        self.bodies.on_refused(self.path)
        line = httputil.ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
        headers = httputil.HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        self.connection.write_headers(line, headers)
        self.connection.finish()
