"""Control replicas, entry hosts, searchers and callers on one event loop.

Control replicas and entry hosts are the real daemons on loopback sockets. Searchers
are stand-ins whose behaviour is set by the scenario.
"""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import tempfile
import time
from dataclasses import dataclass, field
from functools import partial

from plantainstage._gateway.daemon import GatewayDaemon, GatewaySettings
from plantainstage._gateway.events import EventLog
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._registry.daemon import RegistryDaemon, RegistrySettings
from plantainstage._registry.group_limits import GroupLimits
from plantainstage._registry.peers import Peer
from plantainstage._serving.retry_budget import RetryBudgetLimits
from support.processes import free_address

HANG_LIMIT_S = 30
NAMES = HeaderNames()
FILL = b"f" * 65536


@dataclass(kw_only=True)
class ReceivedRequest:
    """A request as received by a stand-in searcher."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def request_id(self):
        return self.headers.get(NAMES.request_id.lower(), "")


@dataclass(kw_only=True)
class CallerReply:
    """The reply that a caller received."""

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""


async def until(condition):
    """Waits for a condition, without a time limit of its own."""
    for _ in itertools.count():
        if condition():
            return
        await asyncio.sleep(0.005)


async def read_message(reader, on_head=None):
    """Reads one HTTP message; returns its start line, headers and body.

    Values of a header that is given twice are joined by a comma.

    ``on_head`` is awaited with the headers before the body is read.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            name, value = name.lower(), value.strip(" \t")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    if on_head is not None:
        await on_head(headers)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def all_of(tasks):
    """Waits until all tasks have ended; ``tasks`` may be empty."""
    await asyncio.gather(*tasks, return_exceptions=True)


class StandInSearcher:
    """A searcher whose replies are written by ``behave(searcher, request, writer)``."""

    def __init__(self, *, searcher_id, service, data_centre="dc-1", started_at_ms=1):
        self.searcher_id = searcher_id
        self.service = service
        self.data_centre = data_centre
        self.started_at_ms = started_at_ms
        self.sequence = 0
        self.received = []
        self.connections = 0
        self.writers = []
        self.closed_early = 0
        self.endless = 0  # replies without end that have begun
        self.endless_bytes = 0
        self.record = searcher_id.encode().ljust(16, b".")
        self.behave = answer_whole
        self.rejects_early = False  # before the body has been read
        self.server = None
        self.is_down = False
        self.crashes = []  # times on the event loop's clock
        self.arrivals = []  # (time, target) of all requests

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def crash(self):
        """Closes the listener and all connections, as the end of a process does."""
        self.is_down = True
        self.crashes.append(self.server.get_loop().time())
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def restart(self):
        """Starts again at the same address, as a new process."""
        self.started_at_ms += 1
        self.sequence = 0
        await self.start(port=int(self.address.rpartition(":")[2]))
        self.is_down = False

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                early = partial(self._reject_early, writer)
                line, headers, body = await read_message(reader, early)
                method, target, _ = line.split(" ")
                request = ReceivedRequest(
                    method=method, target=target, headers=headers, body=body
                )
                self.received.append(request)
                self.arrivals.append((asyncio.get_running_loop().time(), target))
                if self.rejects_early:
                    continue
                working = asyncio.ensure_future(self.behave(self, request, writer))
                watching = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    [working, watching], return_when=asyncio.FIRST_COMPLETED
                )
                if not working.done():
                    self.closed_early += 1
                    working.cancel()
                    return
                watching.cancel()
                await asyncio.gather(watching, return_exceptions=True)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return  # the peer has disconnected, or the scenario has ended
        finally:
            writer.close()

    async def _reject_early(self, writer, headers):
        """Rejects a request before its body has arrived; the body is read afterwards."""
        if self.rejects_early:
            extra = f"{NAMES.not_executed}: 1\r\nContent-Length: 0\r\n\r\n"
            name = NAMES.request_id
            echo = f"{name}: {headers[name.lower()]}\r\n"
            writer.write(f"HTTP/1.1 503 Full\r\n{echo}{extra}".encode())
            await writer.drain()
            await asyncio.sleep(0.02)

    def announcement(self, state=0, **changes):
        self.sequence += 1
        fields = {
            "searcher_id": self.searcher_id,
            "service": self.service,
            "address": self.address,
            "data_centre": self.data_centre,
            "slots": 2,
            "state": state,
            "sequence": self.sequence,
            "started_at_ms": self.started_at_ms,
        }
        return json.dumps({**fields, **changes}).encode()


def reply_head(searcher, request, *, status="200 OK", extra=(), request_id=None):
    lines = [
        f"HTTP/1.1 {status}",
        f"{NAMES.request_id}: {request_id or request.request_id}",
        f"{NAMES.signature}: signed-by-{searcher.searcher_id}",
        *extra,
    ]
    return ("\r\n".join(lines) + "\r\n").encode()


def sized(body):
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


async def answer_whole(searcher, request, writer):
    writer.write(reply_head(searcher, request) + sized(searcher.record))


def answer_with_limit(limit):
    """Returns the behaviour of a searcher that states a rate limit."""

    async def answer(searcher, request, writer):
        extra = [f"{NAMES.rate_limit}: {limit}"]
        head = reply_head(searcher, request, extra=extra)
        writer.write(head + sized(searcher.record))

    return answer


async def answer_without_end(searcher, request, writer):
    """Sends nothing while the connection is open."""
    await asyncio.Event().wait()


async def answer_cut_short(searcher, request, writer):
    body = sized(searcher.record)[:-4]
    writer.write(reply_head(searcher, request) + body)
    await writer.drain()
    writer.close()


def answer_without_body(status):
    """Returns the behaviour of a searcher whose replies never have a body."""

    async def answer(searcher, request, writer):
        head = reply_head(searcher, request, status=f"{status} Without Body")
        writer.write(head + b"\r\n")

    return answer


async def answer_unframed(searcher, request, writer):
    writer.write(reply_head(searcher, request, extra=["Connection: close"]) + b"\r\n")
    writer.write(searcher.record)
    await writer.drain()
    writer.close()


async def answer_unframed_reset(searcher, request, writer):
    writer.write(reply_head(searcher, request, extra=["Connection: close"]) + b"\r\n")
    writer.write(searcher.record[:8])
    await writer.drain()
    linger = struct.pack("ii", 1, 0)  # reset on close
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def answer_with_extra(searcher, request, writer):
    """Sends the reply twice; the second one belongs to no request."""
    whole = reply_head(searcher, request) + sized(searcher.record)
    writer.write(whole)
    await writer.drain()
    asyncio.get_running_loop().call_later(0.02, writer.write, whole)


async def answer_for_another(searcher, request, writer):
    """Answers with the id of a request that was not received."""
    writer.write(
        reply_head(searcher, request, request_id="other") + sized(searcher.record)
    )


async def answer_in_chunks(searcher, request, writer):
    extra = ["Transfer-Encoding: chunked"]
    writer.write(reply_head(searcher, request, extra=extra) + b"\r\n")
    half = len(searcher.record) // 2
    for part in (searcher.record[:half], searcher.record[half:], b""):
        writer.write(b"%x\r\n" % len(part) + part + b"\r\n")


async def reject(searcher, request, writer):
    extra = [f"{NAMES.not_executed}: 1"]
    head = reply_head(searcher, request, status="503 Full", extra=extra)
    writer.write(head + sized(b""))


async def reset(searcher, request, writer):
    writer.transport.abort()


async def fail(searcher, request, writer):
    head = reply_head(searcher, request, status="500 Internal Server Error")
    writer.write(head + sized(b"broken"))


def end_on(target, *, runs_s=0.02, down_s=0.5):
    """Returns the behaviour of a searcher that a request to ``target`` ends.

    It is back after ``down_s``; other requests are answered after a while.
    """

    async def answer_or_end(searcher, request, writer):
        await asyncio.sleep(runs_s)
        if request.target != target:
            await answer_whole(searcher, request, writer)
        elif not searcher.is_down:
            searcher.crash()
            await_restart = asyncio.get_running_loop().call_later
            await_restart(down_s, lambda: asyncio.ensure_future(searcher.restart()))

    return answer_or_end


async def answer_garbage(searcher, request, writer):
    writer.write(b"this is no answer\r\n\r\n")
    await writer.drain()
    writer.close()


async def send_until_closed(searcher, writer, head, piece):
    """Sends ``head``, then ``piece`` again and again until the caller closes."""
    writer.write(head)
    searcher.endless += 1
    with contextlib.suppress(ConnectionError):  # the caller has closed
        while not writer.is_closing():
            writer.write(piece)
            searcher.endless_bytes += len(piece)
            await writer.drain()
            await asyncio.sleep(0)


async def send_endless_line(searcher, request, writer):
    await send_until_closed(searcher, writer, b"HTTP/1.1 200 OK\r\nX-Fill: ", FILL)


async def send_endless_head(searcher, request, writer):
    line = b"X-Fill: " + FILL[:200] + b"\r\n"
    await send_until_closed(searcher, writer, reply_head(searcher, request), line * 50)


async def send_endless_body(searcher, request, writer):
    head = reply_head(searcher, request) + b"\r\n"
    await send_until_closed(searcher, writer, head, FILL)


async def send_endless_chunks(searcher, request, writer):
    extra = ["Transfer-Encoding: chunked"]
    head = reply_head(searcher, request, extra=extra) + b"\r\n"
    chunk = b"%x\r\n" % len(FILL) + FILL + b"\r\n"
    await send_until_closed(searcher, writer, head, chunk)


async def send_endless_chunk_size(searcher, request, writer):
    extra = ["Transfer-Encoding: chunked"]
    head = reply_head(searcher, request, extra=extra) + b"\r\n"
    await send_until_closed(searcher, writer, head, b"0" * len(FILL))


async def send_endless_interim(searcher, request, writer):
    await send_until_closed(searcher, writer, b"", b"HTTP/1.1 103 Wait\r\n\r\n" * 20)


async def send_slow_head(searcher, request, writer):
    """Sends a byte of a head now and then, without an end."""
    writer.write(b"HTTP/1.1 200 OK\r\n")
    while not writer.is_closing():
        writer.write(b"X")
        await asyncio.sleep(0.02)


BEHAVIOURS = {
    "sends a line without end": send_endless_line,
    "sends a head without end": send_endless_head,
    "sends a body without end": send_endless_body,
    "sends chunks without end": send_endless_chunks,
    "sends a chunk size without end": send_endless_chunk_size,
    "sends interim replies without end": send_endless_interim,
    "sends a head slowly without end": send_slow_head,
    "answers": answer_whole,
    "never answers": answer_without_end,
    "cuts its answers short": answer_cut_short,
    "answers with 204": answer_without_body(204),
    "answers with 304": answer_without_body(304),
    "answers without a length": answer_unframed,
    "resets answers without a length": answer_unframed_reset,
    "answers twice": answer_with_extra,
    "answers for another request": answer_for_another,
    "answers in chunks": answer_in_chunks,
    "rejects": reject,
    "resets": reset,
    "fails": fail,
    "answers with garbage": answer_garbage,
}


class RoutedTier:
    """A deployment; ``run`` runs its event loop until a coroutine is done."""

    def __init__(self, resources):
        self.loop = asyncio.new_event_loop()
        self.events = []
        self.registries = {}  # client address -> (daemon, stop event, task, folder)
        self.gateways = []
        self.searchers = {}
        self.announcing = None
        resources.callback(self.close)

    def run(self, work):
        return self.loop.run_until_complete(asyncio.wait_for(work, HANG_LIMIT_S))

    def wait_for(self, condition, what="the condition"):
        limit = time.monotonic() + HANG_LIMIT_S
        while not condition():
            assert time.monotonic() < limit, f"timed out waiting for {what}"
            self.run(asyncio.sleep(0.005))

    # ---- Control ------------------------------------------------------------------

    def new_peer(self):
        addresses = [free_address() for _ in range(3)]
        return Peer(
            client_address=addresses[0],
            peer_address=addresses[1],
            sync_address=addresses[2],
        )

    def start_registry(self, peer, *, seeds, bootstrap, folder=None):
        folder = folder or tempfile.mkdtemp()
        known = {p.client_address: p.sync_address for p in (*seeds, peer)}

        def sync_address_of(client_address):
            others = {
                d.settings.own.client_address: d.settings.own.sync_address
                for d, *_ in self.registries.values()
            }
            return {**known, **others}.get(client_address, peer.sync_address)

        async def start():
            events = EventLog(
                program="registry", host_id=peer.client_address, put=self._take_lines
            )
            settings = RegistrySettings(
                host_id=peer.client_address,
                own=peer,
                data_folder=folder,
                peers=lambda: tuple(seeds),
                sync_address_of=sync_address_of,
                founders=tuple(seeds) if bootstrap else (),
                heartbeat_s=0.2,
                limits=GroupLimits(losses=1, catch_up_s=3.0),
            )
            daemon = RegistryDaemon(settings=settings, events=events)
            stop = asyncio.Event()
            task = asyncio.create_task(daemon.run(stop))
            self.registries[peer.client_address] = (daemon, stop, task, folder)
            await daemon.started.wait()

        self.run(start())

    def stop_registry(self, address):
        daemon, stop, task, folder = self.registries.pop(address)
        stop.set()
        self.run(asyncio.gather(task, return_exceptions=True))
        return daemon.settings.own, folder

    def start_group(self, count):
        peers = [self.new_peer() for _ in range(count)]
        for peer in peers:
            self.start_registry(peer, seeds=peers, bootstrap=True)
        self.wait_for(self.leader, "a leader")
        return peers

    def leader(self):
        for daemon, *_ in self.registries.values():
            if daemon.replica is not None and daemon.replica.is_leader:
                return daemon
        return None

    async def call_control(self, address, method, path, body=b""):
        """Sends a request to a replica and follows at most two redirects."""
        for _ in range(3):
            reply = await self.call(
                address, method=method, target=path, body=body, host="control"
            )
            if reply.status != 307:
                return reply
            address = reply.headers["location"].split("/")[2]
        return reply

    def put_with_retries(self, document, address=None):
        """Sends a configuration, and again as long as the reply is a 503."""
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        limit = time.monotonic() + HANG_LIMIT_S
        while time.monotonic() < limit:
            target = address or next(iter(self.registries))
            reply = self.run(
                self.call_control(target, "POST", "/v1/configuration", body)
            )
            if reply.status != 503:
                return reply
            self.run(asyncio.sleep(0.05))
        raise AssertionError("control replied with 503 until the time limit")

    # ---- Entry hosts, searchers, callers ------------------------------------------

    def start_gateway(self, seeds, budget=None, *, relays=False):
        """Starts an entry host; with ``relays`` it helps others that are cut off."""

        async def start():
            host_id = f"gateway-{len(self.gateways)}"
            events = EventLog(program="gateway", host_id=host_id, put=self._take_lines)
            settings = GatewaySettings(
                host_id=host_id,
                data_centre="dc-1",
                listen=free_address(),
                ready_listen=free_address(),
                relay_listen=free_address() if relays else "",
                control_addresses=lambda: tuple(p.sync_address for p in seeds),
                budget=budget or RetryBudgetLimits(ratio=0.2, slack=1000),
                stop_s=3.0,
            )
            daemon = GatewayDaemon(settings=settings, events=events)
            stop = asyncio.Event()
            task = asyncio.create_task(daemon.run(stop))
            self.gateways.append((daemon, stop, task))
            return daemon

        return self.run(start())

    def add_searcher(self, searcher):
        self.run(searcher.start())
        self.searchers[searcher.searcher_id] = searcher
        if self.announcing is None:
            self.announcing = self.loop.create_task(self._announce())

    async def announce(self, searcher, body=None, address=None):
        address = address or next(iter(self.registries))
        path = f"/v1/searchers/{searcher.searcher_id}/announcement"
        return await self.call_control(
            address, "POST", path, body or searcher.announcement()
        )

    async def _announce(self):
        while True:
            for searcher in list(self.searchers.values()):
                if searcher.is_down:
                    continue
                try:
                    await self.announce(searcher)
                except (OSError, asyncio.IncompleteReadError):
                    continue  # the replica is stopped; retried in the next round
            await asyncio.sleep(0.1)

    async def call(
        self, address, *, method="GET", target="/", host="a.example", body=b"", **names
    ):
        """Sends one request on a new connection and returns the reply."""
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in names.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            line, headers, body = await read_message(reader)
        finally:
            writer.close()
        status = int(line.split(" ")[1])
        return CallerReply(status=status, headers=headers, body=body)

    def request(self, *, method="GET", target, request_id="r-1", body=b"", ms=2000):
        daemon = self.gateways[0][0]
        names = {NAMES.request_id: request_id, NAMES.deadline: str(ms)}
        return self.call(
            daemon.settings.listen, method=method, target=target, body=body, **names
        )

    def _take_lines(self, text):
        self.events.extend(json.loads(line) for line in text.split("\n"))

    def close(self):
        if self.announcing is not None:
            self.announcing.cancel()
        for _, stop, _ in self.gateways:
            stop.set()
        for _, stop, _, _ in self.registries.values():
            stop.set()
        tasks = [task for _, _, task in self.gateways]
        tasks += [task for _, _, task, _ in self.registries.values()]
        self.run(all_of(tasks))
        for searcher in self.searchers.values():
            searcher.server.close()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0.01))
        self.loop.close()
