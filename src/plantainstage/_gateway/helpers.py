"""Connections of an entry host to the hosts that may take its requests."""

import asyncio
from collections.abc import Callable
from functools import partial

from plantainstage._gateway.call import NO_CONNECTION
from plantainstage._gateway.messages import CallFailure, FailureKind
from plantainstage._gateway.pool import SearcherPool
from plantainstage._serving.helper_hosts import HelperHosts


class RelayCall:
    """One request at one helper; ``on_done(outcome)`` is called once.

    Abandoning it closes the connection, on which the helper ends its work.
    """

    def __init__(self, *, helpers, address, request, request_id, on_done):
        self.helpers = helpers
        self.address = address
        self.request = request
        self.request_id = request_id
        self.on_done = on_done
        self.connection = None
        self.over = False
        self.task = None

    def start(self):
        """Sends on an idle connection, or opens one first."""
        self.helpers.hosts.started(self.address)
        pool = self.helpers.pool(self.address)
        connection = pool.take_idle(asyncio.get_running_loop().time())
        if connection is None:
            self.task = asyncio.ensure_future(self._open(pool))
        else:
            self._send(pool, connection)

    def abandon(self):
        """Ends the call without a call of ``on_done``."""
        if self.over:
            return
        self._end()
        if self.connection is not None:
            self.connection.close()
        elif self.task is not None:
            self.task.cancel()

    async def _open(self, pool):
        connection = await pool.open()
        if self.over:
            if connection is not None:
                pool.put_back(connection, None)
            return
        if connection is None:
            failure = CallFailure(kind=FailureKind.UNREACHABLE, reason=NO_CONNECTION)
            self._done(failure)
            return
        self._send(pool, connection)

    def _send(self, pool, connection):
        self.connection = connection
        pool.exchange(
            connection,
            request=self.request,
            request_id=self.request_id,
            on_done=self._done,
        )

    def _done(self, outcome):
        if not self.over:
            self._end()
            self.on_done(outcome)

    def _end(self):
        self.over = True
        self.helpers.hosts.ended(self.address)


class Helpers:
    """The hosts that control names as helpers, with a connection pool for each."""

    def __init__(self, *, names, memory):
        self.hosts = HelperHosts()
        self.new_pool = partial(SearcherPool, names=names, memory=memory)
        self.pools = {}

    def pool(self, address: str) -> SearcherPool:
        """Returns the pool for a helper."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = self.new_pool(address=address)
        return pool

    def update(self, addresses: tuple[str, ...]):
        """Replaces the helpers and closes idle connections to earlier ones."""
        self.hosts.update(addresses)
        for address in set(self.pools) - set(addresses):
            self.pools.pop(address).retire()

    def send(
        self, address: str, *, request: bytes, request_id: str, on_done: Callable
    ) -> RelayCall:
        """Sends a formatted request to a helper; returns its call."""
        call = RelayCall(
            helpers=self,
            address=address,
            request=request,
            request_id=request_id,
            on_done=on_done,
        )
        call.start()
        return call
