"""Reads the heads of requests under the limits in force when each of them begins.

tornado takes the limits of a connection when it begins to wait for a request. Callers
keep connections open, so that versions of the configuration may come in between.
"""

import asyncio
from collections.abc import Callable

from plantainstage._serving.configuration import CallerLimits

# Callers may reuse a connection that was idle for almost the whole limit, and a head
# that was sent in time may arrive late.
LIMIT_MARGIN_S = 1.0


def _seconds(limit_ms):
    return max(0, limit_ms) / 1000 + LIMIT_MARGIN_S


class HeadReader:
    """Takes the place of ``read_until_regex`` of a caller's connection.

    ``limits()`` returns the limits in force. The wait for the first byte is bounded by
    the idle timeout, the rest of the head by its size and its own timeout; when a limit
    is exceeded, the connection is closed. ``idle`` is a set that has the reader while
    it waits for a request.
    """

    def __init__(self, *, stream, limits: Callable[[], CallerLimits], idle: set):
        self.stream = stream
        self.read_head = stream.read_until_regex
        self.limits = limits
        self.idle = idle
        self.loop = asyncio.get_running_loop()
        self.idle_since = 0.0
        self.close_at = 0.0
        self.timer = None

    async def read_until_regex(self, regex: bytes, max_bytes: int | None = None):
        """Returns the next head; ``max_bytes``, the limit known before, is not used."""
        first = await self._wait_for_request()
        limits = self.limits()
        timeout_s = _seconds(limits.head_timeout_ms)
        timer = self.loop.call_later(timeout_s, self.stream.close)
        try:
            return first + await self.read_head(regex, limits.head_bytes - len(first))
        finally:
            timer.cancel()

    def limits_changed(self):
        """Puts a changed idle timeout in force for the wait that has begun.

        A caller that has been idle for longer than a lowered one learns of it at the
        same time, so it may use the connection for as long again.
        """
        idle_s = _seconds(self.limits().idle_timeout_ms)
        once_more = min(self.close_at, self.loop.time() + idle_s)
        self._restart_timer(max(self.idle_since + idle_s, once_more))

    async def _wait_for_request(self):
        self.idle.add(self)
        self.idle_since = self.loop.time()
        self._restart_timer(self.idle_since + _seconds(self.limits().idle_timeout_ms))
        try:
            return await self.stream.read_bytes(1)
        finally:
            self.timer.cancel()
            self.idle.discard(self)

    def _restart_timer(self, close_at):
        if self.timer is not None:
            self.timer.cancel()
        self.close_at = close_at
        self.timer = self.loop.call_at(close_at, self.stream.close)
