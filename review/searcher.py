"""A searcher of PROTOCOL.md: heartbeats, health, one request at a time a connection.

It writes each request that it begins to run to a journal file. A request whose path
begins with the crash path ends its process.
"""

import argparse
import asyncio
import contextlib
import json
import os
import time

HEARTBEAT_S = 1.2
WORK_S = 0.005
CRASH_AFTER_S = 0.01
BODY = b"0123456789abcdef"


class Searcher:
    """One start of a searcher."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.turn = 0
        self.running = 0

    def note(self, text):
        """Writes a line to the journal."""
        with open(self.options.journal, "a", encoding="utf-8") as journal:
            journal.write(f"{time.monotonic():.3f} {self.options.id} {text}\n")

    async def beat(self):
        """Sends heartbeats, to the next node after a failure."""
        controls = self.options.control.split(",")
        while True:
            for _ in range(len(controls)):
                address = controls[self.turn % len(controls)]
                if await self.beat_to(address):
                    break
                self.turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def beat_to(self, address):
        """Sends a heartbeat to one node; returns whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.options.service,
                "address": self.options.address,
                "zone": self.options.zone,
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()
        head = (
            f"POST /api/instances/{self.options.id}/heartbeat HTTP/1.1\r\n"
            f"Host: {address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(head + body)
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split()[1:2] == [b"200"]

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while await self.answer_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer_one(self, reader, writer):
        """Reads and answers one request; returns whether to read on."""
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin1").rstrip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("request-id", "")
        load = f"Server-Load: {self.running},0,4\r\n"
        if target == "/health":
            answer = f"HTTP/1.1 200 OK\r\nInstance-Id: {self.options.id}\r\n{load}"
            writer.write(f"{answer}Content-Length: 0\r\n\r\n".encode())
            return True
        expected = headers.get("expect-instance", self.options.id)
        if expected != self.options.id or not request_id:
            status = "421 Misdirected" if request_id else "400 Bad Request"
            answer = f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nNot-Executed: 1"
            writer.write(f"{answer}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.note(f"runs {request_id} {method} {target}")
        self.running += 1
        if self.options.crash_path and target.startswith(self.options.crash_path):
            await asyncio.sleep(CRASH_AFTER_S)
            self.note(f"crashes {request_id}")
            os._exit(1)
        await asyncio.sleep(WORK_S)
        self.running -= 1
        stamp = f"{self.options.id}.{request_id}"
        answer = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {stamp}"
        answer += f"\r\n{load}Keep-Alive: timeout=10\r\nContent-Length: {len(BODY)}"
        writer.write(answer.encode() + b"\r\n\r\n" + BODY)
        await writer.drain()
        return True

    async def run(self):
        """Serves until the process ends."""
        host, _, port = self.options.address.rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        beating = asyncio.create_task(self.beat())
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(server.serve_forever(), beating)


def main():
    """Runs a searcher with the options of the command line."""
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "address", "zone", "control", "journal"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--crash-path", default="")
    asyncio.run(Searcher(parser.parse_args()).run())


if __name__ == "__main__":
    main()
