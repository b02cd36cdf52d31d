"""A minimal HTTP client: one request at a time on a persistent connection."""

import asyncio

from plantainstage._gateway.header_names import HeaderNames

HEADER_NAMES = HeaderNames()
HOST = "soak.example"
CONNECT_TIMEOUT_S = 1.0


async def read_head(reader):
    """Returns the start line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.split("\r\n")
    pairs = (item.partition(":") for item in rest if item)
    return line, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Returns a body of the length that the headers state."""
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Connection:
    """A connection that stays open until it fails or the server closes it."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        """Connects unless connected; raises OSError or TimeoutError."""
        if self.writer is None:
            host, _, port = self.address.rpartition(":")
            opening = asyncio.open_connection(host, int(port))
            self.reader, self.writer = await asyncio.wait_for(
                opening, CONNECT_TIMEOUT_S
            )

    async def send(self, method, path, *, body=b"", headers=()):
        """Sends a complete request."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self):
        """Returns status, headers and body of the next reply."""
        line, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), headers, body

    def close(self):
        """Closes the connection; the next request opens another."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(address, method, path, body=b"", timeout_s=1.0):
    """Sends one request on a new connection and follows up to two redirections.

    Returns status and body; without a final reply the status is 0.
    """
    for _ in range(3):
        connection = Connection(address)
        try:
            async with asyncio.timeout(timeout_s):
                await connection.open()
                await connection.send(method, path, body=body)
                status, headers, reply_body = await connection.receive()
        except (OSError, TimeoutError, EOFError):
            return 0, b""
        finally:
            connection.close()
        if status != 307:
            return status, reply_body
        address = headers["location"].split("/")[2]
    return 0, b""
