"""The connections of an entry host to one searcher."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from plantainstage._errors import ExchangeError, check_invariant
from plantainstage._transport.http_connection import HttpConnection, HttpReply

__all__ = ["HttpConnection", "HttpReply", "SearcherPool"]

CONNECT_TIMEOUT_S = 1.0
# After a refused connection, none is opened ahead of need for this time.
REOPEN_PAUSE_S = 0.2
# The auxiliary connection may become silent, as any connection may.
AUXILIARY_TIMEOUT_S = 1.0
# A cancellation queued behind this many requests would arrive too late.
MAX_AUXILIARY_REQUESTS = 64


@dataclass(frozen=True, kw_only=True)
class _AuxiliaryRequest:
    path: bytes
    body: bytes
    on_done: Callable


class SearcherPool:
    """Connections to the searcher at ``address``, at most ``limit`` at any time.

    The owner queue numbers the connections for exchanges. The pool maps these
    numbers to connections and opens some connections ahead of need. A further
    connection, the auxiliary connection, carries cancellations and probes; its
    errors have the reasons ``side_timeout`` and ``side_queue_full``. An entry host
    uses at most half of a searcher's connection limit, so that the next owner can
    connect while connections of a dead owner are still open.

    ``on_lost`` is called with the number of a connection that has closed without
    ``close_connection``.
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
        self.auxiliary = None
        self.auxiliary_opening = None
        self.auxiliary_requests = deque()
        self.closing = False
        self.refused_until = 0.0

    @property
    def connection_count(self):
        """The number of connections that are open or being opened."""
        auxiliary = self.auxiliary is not None or self.auxiliary_opening is not None
        return (
            len(self.connections_by_number)
            + len(self.unassigned)
            + len(self.opening)
            + auxiliary
        )

    # ---- Connections for exchanges -------------------------------------------

    def assign(self, number, on_ready: Callable):
        """Assigns a connection to a new number.

        ``on_ready`` is called with the connection or with an ExchangeError.
        """
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
        """Returns the connection with a number, or None if it has closed."""
        return self.connections_by_number.get(number)

    def close_connection(self, number, reason="closed"):
        """Closes one connection; an exchange on it fails with ``reason``."""
        connection = self.connections_by_number.pop(number, None)
        if connection is not None:
            self.numbers_by_connection.pop(connection, None)
            connection.close(reason)

    def open_missing_connections(self, count, now):
        """Opens connections ahead of need, up to a total of ``count`` or the limit."""
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
            # The error applies to all waiters, since they wait for the same address.
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
        elif connection is self.auxiliary:
            self.auxiliary = None

    # ---- The auxiliary connection --------------------------------------------

    def send_auxiliary_request(self, *, path, body, on_done, reconnect=False):
        """Sends a request on the auxiliary connection, after those queued before it.

        ``reconnect`` opens a new connection first, since the old one may be silent.
        """
        if reconnect and self.auxiliary is not None:
            self.auxiliary.close()
            self.auxiliary = None
        if len(self.auxiliary_requests) >= MAX_AUXILIARY_REQUESTS:
            error = ExchangeError(
                address=self.address, reason="side_queue_full", bytes_sent=False
            )
            on_done(error)
            return
        request = _AuxiliaryRequest(path=path, body=body, on_done=on_done)
        self.auxiliary_requests.append(request)
        self._send_next_auxiliary_request()

    def _send_next_auxiliary_request(self):
        if not self.auxiliary_requests:
            return
        if self.auxiliary is None or self.auxiliary.closed:
            if self.auxiliary_opening is None:
                self.auxiliary_opening = asyncio.create_task(self._open_auxiliary())
            return
        if self.auxiliary.busy:
            return
        request = self.auxiliary_requests.popleft()

        limit = asyncio.get_running_loop().call_later(
            AUXILIARY_TIMEOUT_S, self.auxiliary.close, "side_timeout"
        )

        def done(outcome):
            limit.cancel()
            request.on_done(outcome)
            self._send_next_auxiliary_request()

        self.auxiliary.start_exchange(
            path=request.path, body=request.body, on_done=done
        )

    async def _open_auxiliary(self):
        try:
            self.auxiliary = await HttpConnection.open(
                address=self.address,
                timeout_s=CONNECT_TIMEOUT_S,
                on_closed=self._on_closed,
            )
        except ExchangeError as error:
            requests, self.auxiliary_requests = self.auxiliary_requests, deque()
            for request in requests:
                request.on_done(error)
        finally:
            self.auxiliary_opening = None
        self._send_next_auxiliary_request()

    # ---- Closing -------------------------------------------------------------

    def close(self):
        """Closes the unassigned connections; numbered ones are closed one by one."""
        self.closing = True
        for connection in self.unassigned:
            connection.close()
        self.unassigned.clear()

    def abort(self):
        """Closes all connections, including those in use."""
        self.close()
        for task in tuple(self.opening):
            task.cancel()
        if self.auxiliary_opening is not None:
            self.auxiliary_opening.cancel()
        for number in tuple(self.connections_by_number):
            self.close_connection(number, "aborted")
        if self.auxiliary is not None:
            self.auxiliary.close()
