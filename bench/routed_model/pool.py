"""Connections of one entry host to one modelled searcher."""

import asyncio
import re

from tornado import httputil

from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.messages import (
    CallFailure,
    FailureKind,
    LoadReport,
    SearcherReply,
)
from plantainstage._serving.decimals import StatedNumber

from .searchers import Job

NAMES = HeaderNames()
OPEN_TIMEOUT_S = 0.3
RECORD = b"r" * 16
ENDING_TARGET = b"/ends-searchers "
_DEADLINE = re.compile(rf"{NAMES.deadline}: (\d+)".encode())


class ModelConnection:
    """One connection; it carries one request at a time."""

    def __init__(self, pool):
        self.pool = pool
        self.job = None
        self.on_done = None  # of the request that it carries
        self.closed = False

    def close(self):
        """Closes the connection; the searcher aborts the request on it."""
        if self.closed:
            return
        self.closed = True
        self.pool.open_connections.pop(self, None)
        self.pool.count -= 1
        self.pool.model.connections -= 1
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        if self.job is not None:
            delay = self.pool.delay_s
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.pool.model.abort, self.job)


class ModelPool:
    """Replaces SearcherPool; ``delay_s`` is the one-way latency."""

    def __init__(self, *, model, delay_s: float, mean_service_s):
        self.model = model
        self.delay_s = delay_s
        self.mean_service_s = mean_service_s  # request id -> seconds
        self.idle = []
        self.open_connections = {}  # in the order of their opening
        self.count = 0
        model.pools.append(self)

    # ---- Queries ------------------------------------------------------------------

    def has_room(self, cap, now):
        """Whether a request can be sent with at most ``cap`` connections."""
        return self.count < cap or bool(self.idle)

    def connect_s(self, now):
        """Returns the time until a request can be sent."""
        return 0.0 if self.idle else self._open_s

    @property
    def _open_s(self):
        return self.model.spec.connect_ms / 1000 + 2 * self.delay_s

    @property
    def is_connected(self):
        """Whether a connection is open."""
        return bool(self.open_connections)

    # ---- Commands -----------------------------------------------------------------

    def take_idle(self, now):
        """Returns an idle connection, or None."""
        return self.idle.pop() if self.idle else None

    async def open(self):
        """Returns a new connection, or None if the searcher does not accept it."""
        self.count += 1
        try:
            if self.model.unresponsive:
                await asyncio.sleep(OPEN_TIMEOUT_S)
                self.count -= 1
                return None
            await asyncio.sleep(self._open_s)
        except asyncio.CancelledError:
            self.count -= 1
            raise
        if self.model.is_down or self.model.connections >= self.model.spec.connections:
            self.count -= 1
            return None
        self.model.connections += 1
        connection = ModelConnection(self)
        self.open_connections[connection] = None
        return connection

    def reset_connections(self):
        """Resets all connections, since the searcher has ended."""
        for connection in list(self.open_connections):
            job, connection.job = connection.job, None
            connection.close()
            if job is not None and not job.finished:
                job.finished = True
                if job.timer is not None:
                    job.timer.cancel()
                failure = CallFailure(kind=FailureKind.BROKEN, reason="reset")
                connection.on_done(failure)

    async def probe(self):
        """Opens a connection; returns why that failed, or None."""
        connection = await self.open()
        if connection is None:
            down = self.model.is_down
            return "connection_refused" if down else "connection_timed_out"
        self.put_back(connection, None)
        return None

    def exchange(self, connection, *, request, request_id, on_done):
        """Sends a request; calls ``on_done`` with a SearcherReply or a CallFailure."""
        loop = asyncio.get_running_loop()
        model = self.model
        remaining_s = int(_DEADLINE.search(request).group(1)) / 1000

        def done(executed):
            load = LoadReport(
                running=model.running, waiting=len(model.queue), slots=model.spec.slots
            )
            loop.call_later(
                self.delay_s, self._reply, connection, executed, load, on_done
            )

        connection.job = Job(
            service_s=model.draw_service_s(self.mean_service_s(request_id)),
            expires_at=loop.time() + remaining_s,
            reply=done,
            ends_searcher=ENDING_TARGET in request,
        )
        connection.on_done = on_done
        loop.call_later(self.delay_s, model.receive, connection.job)

    def _reply(self, connection, executed, load, on_done):
        if connection.closed:
            failure = CallFailure(kind=FailureKind.BROKEN, reason="closed")
            on_done(failure)
            return
        connection.job = None
        self.put_back(connection, None)
        searcher_id = self.model.searcher.searcher_id
        on_done(
            SearcherReply(
                status=200 if executed else 503,
                reason="",
                headers=httputil.HTTPHeaders(),
                body=RECORD if executed else b"",
                signature=searcher_id if executed else "",
                not_executed=not executed,
                load=load,
                rate_limit=self._stated_rate(),
            )
        )

    def _stated_rate(self):
        limit = self.model.rate_limit
        return None if limit is None else StatedNumber(text=str(limit), value=limit)

    def put_back(self, connection, reader):
        """Keeps a connection for the next request."""
        if not connection.closed:
            self.idle.append(connection)

    def discard(self, connection):
        """Closes a connection."""
        connection.close()

    def retire(self):
        """Closes idle connections; the others are closed by their searcher."""
        for connection in list(self.idle):
            connection.close()
