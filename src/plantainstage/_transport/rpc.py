"""Requests and replies between the programs of this package, over pynng.

A client closes its socket and dials again when a reply is overdue: an established
connection may be permanently dead while a new one works.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import pynng
from loguru import logger

from plantainstage._decoding import decode_bytes
from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control

SERVER_CONTEXTS = 64  # requests that one server handles at the same time
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
# nng resends a request after this time. The time is long enough to disable that,
# since the clients here resend a request themselves, to another replica.
RESEND_TIME_MS = 3_600_000
RETRY_PAUSE_S = 0.05
# A replica that accepts no connection within this time is treated as down. The time
# is longer than a round trip between regions.
CONNECT_TIMEOUT_S = 0.3
# Followers report a dead leader until they elect another, within about 1 s. Dialling
# it would use up a whole attempt, so that it is skipped for this time. A live leader
# whose connection was lost is asked again well within a lease of 2 s.
AVOID_LOST_S = 0.8

# Limits what a peer in trouble can make a process receive; the largest message holds a
# configuration document.
MAX_MESSAGE_BYTES = 24 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
CONTROL_REQUEST_DECODER = msgspec.msgpack.Decoder(control.ControlRequest)
CONTROL_REPLY_DECODER = msgspec.msgpack.Decoder(control.ControlReply)


def nng_url(address):
    """Returns the nng URL of an ``IP:port`` address."""
    return f"tcp://{address}"


class RpcServer:
    """Listens on ``address`` and passes each request to ``handler``.

    ``handler`` takes a request that ``request_decoder`` has decoded and returns a
    reply. A request that cannot be decoded gets ``RequestRejected`` and does not
    affect other requests, and neither does one whose handler fails or whose reply
    cannot be encoded. ``failed_requests`` counts these; the log has the first of each
    kind.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Callable[[control.ControlRequest], Awaitable[control.ControlReply]],
        request_decoder: msgspec.msgpack.Decoder = CONTROL_REQUEST_DECODER,
    ):
        self.address = address
        self.handler = handler
        self.request_decoder = request_decoder
        self.socket = None
        self.tasks = []
        self.stopping = False
        self.active_requests = 0
        self.failed_requests = 0
        self.logged_failures = set()  # (type of the request, type of the error)
        self.idle = asyncio.Event()
        self.idle.set()

    def start(self):
        """Listens and starts the workers; raises pynng.AddressInUse."""
        self.socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            self.socket.listen(nng_url(self.address))
        except pynng.NNGException:
            self.socket.close()
            raise
        self.tasks = [
            asyncio.create_task(self._serve()) for _ in range(SERVER_CONTEXTS)
        ]

    async def wait_idle(self, *, timeout_s):
        """Waits until no request is being handled, at most for ``timeout_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()

    async def stop(self):
        """Closes the socket and ends the workers.

        pynng drops a cancellation that arrives together with the result of the
        operation, so that the workers also check ``stopping``.
        """
        self.stopping = True
        if self.socket is not None:
            self.socket.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self):
        context = self.socket.new_context()
        try:
            while not self.stopping:
                await self._serve_one(context)
        except pynng.Closed:
            return
        finally:
            context.close()

    async def _serve_one(self, context):
        data = await context.arecv()
        self.active_requests += 1
        self.idle.clear()
        try:
            await context.asend(await self._reply_to(data))
        except pynng.Closed:
            raise
        except pynng.NNGException as error:
            logger.warning("reply could not be sent", error=repr(error))
        finally:
            self.active_requests -= 1
            if not self.active_requests:
                self.idle.set()

    async def _reply_to(self, data) -> bytes:
        """Returns the encoded reply; one request must not end its worker."""
        try:
            request = decode_bytes(self.request_decoder, data)
        except msgspec.MsgspecError as error:
            reply = control.RequestRejected(
                code="malformed",
                message=f"The request could not be decoded: {error}.",
                remedy="Use the same release of plantainstage on both sides.",
            )
            return _encoder.encode(reply)
        try:
            return _encoder.encode(await self.handler(request))
        except Exception as error:
            self._record_failure(request, error)
            return _encoder.encode(control.OutcomeUnknown())

    def _record_failure(self, request, error):
        """Counts a failure; logs the first of its kind, since peers poll often."""
        self.failed_requests += 1
        kind = (type(request).__name__, type(error).__name__)
        if kind not in self.logged_failures:
            self.logged_failures.add(kind)
            logger.exception("request handler failed", request=kind[0])


def _raise_if_cancelled():
    """Raises CancelledError if pynng has dropped a cancellation of this task.

    It does so if the cancellation arrives together with a result, or with the error of
    a socket that closes. A caller that goes on after errors would never end.
    """
    if asyncio.current_task().cancelling():
        raise asyncio.CancelledError


class RpcClient:
    """Calls the server at one address; several calls may be pending at once.

    ``reconnect_max_ms`` limits the pause between dials; a change takes effect with the
    next socket.
    """

    def __init__(
        self,
        *,
        address: str,
        reply_decoder: msgspec.msgpack.Decoder = CONTROL_REPLY_DECODER,
    ):
        self.address = address
        self.reply_decoder = reply_decoder
        self.reconnect_max_ms = RECONNECT_MAX_MS
        self.socket = None
        self.connected = asyncio.Event()
        self.lost_at = float("-inf")

    def close(self):
        """Closes the socket; pending calls fail with pynng.Closed."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _connected_socket(self):
        if self.socket is None:
            self.socket = socket = pynng.Req0(
                resend_time=RESEND_TIME_MS,
                recv_max_size=MAX_MESSAGE_BYTES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=self.reconnect_max_ms,
            )
            loop = asyncio.get_running_loop()
            self.connected = connected = asyncio.Event()

            def added(pipe):
                # Called on a thread of nng.
                if not loop.is_closed():
                    loop.call_soon_threadsafe(connected.set)

            def removed(pipe):
                # Called on a thread of nng.
                if not loop.is_closed():
                    loop.call_soon_threadsafe(self._connection_lost, socket)

            socket.add_post_pipe_connect_cb(added)
            socket.add_post_pipe_remove_cb(removed)
            socket.dial(nng_url(self.address), block=False)
        return self.socket

    async def _wait_connected(self, socket, timeout_s):
        """Raises TimeoutError if the replica accepts no connection in time."""
        if self.connected.is_set():
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self.connected.wait()
        except TimeoutError:
            if self.connected.is_set():
                # Accepted in time; this process was late to notice.
                return
            self._connection_lost(socket)
            raise

    def _connection_lost(self, socket):
        """Ends the calls on a lost connection, so that another replica is asked.

        They would otherwise wait for a reply until their time-out.
        """
        if self.socket is socket:
            self.close()
            self.lost_at = asyncio.get_running_loop().time()

    async def call(self, request, *, timeout_s):
        """Returns the decoded reply; raises TimeoutError or NNGException."""
        limit = asyncio.get_running_loop().time() + timeout_s
        socket = self._connected_socket()
        await self._wait_connected(socket, min(timeout_s, CONNECT_TIMEOUT_S))
        context = socket.new_context()
        try:
            # Each operation has its own time-out: pynng drops a cancellation that
            # arrives together with a result, and the next operation would have none.
            async with asyncio.timeout_at(limit):
                await context.asend(_encoder.encode(request))
            async with asyncio.timeout_at(limit):
                data = await context.arecv()
            _raise_if_cancelled()
        except (TimeoutError, pynng.NNGException) as error:
            if isinstance(error, TimeoutError) and self.socket is socket:
                self.close()
            _raise_if_cancelled()
            raise
        finally:
            # Closed with its socket already; the error would hide a cancellation.
            with contextlib.suppress(pynng.Closed):
                context.close()
        return decode_bytes(self.reply_decoder, data)


class ControlClient:
    """Finds the leader among the control replicas and calls it.

    A call is repeated with other replicas until a leader replies or the time-out has
    passed. Every ``ControlRequest`` may safely be repeated.
    """

    def __init__(self, *, addresses: tuple[str, ...], attempt_timeout_s: float = 1.0):
        self.addresses = addresses
        self.attempt_timeout_s = attempt_timeout_s
        self.clients = {}
        self.current = addresses[0]

    def close(self):
        """Closes all sockets."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    async def call(self, request, *, timeout_s):
        """Returns the leader's reply or raises ControlUnavailableError."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        last_error = ""
        while (remaining := deadline - loop.time()) > 0:
            asked = self.current
            try:
                reply = await self._client(asked).call(
                    request, timeout_s=min(remaining, self.attempt_timeout_s)
                )
            except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
                last_error = f"{asked}: {type(error).__name__}"
                self._rotate(asked)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            match reply:
                case control.NotLeader(leader_address=""):
                    last_error = f"{asked}: no leader known"
                    self._rotate(asked)
                    await asyncio.sleep(RETRY_PAUSE_S)
                case control.NotLeader(leader_address=address):
                    last_error = f"{asked}: leader is {address}"
                    if address == asked or self._recently_lost(address):
                        await asyncio.sleep(RETRY_PAUSE_S)
                    else:
                        self.current = address
                case control.OutcomeUnknown():
                    last_error = f"{asked}: outcome unknown"
                    self._rotate(asked)
                    await asyncio.sleep(RETRY_PAUSE_S)
                case _:
                    return reply
        raise ControlUnavailableError(
            addresses=self.addresses,
            waited_ms=round(timeout_s * 1000),
            last_error=last_error,
        )

    def _client(self, address):
        if address not in self.clients:
            self.clients[address] = RpcClient(address=address)
        return self.clients[address]

    def _recently_lost(self, address):
        now = asyncio.get_running_loop().time()
        return now - self._client(address).lost_at < AVOID_LOST_S

    def _rotate(self, asked):
        """Chooses the next replica, unless another call has already done so."""
        if self.current != asked:
            return
        first = 0
        if asked in self.addresses:
            first = self.addresses.index(asked) + 1
        following = (*self.addresses[first:], *self.addresses[:first])
        usable = (item for item in following if not self._recently_lost(item))
        self.current = next(usable, following[0])
