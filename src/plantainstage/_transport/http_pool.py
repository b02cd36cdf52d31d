"""The connections that an entry host keeps to one searcher."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from plantainstage._errors import ExchangeError, check_invariant
from plantainstage._transport.http_connection import HttpConnection, HttpReply

__all__ = ["HttpConnection", "HttpReply", "SearcherPool"]

CONNECT_TIMEOUT_S = 1.0
# A searcher that refuses connections is not dialled ahead of need for so long.
REOPEN_PAUSE_S = 0.2
# The side connection may go silent like any other one.
SIDE_TIMEOUT_S = 1.0
# A cancellation that waits behind so many others would come too late.
MAX_SIDE_REQUESTS = 64


@dataclass(frozen=True, kw_only=True)
class _SideRequest:
    path: bytes
    body: bytes
    on_done: Callable


class SearcherPool:
    """Sockets to the searcher at ``address``, at most ``limit`` at any time.

    The owner queue numbers the connections for exchanges; the pool maps the
    numbers to sockets, some of which it opens ahead of need. One further
    connection, the side connection, carries cancellations and probes. An
    entry host uses at most half of a searcher's cap, so that a takeover fits
    beside connections that a dead owner left behind.

    ``on_lost`` gets the number of a connection that closed while idle.
    """

    def __init__(self, *, address: str, limit: int, on_lost: Callable):
        self.address = address
        self.limit = limit
        self.on_lost = on_lost
        self.connections_by_number = {}
        self.numbers_by_connection = {}
        self.unassigned = []
        self.opening = set()
        self.waiters = deque()
        self.side = None
        self.side_opening = None
        self.side_requests = deque()
        self.closing = False
        self.refused_until = 0.0

    @property
    def connection_count(self):
        """All connections that are open or under way."""
        side = self.side is not None or self.side_opening is not None
        return (
            len(self.connections_by_number)
            + len(self.unassigned)
            + len(self.opening)
            + side
        )

    # ---- Connections for exchanges -------------------------------------------

    def assign(self, number, on_ready: Callable):
        """Calls ``on_ready`` with the connection of a new number, or an error."""
        while self.unassigned:
            connection = self.unassigned.pop()
            if not connection.closed:
                self._assign_number(connection, number)
                on_ready(connection)
                return
        self.waiters.append((number, on_ready))
        if len(self.opening) < len(self.waiters):
            self.opening.add(asyncio.create_task(self._open()))

    def connection(self, number):
        """Returns the connection of a number, or None when it is gone."""
        return self.connections_by_number.get(number)

    def close_connection(self, number, reason="closed"):
        """Closes one connection; an exchange on it ends with ``reason``."""
        connection = self.connections_by_number.pop(number, None)
        if connection is not None:
            self.numbers_by_connection.pop(connection, None)
            connection.close(reason)

    def warm(self, count, now):
        """Opens connections ahead of need, ``count`` in all or up to the limit."""
        if self.closing or now < self.refused_until:
            return
        exchanges = (
            len(self.connections_by_number) + len(self.unassigned) + len(self.opening)
        )
        while exchanges < min(count, self.limit - 1):
            self.opening.add(asyncio.create_task(self._open()))
            exchanges += 1

    async def _open(self):
        try:
            connection = await HttpConnection.open(
                address=self.address,
                timeout_s=CONNECT_TIMEOUT_S,
                on_closed=self._on_closed,
            )
        except ExchangeError as error:
            self.opening.discard(asyncio.current_task())
            loop = asyncio.get_running_loop()
            self.refused_until = loop.time() + REOPEN_PAUSE_S
            # Every waiter waits for this same address.
            waiters, self.waiters = self.waiters, deque()
            for _, on_ready in waiters:
                on_ready(error)
            return
        finally:
            self.opening.discard(asyncio.current_task())
        check_invariant(
            self.connection_count < self.limit,
            invariant="connections of an owner within half of the searcher's cap",
            detail=f"{self.address}: {self.connection_count + 1} of {self.limit}",
        )
        if self.waiters:
            number, on_ready = self.waiters.popleft()
            self._assign_number(connection, number)
            on_ready(connection)
        elif self.closing:
            connection.close()
        else:
            self.unassigned.append(connection)

    def _assign_number(self, connection, number):
        self.connections_by_number[number] = connection
        self.numbers_by_connection[connection] = number

    def _on_closed(self, connection):
        number = self.numbers_by_connection.pop(connection, None)
        if number is not None:
            self.connections_by_number.pop(number, None)
            self.on_lost(number)
        elif connection in self.unassigned:
            self.unassigned.remove(connection)
        elif connection is self.side:
            self.side = None

    # ---- The side connection -------------------------------------------------

    def side_request(self, *, path, body, on_done, reconnect=False):
        """Sends a request on the side connection, after those before it.

        ``reconnect`` opens the connection anew, since an old one may be silent.
        """
        if reconnect and self.side is not None:
            self.side.close()
            self.side = None
        if len(self.side_requests) >= MAX_SIDE_REQUESTS:
            error = ExchangeError(
                address=self.address, reason="side_queue_full", bytes_sent=False
            )
            on_done(error)
            return
        request = _SideRequest(path=path, body=body, on_done=on_done)
        self.side_requests.append(request)
        self._next_side_request()

    def _next_side_request(self):
        if not self.side_requests:
            return
        if self.side is None or self.side.closed:
            if self.side_opening is None:
                self.side_opening = asyncio.create_task(self._open_side())
            return
        if self.side.busy:
            return
        request = self.side_requests.popleft()

        limit = asyncio.get_running_loop().call_later(
            SIDE_TIMEOUT_S, self.side.close, "side_timeout"
        )

        def done(outcome):
            limit.cancel()
            request.on_done(outcome)
            self._next_side_request()

        self.side.start_exchange(path=request.path, body=request.body, on_done=done)

    async def _open_side(self):
        try:
            self.side = await HttpConnection.open(
                address=self.address,
                timeout_s=CONNECT_TIMEOUT_S,
                on_closed=self._on_closed,
            )
        except ExchangeError as error:
            requests, self.side_requests = self.side_requests, deque()
            for request in requests:
                request.on_done(error)
        finally:
            self.side_opening = None
        self._next_side_request()

    # ---- The end -------------------------------------------------------------

    def close(self):
        """Closes what is not in use; numbered connections are closed singly."""
        self.closing = True
        for connection in self.unassigned:
            connection.close()
        self.unassigned.clear()

    def abort(self):
        """Closes all connections, including those in use."""
        self.close()
        for task in tuple(self.opening):
            task.cancel()
        if self.side_opening is not None:
            self.side_opening.cancel()
        for number in tuple(self.connections_by_number):
            self.close_connection(number, "aborted")
        if self.side is not None:
            self.side.close()
