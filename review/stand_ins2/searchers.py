"""A sound searcher, as the pages describe it."""

import asyncio
import itertools
import json
import secrets
import time
from dataclasses import dataclass

from .http import fetch, read_head

HEARTBEAT_S = 1.2
KEEP_ALIVE_S = 30


@dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a searcher began to work on."""

    at: float
    searcher: str
    service: str
    request_id: str
    method: str
    path: str
    body: bytes
    headers: dict


class Searcher:
    """One searcher: it serves requests and sends heartbeats until it is stopped.

    ``answer(run)`` returns the body of its answers. ``controls`` are the addresses of
    the machines that serve control. ``is_cut_off(peer, own)`` tells of a
    connection between two addresses that a cut resets it.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        *,
        service,
        zone,
        ip,
        controls,
        port=0,
        slots=4,
        work_s=0.01,
        searcher_id=None,
        answer=None,
        record=None,
        is_cut_off=None,
    ):
        self.service = service
        self.zone = zone
        self.ip = ip
        self.port = port
        self.controls = list(controls)
        self.slots = slots
        self.work_s = work_s
        self.searcher_id = searcher_id or f"i-{secrets.token_hex(4)}"
        self.answer = answer or (lambda run: b"the server's bytes")
        self.runs = record if record is not None else []
        self.is_cut_off = is_cut_off or (lambda peer, own: False)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.beating = None
        self.acknowledged = asyncio.Event()
        self.tasks = set()
        self.writers = set()

    @property
    def address(self):
        """The address that it announces."""
        return f"{self.ip}:{self.port}"

    async def start(self, *, beats=True):
        """Listens, and sends heartbeats."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if beats:
            self.beating = asyncio.create_task(self._beat())

    def stop(self):
        """Ends it without a word."""
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def reset_cut_off(self):
        """Resets the connections of machines from which it is cut off."""
        for writer in list(self.writers):
            if self._is_cut(writer):
                writer.transport.abort()

    def _is_cut(self, writer):
        names = ("peername", "sockname")
        return self.is_cut_off(*(writer.get_extra_info(name) for name in names))

    # ---- Heartbeats ---------------------------------------------------------------

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat_once(self) -> bool:
        """Sends a heartbeat, to one machine after the other until it is taken."""
        self.seq += 1
        message = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        body = json.dumps(message).encode()
        path = f"/api/instances/{self.searcher_id}/heartbeat"
        for control in list(self.controls):
            taken = await fetch(control, path=path, method="POST", body=body)
            if 200 <= taken.status < 300:
                self.acknowledged.set()
                return True
            self.controls.append(self.controls.pop(0))
        return False

    # ---- Requests -----------------------------------------------------------------

    async def _serve(self, reader, writer):
        if self._is_cut(writer):
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._handle(line, headers, body, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, line, headers, body, writer):
        method, path, _ = line.split(" ")
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.searcher_id) != self.searcher_id:
            self._reply(writer, 421, request_id, not_executed=True)
            return
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            self._reply(writer, status, "", extra=[f"Instance-Id: {self.searcher_id}"])
            return
        if not request_id:
            self._reply(writer, 400, "", not_executed=True)
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            run = Run(
                at=time.monotonic(),
                searcher=self.searcher_id,
                service=self.service,
                request_id=request_id,
                method=method,
                path=path,
                body=body,
                headers=headers,
            )
            self.runs.append(run)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        stamp = f"{self.service}.{self.searcher_id}.{request_id}"
        self._reply(writer, 200, request_id, body=self.answer(run), stamp=stamp)

    def _reply(
        self,
        writer,
        status,
        request_id,
        *,
        body=b"",
        stamp="",
        not_executed=False,
        extra=(),
    ):
        lines = [f"HTTP/1.1 {status} Reply", f"Content-Length: {len(body)}"]
        lines.append(f"Keep-Alive: timeout={KEEP_ALIVE_S}")
        lines.append(f"Server-Load: {self.running},{self.waiting},{self.slots}")
        if request_id:
            lines.append(f"Request-Id: {request_id}")
        if stamp:
            lines.append(f"Server-Stamp: {stamp}")
        if not_executed:
            lines.append("Not-Executed: 1")
        lines.extend(extra)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
