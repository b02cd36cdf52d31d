"""Stand-in searchers, as the users' page on the protocol describes them."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field

from small_site import read_message

TRY_S = 1.0  # a call to control that is not acknowledged goes to the next node


@dataclass
class Arrival:
    """A request at a searcher; ``run`` tells that the searcher began to work on it."""

    at: float
    searcher: str
    method: str
    path: str
    headers: dict = field(repr=False)
    body: bytes = field(repr=False)
    run: bool = False
    ended_at: float = 0.0

    @property
    def request_id(self):
        """The id of the client attempt."""
        return self.headers.get("request-id", "")


def stamp():
    """Returns a signature."""
    return f"{secrets.token_hex(2)}.07.{secrets.token_hex(2)}.600.0.0"


def answer(arrival, *, status="200 OK", body=b"answer", headers=(), signed=True):
    """Formats an answer to a request."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {arrival.request_id}"]
    if signed:
        lines.append(f"Server-Stamp: {stamp()}")
    lines += [*headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def not_executed(arrival, status="503 Full"):
    """Formats the rejection of a request that is not run."""
    return answer(arrival, status=status, body=b"", headers=["Not-Executed: 1"])


class Searcher:
    """One searcher: it runs ``slots`` requests at a time and queues some more.

    ``work(arrival)`` is awaited for each request that runs and returns the bytes of the
    answer; it may also raise ConnectionResetError, which resets the connection.
    """

    def __init__(self, site, *, number, service, zone, slots=6, queue=24, work=None):
        self.site = site
        self.searcher_id = f"i-{secrets.token_hex(4)}"
        self.address = site.address(number, 8080)
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work = work or self.usual_work
        self.arrivals = []
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.beating = None
        self.writers = set()
        self.born = 0
        self.control = site.random.randrange(len(site.cores))
        self.acknowledged_at = 0.0  # of the last call to control

    async def usual_work(self, arrival):
        """Answers after the usual time of work."""
        await asyncio.sleep(0.02)
        return answer(arrival)

    # ---- Life ---------------------------------------------------------------------

    async def start(self):
        """Listens and begins to send heartbeats."""
        self.born = int(time.time() * 1000)
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.beating = asyncio.create_task(self._beat())

    async def crash(self):
        """Ends at once: the listener and all connections, with resets."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    def announcement(self):
        """Returns the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def announce(self, tries=3):
        """Sends a heartbeat; returns whether a control node has acknowledged it."""
        return await self._tell("heartbeat", self.announcement(), tries)

    async def leave(self, tries=3):
        """Says that it has left; returns whether that was acknowledged."""
        return await self._tell("deregister", {"born": self.born}, tries)

    async def _tell(self, call, fields, tries):
        path = f"/api/instances/{self.searcher_id}/{call}"
        body = json.dumps(fields).encode()
        for _ in range(tries):
            address = self.site.control(self.control % len(self.site.cores))
            reply = await self.site.call(address, "POST", path, body, TRY_S)
            if 200 <= reply.status < 300:
                self.acknowledged_at = time.monotonic()
                return True
            self.control += 1
        return False

    # ---- Requests -----------------------------------------------------------------

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        line, headers, body = await read_message(reader)
        method, path, _ = line.split(" ")
        arrival = Arrival(
            time.monotonic(), self.searcher_id, method, path, headers, body
        )
        if path == "/health":
            ready = self.state == "ready"
            status = "200 OK" if ready else "503 Draining"
            lines = [f"Instance-Id: {self.searcher_id}"]
            reply = answer(arrival, status=status, headers=lines, signed=False)
        else:
            self.arrivals.append(arrival)
            reply = await self._run(arrival, reader)
        if reply is None:
            return False
        writer.write(reply)
        await writer.drain()
        return True

    async def _run(self, arrival, reader):
        expected = arrival.headers.get("expect-instance", self.searcher_id)
        if expected != self.searcher_id:
            return not_executed(arrival, "421 Misdirected Request")
        if not arrival.request_id:
            return not_executed(arrival, "400 Bad Request")
        if self.waiting >= self.queue:
            return not_executed(arrival)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            deadline_s = int(arrival.headers.get("deadline-ms", "60000")) / 1000
            left_s = arrival.at + deadline_s - time.monotonic()
            if left_s <= 0:
                return not_executed(arrival)
            arrival.run = True
            working = asyncio.ensure_future(self._work(arrival, left_s))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([working, gone], return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                working.cancel()  # the connection has closed
                arrival.ended_at = time.monotonic()
                return None
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            arrival.ended_at = time.monotonic()
            return working.result()

    async def _work(self, arrival, left_s):
        try:
            async with asyncio.timeout(left_s):
                return await self.work(arrival)
        except TimeoutError:
            return answer(arrival, status="504 Gateway Timeout", body=b"")
