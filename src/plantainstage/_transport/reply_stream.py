"""The byte stream below tornado's connection class, on an asyncio transport.

tornado's own stream costs two futures, a task switch, an extra ``recv`` and three
``setsockopt`` calls for each exchange. This stream has those of its methods that
``HTTP1Connection`` uses, and the reading coroutine is run directly from the event
loop's read event.
"""

import asyncio
import re
import types
from collections.abc import Callable

from tornado.iostream import StreamClosedError

RECEIVE_BUFFER_BYTES = 64 * 1024
# Yielded by a read that waits for bytes; ``asyncio.sleep(0)`` yields None.
WAITING = object()
# All streams share this buffer: it is filled and copied within one read event.
_receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class ReplyStream(asyncio.BufferedProtocol):
    """A byte stream to and from one searcher.

    ``on_bytes`` is called after bytes have arrived, ``on_closed`` once when the
    stream has closed. A read that waits yields ``WAITING``; the runner of the reading
    coroutine has to resume it after either call.
    """

    max_buffer_size = RECEIVE_BUFFER_BYTES

    def __init__(self):
        self.on_bytes: Callable | None = None
        self.on_closed: Callable | None = None
        self.transport = None
        self.buffer = b""
        self.ended = False
        self.ended_by_peer = False  # by an end of file instead of a reset

    # ---- Events of the transport ---------------------------------------------

    def connection_made(self, transport):
        """Stores the transport, on which asyncio has set TCP_NODELAY."""
        self.transport = transport

    def get_buffer(self, sizehint):
        """Returns the buffer for the next bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes):
        """Stores bytes that have arrived and calls ``on_bytes``."""
        data = bytes(_receive_buffer[:nbytes])
        self.buffer = self.buffer + data if self.buffer else data
        self.on_bytes()

    def eof_received(self):
        """Treats an end of file as the end of the stream in both directions."""
        self.ended = True
        self.ended_by_peer = True

    def connection_lost(self, exc):
        """Calls ``on_closed``, whichever side closed the stream."""
        self.ended = True
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    # ---- Methods of tornado's stream -----------------------------------------

    def closed(self):
        """Whether nothing more can be sent or received."""
        return self.ended or self.transport.is_closing()

    def close(self):
        """Closes at once; bytes that have not been sent are dropped."""
        self.ended = True
        self.transport.abort()

    def write(self, data):
        """Sends bytes; raises StreamClosedError."""
        if self.closed():
            raise StreamClosedError
        self.transport.write(data)

    def set_close_callback(self, callback):
        """Does nothing: ``on_closed`` applies during and between exchanges."""

    def set_nodelay(self, value):
        """Does nothing: the option stays set as long as the stream is open."""

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
        """Waits for ``num_bytes`` bytes, or with ``partial`` for at least one."""
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
        """Stops reading until ``resume``, which bounds unrequested bytes."""
        if not self.closed():
            self.transport.pause_reading()

    def resume(self):
        """Continues to read after ``pause``."""
        if not self.closed():
            self.transport.resume_reading()
