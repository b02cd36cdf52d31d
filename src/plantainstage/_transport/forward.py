"""Links between entry hosts: batches of sub-requests and of their results.

Each host listens with one Pull0 socket and dials each peer with one Push0
socket. Items that are queued during one iteration of the event loop are sent as one
message. Sockets are polled through their file descriptors: awaiting pynng's own
futures costs 1.7 times the CPU per message (507 instead of 291 microseconds for
sending and receiving in one process).
"""

import asyncio
from collections.abc import Callable

import msgspec
import pynng
from loguru import logger

from plantainstage._decoding import decode_bytes
from plantainstage._messages import forward
from plantainstage._transport.rpc import nng_url

RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 200
RECEIVE_BUFFER_MESSAGES = 256
# A sub-request that the peer's connection did not accept within this time counts as
# not sent. The time is longer than a round trip between data centres (3 ms) and
# shorter than a deadline, so that another replica can still be tried.
ACCEPT_TIMEOUT_S = 0.03
# Sending is retried after this time if the socket did not accept a message.
SEND_RETRY_S = 0.001
PROBE_INTERVAL_S = 0.2
# A link counts as silent if a probe has no echo after this time. A busy peer
# replies within tens of milliseconds.
SILENT_AFTER_S = 0.8
# Keeps a message well below the size that a peer decodes in a millisecond.
MAX_BATCH_ITEMS = 64

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(forward.ForwardMessage)


class _Queued(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    queued_at: float
    item: object


class PeerLink:
    """The sending side of the link to one entry host.

    ``on_not_sent`` is called with each SubRequest that was certainly not accepted by
    the socket. ``on_lost`` is called when the connection is lost, with the ids of the
    sub-requests that are still queued here: those that the socket accepted before may
    or may not have arrived.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        peer_id: str,
        address: str,
        on_not_sent: Callable,
        on_lost: Callable,
        expects_results: Callable,
    ):
        self.entry_id = entry_id
        self.peer_id = peer_id
        self.address = address
        self.on_not_sent = on_not_sent
        self.on_lost = on_lost
        self.expects_results = expects_results
        self.loop = asyncio.get_running_loop()
        self.sub_requests = []
        self.results = []
        self.cancels = []
        self.unbatched = []
        self.flush_handle = None
        self.socket = None
        self.generation = 0
        self.probe_number = 0
        self.probe_sent_at = None
        self.results_unconfirmed = False
        self.closed = False
        self._dial()

    # ---- Queueing ----------------------------------------------------------

    def send_sub_request(self, sub_request):
        """Queues a sub-request for the next batch."""
        item = _Queued(queued_at=self.loop.time(), item=sub_request)
        self.sub_requests.append(item)
        self._flush_soon()

    def send_result(self, result):
        """Queues a result for the next batch."""
        self.results.append(result)
        self._flush_soon()

    def cancel(self, sub_request_id):
        """Queues a cancellation, or drops the sub-request if it is still queued."""
        for queued in self.sub_requests:
            if queued.item.sub_request_id == sub_request_id:
                self.sub_requests.remove(queued)
                self.on_not_sent(queued.item, "cancelled")
                return
        self.cancels.append(sub_request_id)
        self._flush_soon()

    def send_unbatched(self, message):
        """Queues a notice, probe or echo as a message of its own."""
        self.unbatched.append(message)
        self._flush_soon()

    def _flush_soon(self):
        if self.flush_handle is None and not self.closed:
            self.flush_handle = self.loop.call_soon(self._flush)

    # ---- Sending -----------------------------------------------------------

    def _flush(self):
        self.flush_handle = None
        if self.closed:
            return
        self._drop_overdue()
        while self._send_next():
            pass
        if self.sub_requests or self.results or self.cancels or self.unbatched:
            self.flush_handle = self.loop.call_later(SEND_RETRY_S, self._flush)

    def _send_next(self):
        """Sends one batch; returns whether it was sent and more may follow."""
        if self.unbatched:
            return self._try_send(self.unbatched[0], self.unbatched, 1)
        if self.cancels:
            batch = tuple(self.cancels[:MAX_BATCH_ITEMS])
            message = forward.CancelSubRequests(
                sender=self.entry_id, sub_request_ids=batch
            )
            return self._try_send(message, self.cancels, len(batch))
        if self.results:
            batch = tuple(self.results[:MAX_BATCH_ITEMS])
            message = forward.SubResults(sender=self.entry_id, items=batch)
            if not self._try_send(message, self.results, len(batch)):
                return False
            self.results_unconfirmed = True
            return True
        if self.sub_requests:
            batch = tuple(queued.item for queued in self.sub_requests[:MAX_BATCH_ITEMS])
            message = forward.SubRequests(sender=self.entry_id, items=batch)
            return self._try_send(message, self.sub_requests, len(batch))
        return False

    def _try_send(self, message, queue, count):
        try:
            # Without a send buffer, nng accepts a message only if an open
            # connection accepts it. TryAgain therefore proves that it was not sent.
            self.socket.send(_encoder.encode(message), block=False)
        except (pynng.TryAgain, pynng.Closed):
            return False
        del queue[:count]
        return True

    def _drop_overdue(self):
        limit = self.loop.time() - ACCEPT_TIMEOUT_S
        while self.sub_requests and self.sub_requests[0].queued_at < limit:
            self.on_not_sent(self.sub_requests.pop(0).item, "link_down")

    # ---- Connection --------------------------------------------------------

    def _dial(self):
        self.generation += 1
        generation = self.generation
        self.probe_sent_at = None
        self.socket = pynng.Push0(
            send_buffer_size=0,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )

        def removed(pipe):
            # Called on a thread of nng.
            if not self.loop.is_closed():
                self.loop.call_soon_threadsafe(self._connection_lost, generation)

        self.socket.add_post_pipe_remove_cb(removed)
        self.socket.dial(nng_url(self.address), block=False)

    def _connection_lost(self, generation):
        if generation == self.generation and not self.closed:
            logger.warning("connection to a peer lost", peer=self.peer_id)
            self.probe_sent_at = None
            self.on_lost(self.peer_id, self._queued_ids())

    def check(self):
        """Sends a probe where results depend on the link; redials a silent link.

        A probe is sent while results are expected and after results were sent: the
        requester cannot detect that this link is dead, and an owner without requests
        of its own expects no results and would otherwise never probe.
        """
        now = self.loop.time()
        if self.probe_sent_at is None:
            if self.expects_results(self.peer_id) or self.results_unconfirmed:
                self.results_unconfirmed = False
                self.probe_number += 1
                self.probe_sent_at = now
                self.send_unbatched(
                    forward.LinkProbe(sender=self.entry_id, number=self.probe_number)
                )
        elif now - self.probe_sent_at > SILENT_AFTER_S:
            logger.warning(
                "no echo from a peer in time; reconnecting", peer=self.peer_id
            )
            self._redial()

    def on_echo(self, number):
        """Ends the wait for an echo if it is that of the newest probe."""
        if number == self.probe_number:
            self.probe_sent_at = None

    def _queued_ids(self):
        return frozenset(queued.item.sub_request_id for queued in self.sub_requests)

    def _redial(self):
        self.unbatched.clear()
        self._close_socket()
        self._dial()
        self.on_lost(self.peer_id, self._queued_ids())

    def _close_socket(self):
        self.generation += 1
        self.socket.close()

    def close(self):
        """Closes the link; queued sub-requests count as not sent."""
        self.closed = True
        if self.flush_handle is not None:
            self.flush_handle.cancel()
        self._close_socket()
        queued, self.sub_requests = self.sub_requests, []
        for item in queued:
            self.on_not_sent(item.item, "link_down")

    @property
    def drained(self):
        """Whether nothing is queued."""
        return not (self.sub_requests or self.results or self.cancels or self.unbatched)


class ForwardLinks:
    """All links of one entry host.

    ``on_message`` is called with each decoded message of a peer, except for probes and
    echoes.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        address: str,
        on_message: Callable,
        on_not_sent: Callable,
        on_lost: Callable,
        expects_results: Callable,
    ):
        self.entry_id = entry_id
        self.address = address
        self.on_message = on_message
        self.on_not_sent = on_not_sent
        self.on_lost = on_lost
        self.expects_results = expects_results
        self.peers = {}
        self.socket = None
        self.check_task = None

    def start(self):
        """Listens for peers; raises pynng.AddressInUse."""
        self.socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        try:
            self.socket.listen(nng_url(self.address))
        except pynng.NNGException:
            self.socket.close()
            raise
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket.recv_fd, self._receive)
        self.check_task = loop.create_task(self._check())

    async def stop(self):
        """Closes all links."""
        asyncio.get_running_loop().remove_reader(self.socket.recv_fd)
        self.check_task.cancel()
        await asyncio.gather(self.check_task, return_exceptions=True)
        for link in self.peers.values():
            link.close()
        self.peers.clear()
        self.socket.close()

    def set_peers(self, hosts):
        """Dials new entry hosts and closes the links to removed or moved ones."""
        wanted = {
            host.entry_id: host.forward_address
            for host in hosts
            if host.entry_id != self.entry_id
        }
        for peer_id, link in list(self.peers.items()):
            if wanted.get(peer_id) != link.address:
                del self.peers[peer_id]
                link.close()
                self.on_lost(peer_id, frozenset())
        for peer_id, address in wanted.items():
            if peer_id not in self.peers:
                self.peers[peer_id] = PeerLink(
                    entry_id=self.entry_id,
                    peer_id=peer_id,
                    address=address,
                    on_not_sent=self.on_not_sent,
                    on_lost=self.on_lost,
                    expects_results=self.expects_results,
                )

    @property
    def drained(self):
        """Whether nothing is queued on any link."""
        return all(link.drained for link in self.peers.values())

    def _receive(self):
        # Receives a limited number of messages; the rest waits for the next iteration
        # of the event loop, so that other work is not delayed.
        for _ in range(RECEIVE_BUFFER_MESSAGES):
            try:
                data = self.socket.recv(block=False)
            except (pynng.TryAgain, pynng.Closed):
                return
            try:
                message = decode_bytes(_decoder, data)
            except msgspec.MsgspecError as error:
                logger.warning(
                    "message from a peer could not be decoded", error=str(error)
                )
                continue
            self._dispatch(message)

    def _dispatch(self, message):
        match message:
            case forward.LinkProbe(sender=sender, number=number):
                if sender in self.peers:
                    echo = forward.LinkEcho(sender=self.entry_id, number=number)
                    self.peers[sender].send_unbatched(echo)
            case forward.LinkEcho(sender=sender, number=number):
                if sender in self.peers:
                    self.peers[sender].on_echo(number)
            case _:
                self.on_message(message)

    async def _check(self):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for link in tuple(self.peers.values()):
                link.check()
