"""A TCP proxy with which scenarios inject network faults between two programs.

All links run in one thread with its own event loop. A held link keeps its
connections open and delivers nothing, as in a network partition: the bytes stay with
the sender until the link is released.
"""

import asyncio
import contextlib
import enum
import socket
import struct
import threading
from dataclasses import dataclass, field

from support.socket_owners import owns

CHUNK_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time: RST


class Direction(enum.Enum):
    """A direction, as seen from the program that opened the connection."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


@dataclass(eq=False, kw_only=True)
class _Connection:
    writers: list = field(default_factory=list)
    silent: bool = False
    is_cut: bool = False  # its client is cut off from all servers

    def is_of(self, pid):
        """Whether a program opened the connection."""
        writer = self.writers[0]
        client = writer.get_extra_info("peername")
        server = writer.get_extra_info("sockname")
        return owns(pid, client, server)


def _reset(connection):
    for writer in connection.writers:
        raw = writer.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        writer.transport.abort()


class Link:
    """Listens on ``address`` and forwards connections to ``target``."""

    def __init__(self, network, *, target: str):
        self.network = network
        self.target = target
        self.address = ""
        self.server = None
        self.connections = set()
        self.tasks = set()
        self.opened = 0
        self.resets = 0
        self.held = False
        self.dropped_directions = frozenset()
        self.delay_s = 0.0
        self.changed = asyncio.Event()

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def _refuse(self):
        self.server.close()

    async def _listen_again(self):
        if self.server.is_serving():
            return
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    async def close(self):
        self.server.close()
        self._reset_all()
        self._wake()

    def hold(self):
        """Stops delivery on existing and new connections, without closing them."""
        self.network.call(self._set, "held", True)

    def release(self):
        """Ends ``hold``, ``drop``, ``delay`` and ``refuse``; held bytes are delivered."""
        self.network.call(self._release)
        self.network.run(self._listen_again())

    def silence_existing(self):
        """Permanently stops delivery on the existing connections; new ones work."""
        self.network.call(self._silence_existing)

    def drop(self, *directions):
        """Discards all bytes in these directions."""
        self.network.call(self._set, "dropped_directions", frozenset(directions))

    def delay(self, seconds):
        """Delays each chunk by ``seconds``, in both directions."""
        self.network.call(self._set, "delay_s", seconds)

    def refuse(self):
        """Refuses new connections until ``release``."""
        self.network.call(self._refuse)

    def reset(self):
        """Resets the existing connections; new ones work."""
        self.network.call(self._reset_all)

    def live_connection_count(self):
        """Returns the number of open connections that are not permanently silent."""
        return sum(not connection.silent for connection in list(self.connections))

    def _set(self, name, value):
        setattr(self, name, value)
        self._wake()

    def _release(self):
        self.held, self.dropped_directions, self.delay_s = False, frozenset(), 0.0
        self._wake()

    def _silence_existing(self):
        for connection in self.connections:
            connection.silent = True

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _reset_all(self):
        for connection in self.connections:
            _reset(connection)

    def _accept(self, reader, writer):
        # Not a coroutine: asyncio would log an error when it is cancelled.
        task = asyncio.ensure_future(self._relay(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _relay(self, reader, writer):
        connection = _Connection(writers=[writer])
        self.connections.add(connection)
        connection.is_cut = any(map(connection.is_of, self.network.cut_pids))
        self.opened += 1
        try:
            # A new connection must not reach the server while the link is held.
            await self._wait_until_open(connection)
            host, _, port = self.target.rpartition(":")
            server_reader, server_writer = await asyncio.open_connection(host, port)
            connection.writers.append(server_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(connection, reader, server_writer, Direction.TO_SERVER)
                )
                group.create_task(
                    self._pump(connection, server_reader, writer, Direction.TO_CLIENT)
                )
        except* OSError:
            # One side reset the connection; the other is closed below.
            self.resets += 1
        finally:
            self.connections.discard(connection)
            for item in connection.writers:
                item.close()

    async def _wait_until_open(self, connection):
        while self.held or connection.silent or connection.is_cut:
            await self.changed.wait()

    async def _pump(self, connection, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._wait_until_open(connection)
            if direction in self.dropped_directions:
                continue
            writer.write(data)
            await writer.drain()
        await self._wait_until_open(connection)
        with contextlib.suppress(OSError):
            writer.write_eof()


class Network:
    """All links of a scenario and their thread; must be closed at the end."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = []
        self.cut_pids = set()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def cut_off(self, pid, *, resets=False):
        """Cuts a program off from all servers; ``resets`` resets its connections."""
        self.call(self._cut_off, pid, resets)

    def rejoin(self, pid):
        """Ends ``cut_off``; held bytes are delivered."""
        self.call(self._rejoin, pid)

    def _cut_off(self, pid, resets):
        self.cut_pids.add(pid)
        for link in self.links:
            for connection in list(link.connections):
                if connection.is_of(pid):
                    connection.is_cut = True
                    if resets:
                        _reset(connection)

    def _rejoin(self, pid):
        self.cut_pids.discard(pid)
        for link in self.links:
            for connection in link.connections:
                connection.is_cut = connection.is_cut and bool(self.cut_pids)
            link._wake()

    def call(self, function, *arguments):
        """Runs a function in the network's thread and waits for it."""

        async def run():
            return function(*arguments)

        return self.run(run())

    def run(self, coroutine):
        """Runs a coroutine in the network's thread and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(60)

    def link(self, target):
        """Opens a link to ``target`` (``IP:port``)."""

        async def open_link():
            link = Link(self, target=target)
            await link.listen()
            return link

        link = self.run(open_link())
        self.links.append(link)
        return link

    def close(self):
        """Closes all links and ends the thread."""
        self.run(self._close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _close(self):
        for link in self.links:
            await link.close()
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Transports close their sockets in the next iterations of the loop.
        for _ in range(3):
            await asyncio.sleep(0)
