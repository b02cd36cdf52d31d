"""The byte stream below tornado's connection class, on an asyncio transport.

tornado's own stream makes two futures, a task switch, an extra ``recv`` and
three ``setsockopt`` calls for each exchange. This one offers the methods of it
that ``HTTP1Connection`` uses, and lets the reading coroutine run straight from
the event loop's read event.
"""

import asyncio
import re
import types
from collections.abc import Callable

from tornado.iostream import StreamClosedError

RECEIVE_BUFFER_BYTES = 64 * 1024
# What a read yields while it waits; ``asyncio.sleep(0)`` yields None.
WAITING = object()
# Filled and copied from within one read event, so that all streams share it.
_receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class ReplyStream(asyncio.BufferedProtocol):
    """Bytes from one searcher.

    ``on_bytes`` is called after bytes have arrived, ``on_closed`` once when the
    stream has closed. A read that waits yields ``WAITING``; whoever runs the
    reading coroutine resumes it after either call.
    """

    max_buffer_size = RECEIVE_BUFFER_BYTES

    def __init__(self):
        self.on_bytes: Callable | None = None
        self.on_closed: Callable | None = None
        self.transport = None
        self.buffer = b""
        self.ended = False
        self.ended_by_peer = False  # by an end of file, not by a reset

    # ---- Events of the transport ---------------------------------------------

    def connection_made(self, transport):
        """Takes the transport; asyncio has set TCP_NODELAY on it."""
        self.transport = transport

    def get_buffer(self, sizehint):
        """Returns where the next bytes go."""
        return _receive_buffer

    def buffer_updated(self, nbytes):
        """Keeps bytes that have arrived."""
        data = bytes(_receive_buffer[:nbytes])
        self.buffer = self.buffer + data if self.buffer else data
        self.on_bytes()

    def eof_received(self):
        """Counts an end of file as the end of the stream in both directions."""
        self.ended = True
        self.ended_by_peer = True

    def connection_lost(self, exc):
        """Tells that the stream has closed, whoever closed it."""
        self.ended = True
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    # ---- Methods of tornado's stream -----------------------------------------

    def closed(self):
        """Whether nothing more can be sent or received."""
        return self.ended or self.transport.is_closing()

    def close(self):
        """Closes at once; what has not been sent is dropped."""
        self.ended = True
        self.transport.abort()

    def write(self, data):
        """Sends bytes; raises StreamClosedError."""
        if self.closed():
            raise StreamClosedError
        self.transport.write(data)

    def set_close_callback(self, callback):
        """Does nothing: ``on_closed`` stays in force between and in exchanges."""

    def set_nodelay(self, value):
        """Does nothing: the option stays set for the life of the stream."""

    @types.coroutine
    def read_until_regex(self, regex, max_bytes=None):
        """Waits for a match and returns the bytes up to its end."""
        pattern = re.compile(regex)
        while (match := pattern.search(self.buffer)) is None:
            yield from self._wait(max_bytes)
        if max_bytes is not None and match.end() > max_bytes:
            self.close()
            raise StreamClosedError
        return self._take(match.end())

    @types.coroutine
    def read_until(self, delimiter, max_bytes=None):
        """Waits for a delimiter and returns the bytes up to its end."""
        while (position := self.buffer.find(delimiter)) < 0:
            yield from self._wait(max_bytes)
        return self._take(position + len(delimiter))

    @types.coroutine
    def read_bytes(self, num_bytes, partial=False):
        """Waits for so many bytes; for any up to so many when ``partial``."""
        needed = 1 if partial else num_bytes
        while len(self.buffer) < needed:
            yield from self._wait(None)
        return self._take(num_bytes)

    # ---- Reading -------------------------------------------------------------

    def _wait(self, max_bytes):
        if max_bytes is not None and len(self.buffer) > max_bytes:
            self.close()
        if self.closed():
            raise StreamClosedError
        yield WAITING

    def _take(self, count):
        data = self.buffer[:count]
        self.buffer = self.buffer[count:]
        return data

    def pause(self):
        """Reads nothing more until ``resume``; bounds what nobody asked for."""
        if not self.closed():
            self.transport.pause_reading()

    def resume(self):
        """Reads again after ``pause``."""
        if not self.closed():
            self.transport.resume_reading()
