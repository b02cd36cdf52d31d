"""Connection pool of an entry host for one searcher."""

import asyncio

from plantainstage._errors import ExchangeError
from plantainstage._gateway.connection import SearcherConnection, SearcherReplyReader
from plantainstage._gateway.messages import CallFailure, FailureKind
from plantainstage._transport.buffer_memory import BufferMemory

# Opening a connection takes 6 ms plus a round trip between regions.
CONNECT_TIMEOUT_S = 0.3
# Expected time to open a connection before any was opened, and the weight of each
# measurement.
INITIAL_CONNECT_S = 0.006
CONNECT_TIME_WEIGHT = 0.3
# How long a connection beyond those that are kept may be idle. Requests often come in
# short succession, and a connection counts at its searcher until it is closed.
EXTRA_IDLE_S = 0.8
# Of all replies that a host is receiving. Together with the largest request that is
# being received, a fraction of the memory of the smallest hosts.
MAX_REPLY_BYTES = 32 * 1024 * 1024


class SearcherPool:
    """Idle and busy connections to one start of a searcher, or to an entry host."""

    def __init__(self, *, address: str, names, memory: BufferMemory):
        self.address = address
        self.names = names
        self.memory = memory  # shared by all pools of a host
        self.idle = []  # most recently used last
        self.count = 0  # open connections and those being opened
        self.opening = 0
        self.open_s = INITIAL_CONNECT_S  # average time to open a connection
        self.kept = 1  # idle connections that are kept until they expire
        self.retired = False

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_connected(self):
        """Whether a connection to the searcher is open."""
        return self.count > self.opening

    def has_room(self, cap, now):
        """Whether a request can be sent without exceeding ``cap`` connections."""
        return self.count < cap or self._has_idle(now)

    def connect_s(self, now):
        """Returns the expected time until a request can be sent."""
        return 0.0 if self._has_idle(now) else self.open_s

    def _has_idle(self, now):
        return any(self._usable(c, now) for c in self.idle)

    def _usable(self, connection, now):
        return connection.reusable and now < connection.usable_until

    # ---- Commands -----------------------------------------------------------------

    def take_idle(self, now):
        """Returns an idle connection that can be reused, or None."""
        while self.idle:
            connection = self.idle.pop()
            if self._usable(connection, now):
                return connection
            self.discard(connection)
        return None

    async def open(self):
        """Returns a new connection, or None if it is refused or times out."""
        try:
            return await self._connect()
        except ExchangeError:
            return None

    async def probe(self) -> str | None:
        """Opens a connection; returns why that failed, or None if it is open now."""
        try:
            self.put_back(await self._connect(), None)
        except ExchangeError as error:
            return error.reason
        return None

    async def replies_to(self, request_line: str, *, timeout_s: float) -> bool:
        """Whether a request without a body gets any reply on a new connection."""
        connection = await self.open()
        if connection is None:
            return False
        request = f"{request_line} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        outcomes = asyncio.Queue()
        self.exchange(
            connection, request=request, request_id="", on_done=outcomes.put_nowait
        )
        try:
            async with asyncio.timeout(timeout_s):
                return not isinstance(await outcomes.get(), CallFailure)
        except TimeoutError:
            self.discard(connection)
            return False

    async def _connect(self):
        self.count += 1
        self.opening += 1
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            connection = await SearcherConnection.open(
                address=self.address,
                timeout_s=CONNECT_TIMEOUT_S,
                on_closed=self._closed,
            )
        except (ExchangeError, asyncio.CancelledError):
            self.count -= 1
            raise
        finally:
            self.opening -= 1
        elapsed_s = loop.time() - began_at
        self.open_s += CONNECT_TIME_WEIGHT * (elapsed_s - self.open_s)
        return connection

    def exchange(self, connection, *, request, request_id, on_done):
        """Sends a request; ``on_done`` gets a SearcherReply or a CallFailure."""
        reader = SearcherReplyReader(
            names=self.names, request_id=request_id, memory=self.memory
        )

        def done(outcome):
            reader.release_memory()
            if isinstance(outcome, ExchangeError):
                sent = outcome.bytes_sent
                kind = FailureKind.BROKEN if sent else FailureKind.UNREACHABLE
                on_done(CallFailure(kind=kind, reason=outcome.reason))
                return
            self.put_back(connection, reader)
            on_done(outcome)

        connection.send_request(request=request, reader=reader, on_done=done)

    def put_back(self, connection, reader):
        """Returns a connection to the pool after a complete reply, if reusable."""
        if self.retired or (reader is not None and reader.mismatched_replies):
            self.discard(connection)
            return
        if connection.closed:
            return
        if reader is not None:
            now = asyncio.get_running_loop().time()
            connection.usable_until = now + reader.idle_limit_s()
        self.idle.append(connection)
        if len(self.idle) > self.kept:
            self._expire_early(connection)

    def _expire_early(self, connection):
        loop = asyncio.get_running_loop()
        extra_until = loop.time() + EXTRA_IDLE_S
        if extra_until < connection.usable_until:
            connection.usable_until = extra_until
            loop.call_later(EXTRA_IDLE_S, self._close_expired, connection)

    def _close_expired(self, connection):
        """Closes a connection unless it has been used since it was to expire."""
        now = asyncio.get_running_loop().time()
        if connection in self.idle and not self._usable(connection, now):
            self.idle.remove(connection)
            connection.close()

    def discard(self, connection):
        """Closes a connection."""
        connection.close()

    def retire(self):
        """Closes idle connections now, and busy ones after their reply."""
        self.retired = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def _closed(self, connection):
        self.count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
