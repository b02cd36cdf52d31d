"""Links between control replicas: pynng Push0 to each peer, one Pull0.

Frames carry a sequence number and acknowledge the peer's frames. A link whose frames
stay unacknowledged for longer than ``ACK_TIMEOUT_S`` is closed and dialled again,
because an established connection may be permanently dead while a new one works.
Frames in between are lost; the agreement protocol repeats those that matter.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec
import pynng
from loguru import logger

from plantainstage._decoding import decode_bytes
from plantainstage._messages.agreement import Envelope, MemberId
from plantainstage._transport.rpc import RECONNECT_MAX_MS, RECONNECT_MIN_MS, nng_url

ACK_TIMEOUT_S = 1.0  # several heartbeats and one usual sync
MAX_QUEUED_FRAMES = 256  # for each peer; the oldest frames are dropped
MAX_FRAME_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class PeerLink:
    """The outgoing link to one address."""

    def __init__(self, *, address: str, clock: Callable[[], float]):
        self.address = address
        self.clock = clock
        self.queue = deque(maxlen=MAX_QUEUED_FRAMES)
        self.wake = asyncio.Event()
        self.socket = None
        self.task = None
        self.stopping = False
        self.sequence = 0
        self.acknowledged = 0
        self.unacknowledged_since = None
        self.heard_process = ""
        self.heard_sequence = 0

    def start(self):
        """Starts the task that owns the socket."""
        self.task = asyncio.create_task(self._run())

    async def stop(self):
        """Closes the socket, which ends a send in progress, and ends the task.

        Cancelling a send that has just completed would block forever in pynng.
        """
        self.stopping = True
        self.wake.set()
        self._close()
        await asyncio.gather(self.task, return_exceptions=True)

    def next_sequence(self):
        """Returns the sequence number of the next frame."""
        self.sequence += 1
        return self.sequence

    def put(self, frame: bytes):
        """Queues a frame; the oldest one is dropped when the queue is full."""
        self.queue.append(frame)
        self.wake.set()

    def record_received(self, envelope: Envelope, own_process: str):
        """Records a frame from the peer and what it acknowledges."""
        if envelope.process != self.heard_process:
            self.heard_process = envelope.process
            self.heard_sequence = 0
        self.heard_sequence = max(self.heard_sequence, envelope.sequence)
        if envelope.heard_process == own_process:
            if envelope.heard_sequence > self.acknowledged:
                self.acknowledged = envelope.heard_sequence
                self.unacknowledged_since = self.clock()
            if self.acknowledged >= self.sequence:
                self.unacknowledged_since = None

    async def _run(self):
        while not self.stopping:
            await self.wake.wait()
            self.wake.clear()
            while self.queue and not self.stopping:
                await self._send(self.queue.popleft())

    async def _send(self, frame):
        now = self.clock()
        if self.unacknowledged_since is None:
            self.unacknowledged_since = now
        elif now - self.unacknowledged_since > ACK_TIMEOUT_S:
            logger.debug("peer link closed: no acknowledgement", address=self.address)
            self._close()
            self.unacknowledged_since = now
        try:
            await self._connected_socket().asend(frame)
        except pynng.Timeout:
            # No connection accepted the frame in time; it and all queued ones are lost.
            self.queue.clear()
        except pynng.NNGException as error:
            logger.debug(
                "peer link failed", address=self.address, error=type(error).__name__
            )
            self._close()

    def _connected_socket(self):
        if self.socket is None:
            self.socket = pynng.Push0(
                send_timeout=round(ACK_TIMEOUT_S * 1000),
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            self.socket.dial(nng_url(self.address), block=False)
        return self.socket

    def _close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class PeerLinks:
    """All links of one replica."""

    def __init__(
        self,
        *,
        member_id: MemberId,
        process: str,
        address: str,
        clock: Callable[[], float],
    ):
        self.member_id = member_id
        self.process = process
        self.address = address
        self.clock = clock
        self.on_frame = None
        self.links = {}
        self.known_addresses = {}
        self.socket = None
        self.task = None

    def start(self, on_frame: Callable[[Envelope], None]):
        """Listens for peers and passes on each frame for this replica.

        Raises pynng.AddressInUse.
        """
        self.on_frame = on_frame
        self.socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        try:
            self.socket.listen(nng_url(self.address))
        except pynng.NNGException:
            self.socket.close()
            raise
        self.task = asyncio.create_task(self._receive())

    async def stop(self):
        """Closes all sockets."""
        if self.socket is not None:
            # Ends the receiving task; PeerLink.stop gives the reason.
            self.socket.close()
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
        for link in self.links.values():
            await link.stop()
        self.links.clear()

    def send(self, *, receiver: MemberId | None, address: str, body):
        """Queues a message; without an address, to the last known one."""
        address = address or self.known_addresses.get(receiver, "")
        if not address or address == self.address:
            return
        link = self._link(address)
        envelope = Envelope(
            sender=self.member_id,
            receiver=receiver,
            reply_address=self.address,
            process=self.process,
            sequence=link.next_sequence(),
            heard_process=link.heard_process,
            heard_sequence=link.heard_sequence,
            body=body,
        )
        link.put(_encoder.encode(envelope))

    def _link(self, address):
        link = self.links.get(address)
        if link is None:
            link = PeerLink(address=address, clock=self.clock)
            link.start()
            self.links[address] = link
        return link

    async def _receive(self):
        while True:
            try:
                data = await self.socket.arecv()
                envelope = decode_bytes(_decoder, data)
            except pynng.Closed:
                return
            except (pynng.NNGException, msgspec.MsgspecError) as error:
                logger.warning("invalid peer frame dropped", error=repr(error))
                continue
            try:
                self._handle_envelope(envelope)
            except Exception:
                # Without this task the replica would no longer hear its group.
                logger.exception("peer frame failed", sender=str(envelope.sender))

    def _handle_envelope(self, envelope):
        self._link(envelope.reply_address).record_received(envelope, self.process)
        if envelope.receiver not in (None, self.member_id):
            # The frame is for an earlier folder at this address.
            return
        self.known_addresses[envelope.sender] = envelope.reply_address
        self.on_frame(envelope)
