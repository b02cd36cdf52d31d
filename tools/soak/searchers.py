"""Searchers of a soak, each behind a link on which faults are injected."""

import asyncio
import json
import time

from .contents import SHARDS, part_body, signature, single_body
from .http import HEADER_NAMES, call, read_body, read_head
from .record import AcknowledgedDrain, Run

ANNOUNCE_INTERVAL_S = 0.4
MEAN_WORK_S = 0.01
SLOW_SHARE = 0.02
SLOW_S = 0.25
REJECT_SHARE = 0.02
CORRUPT_SHARE = 0.01
SLOTS = 4


class SoakSearcher:
    """One searcher; it may be started again under the same id after a crash."""

    def __init__(self, *, soak, searcher_id, service):
        self.soak = soak
        self.searcher_id = searcher_id
        self.service = service
        self.random = soak.random
        self.link = None
        self.server = None
        self.writers = set()
        self.sequence = 0
        self.started_at_ms = 0
        self.draining = False
        self.is_down = True
        self.announce_task = None

    async def start(self):
        """Listens behind a new link and announces itself."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        network = self.soak.network
        self.link = await asyncio.to_thread(network.link, f"127.0.0.1:{port}")
        self.sequence, self.draining = 0, False
        self.started_at_ms = int(time.time() * 1000)
        self.announce_task = asyncio.create_task(self._announce())
        self.is_down = False

    def crash(self):
        """Closes the server and all connections without an announcement."""
        self.is_down = True
        self.announce_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def drain(self):
        """Announces that it is draining; returns whether that was acknowledged."""
        self.announce_task.cancel()
        self.draining = True
        for _ in range(40):
            if await self._announce_once():
                acknowledged = AcknowledgedDrain(
                    searcher=self.searcher_id, at=self.soak.now()
                )
                self.soak.record.drains.append(acknowledged)
                return True
            await asyncio.sleep(0.1)
        return False

    async def _announce(self):
        while True:
            await self._announce_once()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_once(self):
        self.sequence += 1
        body = json.dumps(
            {
                "searcher_id": self.searcher_id,
                "service": self.service,
                "address": self.link.address,
                "data_centre": "dc-1",
                "slots": SLOTS,
                "state": 1 if self.draining else 0,
                "sequence": self.sequence,
                "started_at_ms": self.started_at_ms,
            }
        ).encode()
        path = f"/v1/searchers/{self.searcher_id}/announcement"
        for registry in self.soak.shuffled(self.soak.registries):
            status, _ = await call(registry.address, "POST", path, body)
            if status == 200:
                return True
        return False

    @property
    def name(self):
        """The name under which faults are recorded."""
        return self.searcher_id

    # ---- Requests -----------------------------------------------------------------

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                if self.soak.faults.ends_searchers(line):
                    await self.soak.faults.end_searcher(self)
                    return
                await self._answer(headers, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return  # the entry host closed the connection, or the run has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, headers, writer):
        request_id = headers.get(HEADER_NAMES.request_id.lower(), "")
        expected = headers.get(HEADER_NAMES.expected_searcher.lower(), self.searcher_id)
        if expected != self.searcher_id:
            self._reply(writer, request_id, 421, executed=False)
            return
        if self.random.random() < REJECT_SHARE:
            self._reply(writer, request_id, 503, executed=False)
            return
        run = Run(
            request_id=request_id,
            service=self.service,
            searcher=self.searcher_id,
            at=self.soak.now(),
        )
        self.soak.record.runs.append(run)
        slow = self.random.random() < SLOW_SHARE
        work_s = SLOW_S if slow else self.random.expovariate(1 / MEAN_WORK_S)
        await asyncio.sleep(work_s)
        body = single_body(request_id)
        if self.service in SHARDS:
            body = part_body(request_id, self.service)
        self._reply(writer, request_id, 200, body=body)

    def _reply(self, writer, request_id, status, *, executed=True, body=b""):
        lines = [
            f"HTTP/1.1 {status} Reply",
            f"{HEADER_NAMES.request_id}: {request_id}",
            f"Content-Length: {len(body)}",
        ]
        if executed:
            lines.append(
                f"{HEADER_NAMES.signature}: {signature(request_id, self.service)}"
            )
        else:
            lines.append(f"{HEADER_NAMES.not_executed}: 1")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        if executed and self.random.random() < CORRUPT_SHARE:
            self._send_corrupted(writer, data)
        else:
            writer.write(data)

    def _send_corrupted(self, writer, data):
        """Sends an answer truncated or twice."""
        if self.random.random() < 0.5:
            writer.write(data[:-7])
            writer.close()
        else:
            writer.write(data + data)
