"""An open-loop load from asynchronous callers over persistent connections.

Requests are due at seeded random times, whether or not earlier ones have been
answered, and latency is measured from the due time. This avoids coordinated
omission: a caller that waits for a slow answer would hide the requests that it did
not send meanwhile.
"""

import asyncio
import json
import random
from collections import defaultdict
from dataclasses import dataclass

from chaos.history import Attempt

from plantainstage._errors import ExchangeError
from plantainstage._transport.http_connection import HttpConnection

CALLERS = 6
MAX_IN_FLIGHT = 150  # for each caller; bounds memory in overload
REPLY_TIMEOUT_S = 5.0
QUERY_PATH = "/v1/query"


@dataclass(frozen=True, kw_only=True)
class Request:
    """A request with its attempts; there are several if an entry host was lost."""

    due_at: float
    attempts: tuple[Attempt, ...]

    @property
    def last(self):
        """The last attempt, whose reply is that of the request."""
        return self.attempts[-1]

    @property
    def elapsed_s(self):
        """Seconds from the due time to the answer."""
        return self.last.ended_at - self.due_at


class Connections:
    """Persistent connections to one address."""

    def __init__(self, address):
        self.address = address
        self.idle = []

    async def post(self, path, body):
        """Returns an HttpReply; raises ExchangeError or TimeoutError."""
        connection = await self._take()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await connection.post(path=path, body=body)
        except TimeoutError:
            connection.close()
            raise
        if not connection.closed:
            self.idle.append(connection)
        return reply

    async def _take(self):
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
        return await HttpConnection.open(
            address=self.address, timeout_s=REPLY_TIMEOUT_S
        )

    def close(self):
        """Closes the idle connections."""
        for connection in self.idle:
            connection.close()


class Load:
    """Sends ``rate`` requests a second over all entry hosts for ``seconds``."""

    def __init__(self, *, entries, profile, rate, seconds, seed, prefix):
        self.entries = {name: Connections(item) for name, item in entries.items()}
        self.profile = profile
        self.rate = rate
        self.seconds = seconds
        self.seed = seed
        self.prefix = prefix
        self.lost = set()
        self.requests = []
        self.unsent = 0
        self.started_at = 0.0

    async def run(self):
        """Sends the load and returns its Requests, in the order of their replies."""
        self.started_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._run_caller(number) for number in range(CALLERS)))
        for connections in self.entries.values():
            connections.close()
        return self.requests

    async def _run_caller(self, caller):
        rng = random.Random(f"{self.seed}:{self.prefix}:{caller}")
        loop = asyncio.get_running_loop()
        due_at = self.started_at
        tasks = set()
        number = 0
        while True:
            due_at += rng.expovariate(self.rate / CALLERS)
            if due_at > self.started_at + self.seconds:
                break
            await asyncio.sleep(max(due_at - loop.time(), 0))
            if len(tasks) >= MAX_IN_FLIGHT:
                self.unsent += 1
                continue
            number += 1
            name = f"{self.prefix}-{caller}-{number}"
            task = loop.create_task(self._request(name, due_at, rng))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    async def _request(self, name, due_at, rng):
        """Sends a request, and repeats it through another host if its host is lost."""
        attempts = []
        while True:
            entry = self._choose_entry(rng)
            token = f"{name}-{len(attempts)}"
            attempt = await self._attempt(entry, token)
            attempts.append(attempt)
            if attempt.status or len(attempts) > len(self.entries):
                break
            # Like the platform's load balancer, stops using a host that gives no reply.
            self.lost.add(entry)
        self.requests.append(Request(due_at=due_at, attempts=tuple(attempts)))

    def _choose_entry(self, rng):
        names = [name for name in self.entries if name not in self.lost]
        return rng.choice(names or list(self.entries))

    async def _attempt(self, entry, token):
        body = {"profile": self.profile, "query": {"token": token}, "request_id": token}
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        status, answer, error = 0, {}, ""
        try:
            reply = await self.entries[entry].post(
                QUERY_PATH, json.dumps(body).encode()
            )
            status, answer = reply.status, reply.body
        except (ExchangeError, TimeoutError) as failure:
            error = f"reply: {failure!r}"
        ended_at = loop.time()
        return Attempt(
            entry=entry,
            request_id=token,
            token=token,
            profile=self.profile,
            idempotent=True,
            partitions=(),
            sent_at=sent_at,
            ended_at=ended_at,
            status=status,
            body=json.loads(answer) if answer else {},
            error=error,
        )


async def run_with_fault(load, fault):
    """Runs the load, with the blocking ``fault`` in a thread meanwhile."""
    requests, _ = await asyncio.gather(load.run(), asyncio.to_thread(fault))
    return requests


def by_window(requests, started_at, window_s):
    """Returns lists of requests, one for each window in which some were due."""
    windows = defaultdict(list)
    for request in requests:
        windows[int((request.due_at - started_at) / window_s)].append(request)
    return list(windows.values())
