"""Machines whose processes run in one event loop: their network, disks and tasks."""

import asyncio
from contextvars import ContextVar
from dataclasses import dataclass, field

import msgspec

from plantainstage._decoding import decode_bytes
from plantainstage._errors import StorageFailedError
from plantainstage._messages import serving
from plantainstage._messages.agreement import Envelope
from plantainstage._registry.recent import RecentFile
from plantainstage._transport.rpc import CONNECT_TIMEOUT_S
from routed_model.virtual_loop import VirtualTimeLoop

IN_DATA_CENTRE_S = 0.0001
BETWEEN_DATA_CENTRES_S = 0.0009
SYNC_S = 0.001
ROUNDING_S = 1e-6

# The start of a machine whose code runs at the moment.
RUNNING = ContextVar("RUNNING")

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


@dataclass(kw_only=True, eq=False)
class Machine:
    """A machine with its disk; ``lag_s`` delays each message that it handles."""

    name: str
    data_centre: str
    lag_s: float = 0.0
    sync_s: float = SYNC_S
    stalled_until: float = 0.0
    is_full: bool = False
    disk_free_at: float = 0.0


@dataclass(kw_only=True, eq=False)
class Start:
    """One start of the process of a machine; ``tasks`` ends with it."""

    machine: Machine
    is_up: bool = True
    tasks: set = field(default_factory=set)

    def kill(self):
        """Ends the process at once; calls of its disk in progress never return."""
        self.is_up = False
        for task in list(self.tasks):
            task.cancel()


class ModelLoop(VirtualTimeLoop):
    """Counts tasks to the start that created them, and models calls of disks."""

    def __init__(self):
        super().__init__()
        self.set_task_factory(_create_task)

    def call_at(self, when, callback, *args, context=None):
        """Calls back a little after ``when``.

        A sum of intervals may be rounded down, and a task that waits for the exact time
        would then be called again and again before it.
        """
        later = when + ROUNDING_S
        return super().call_at(later, callback, *args, context=context)

    def run_in_executor(self, executor, func, *args):
        """Runs a call after the time that the disk of the machine takes."""
        start = RUNNING.get(None)
        result = self.create_future()
        if start is None or not start.is_up or executor is None:
            _settle(result, func, args)
            return result
        machine = start.machine
        begins_at = max(self.time(), machine.disk_free_at, machine.stalled_until)
        machine.disk_free_at = begins_at + machine.sync_s
        self.call_at(machine.disk_free_at, _finish_call, start, result, func, args)
        return result


def _create_task(loop, coro, context=None):
    task = asyncio.Task(coro, loop=loop, context=context)
    start = context.get(RUNNING) if context is not None else RUNNING.get(None)
    if start is not None:
        start.tasks.add(task)
        task.add_done_callback(start.tasks.discard)
    return task


def _finish_call(start, result, func, args):
    if not start.is_up or result.cancelled():
        return
    machine = start.machine
    if asyncio.get_running_loop().time() < machine.stalled_until:
        loop = asyncio.get_running_loop()
        machine.disk_free_at = machine.stalled_until + machine.sync_s
        loop.call_at(machine.disk_free_at, _finish_call, start, result, func, args)
    elif machine.is_full:
        _settle_full(result, func, machine)
    else:
        _settle(result, func, args)


def _settle(result, func, args):
    try:
        result.set_result(func(*args))
    except Exception as error:
        result.set_exception(error)


def _settle_full(result, func, machine):
    """Ends a call that found no room; RecentFile reports that with its result."""
    if isinstance(getattr(func, "__self__", None), RecentFile):
        result.set_result(False)
        return
    error = StorageFailedError(path=machine.name, detail="full", remedy="")
    result.set_exception(error)


class ModelNetwork:
    """Which machines reach each other, and who listens at which address.

    ``blocked`` holds pairs of names in both orders. Bytes of a blocked pair are lost.
    """

    def __init__(self):
        self.blocked = set()
        self.servers = {}  # sync address -> ModelServer
        self.links = {}  # peer address -> ModelLinks

    def block(self, one: str, other: str):
        """Cuts two machines off from each other."""
        self.blocked |= {(one, other), (other, one)}

    def unblock(self, one: str, other: str):
        """Joins two machines again."""
        self.blocked -= {(one, other), (other, one)}

    def reaches(self, one: Machine, other: Machine) -> bool:
        """Whether bytes of one machine get to another one."""
        return (one.name, other.name) not in self.blocked

    @staticmethod
    def delay_s(sender: Machine, receiver: Machine) -> float:
        """Returns how long a message takes until it is handled."""
        near = sender.data_centre == receiver.data_centre
        return (IN_DATA_CENTRE_S if near else BETWEEN_DATA_CENTRES_S) + receiver.lag_s


class ModelServer:
    """Stands in for RpcServer."""

    network = None  # ModelNetwork of the run

    def __init__(self, *, address, handler, request_decoder):
        self.address = address
        self.handler = handler
        self.request_decoder = request_decoder
        self.start_of_machine = RUNNING.get()
        self.failed_requests = 0

    def start(self):
        """Makes the server known at its address."""
        self.network.servers[self.address] = self

    async def stop(self):
        """Takes the server away from its address."""
        if self.network.servers.get(self.address) is self:
            del self.network.servers[self.address]


class ModelClient:
    """Stands in for RpcClient: a call without a reply in time raises TimeoutError."""

    network = None  # ModelNetwork of the run

    def __init__(self, *, address, reply_decoder=serving.REPLY_DECODER):
        self.address = address
        self.reply_decoder = reply_decoder
        self.own = RUNNING.get().machine
        self.reconnect_max_ms = 0

    def close(self):
        """Does nothing: the model has no connections."""

    async def call(self, request, *, timeout_s):
        """Returns the decoded reply; raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            return await self._exchange(_encoder.encode(request))

    async def _exchange(self, data):
        server = self.network.servers.get(self.address)
        if server is None or not server.start_of_machine.is_up:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError
        peer = server.start_of_machine.machine
        await self._deliver(self.own, peer)
        request = decode_bytes(server.request_decoder, data)
        reply = _encoder.encode(await _run_at(server, request))
        await self._deliver(peer, self.own)
        if not server.start_of_machine.is_up:
            await _never()
        return decode_bytes(self.reply_decoder, reply)

    async def _deliver(self, sender, receiver):
        await asyncio.sleep(self.network.delay_s(sender, receiver))
        if not self.network.reaches(sender, receiver):
            await _never()


async def _run_at(server, request):
    """Runs the handler as code of the server's machine."""
    token = RUNNING.set(server.start_of_machine)
    try:
        return await server.handler(request)
    finally:
        RUNNING.reset(token)


async def _never():
    await asyncio.get_running_loop().create_future()


class ModelLinks:
    """Stands in for PeerLinks: frames of a blocked pair are lost."""

    network = None  # ModelNetwork of the run

    def __init__(self, *, member_id, process, address, clock):
        self.member_id = member_id
        self.process = process
        self.address = address
        self.start_of_machine = RUNNING.get()
        self.on_frame = None
        self.known_addresses = {}

    def start(self, on_frame):
        """Makes the replica known at its address."""
        self.on_frame = on_frame
        self.network.links[self.address] = self

    async def stop(self):
        """Takes the replica away from its address."""
        if self.network.links.get(self.address) is self:
            del self.network.links[self.address]

    def send(self, *, receiver, address, body):
        """Sends a message; without an address, to the last known one."""
        address = address or self.known_addresses.get(receiver, "")
        target = self.network.links.get(address)
        if target is None or target is self:
            return
        envelope = Envelope(
            sender=self.member_id,
            receiver=receiver,
            reply_address=self.address,
            process=self.process,
            sequence=0,
            heard_process="",
            heard_sequence=0,
            body=body,
        )
        own, peer = self.start_of_machine.machine, target.start_of_machine.machine
        asyncio.get_running_loop().call_later(
            self.network.delay_s(own, peer),
            self._deliver,
            address,
            _encoder.encode(envelope),
        )

    def _deliver(self, address, data):
        target = self.network.links.get(address)
        if target is None or not target.start_of_machine.is_up:
            return
        peer = target.start_of_machine.machine
        if self.network.reaches(self.start_of_machine.machine, peer):
            target.receive(decode_bytes(_envelope_decoder, data))

    def receive(self, envelope):
        """Passes on a frame that is for this replica."""
        if envelope.receiver in (None, self.member_id):
            self.known_addresses[envelope.sender] = envelope.reply_address
            self.on_frame(envelope)
