"""HTTP/1.1 for the stand-ins: heads, bodies, a client connection, the operator."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Answer:
    """What a client saw; status 0 is a connection that ended without a whole answer."""

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True
    sent_at: float = 0.0
    at: float = 0.0


async def read_head(reader):
    """Returns the start line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.split("\r\n")
    pairs = (item.partition(":") for item in rest if item)
    return line, {name.strip().lower(): value.strip() for name, _, value in pairs}


class ClientConnection:
    """A client's connection, kept for many requests."""

    def __init__(self, address, *, limit=2**16):
        self.address = address
        self.limit = limit
        self.reader = self.writer = None

    async def open(self):
        """Connects within the second that clients allow."""
        opening = asyncio.open_connection(*self.address, limit=self.limit)
        self.reader, self.writer = await asyncio.wait_for(opening, 1.0)

    async def request(
        self,
        *,
        path,
        host,
        method="GET",
        body=b"",
        deadline_ms=4000,
        request_id=None,
        headers=(),
    ) -> Answer:
        """Sends a request and reads its whole answer."""
        request_id = request_id or secrets.token_hex(8)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        answer = Answer(status=0, complete=False, sent_at=time.monotonic())
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await self.writer.drain()
                await self._read(answer)
        except (OSError, EOFError, TimeoutError):
            self.close()
        answer.at = time.monotonic()
        return answer

    async def _read(self, answer):
        line, answer.headers = await read_head(self.reader)
        answer.status = int(line.split(" ")[1])
        length = answer.headers.get("content-length")
        if length is None:
            answer.body = await self.reader.read()
        else:
            answer.body = await self.reader.readexactly(int(length))
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close" or length is None:
            self.close()

    @property
    def is_open(self):
        """Whether another request can be sent."""
        return self.writer is not None and not self.reader.at_eof()

    def close(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def fetch(address, *, path, host="control", method="GET", body=b""):
    """Sends one call on a new connection; returns an Answer, status 0 without one."""
    ip, _, port = address.rpartition(":")
    connection = ClientConnection((ip, int(port)))
    try:
        await connection.open()
    except (OSError, TimeoutError):
        return Answer(status=0, complete=False)
    answer = await connection.request(
        path=path,
        host=host,
        method=method,
        body=body,
        deadline_ms=1000,
        headers=(("Content-Type", "application/json"),) if body else (),
    )
    connection.close()
    return answer


class Operator:
    """The operator: sends configurations and reads them back, as the pages say."""

    def __init__(self, *, controls):
        self.controls = controls

    async def call_once(self, address, path, body=b"") -> Answer:
        """Calls one machine and follows a 307 twice."""
        method = "POST" if body else "GET"
        answer = await fetch(address, path=path, method=method, body=body)
        for _ in range(2):
            if answer.status != 307:
                break
            address = answer.headers["location"].split("/")[2]
            answer = await fetch(address, path=path, method=method, body=body)
        return answer

    async def put(self, configuration, *, timeout_s=20.0) -> Answer:
        """Sends a configuration, to one machine after the other, until it is final."""
        body = json.dumps(configuration).encode()
        return await self.put_bytes(body, timeout_s=timeout_s)

    async def put_bytes(self, body, *, timeout_s=20.0) -> Answer:
        """Sends a document until there is a final answer; status 0 without one."""
        give_up_at = time.monotonic() + timeout_s
        pause_s = 0.1
        while True:
            for address in self.controls:
                answer = await self.call_once(address, "/api/config/put", body)
                if answer.status in (200, 400, 409, 412, 413, 422):
                    return answer
            if time.monotonic() > give_up_at:
                return Answer(status=0, complete=False)
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 1.5 * pause_s)
