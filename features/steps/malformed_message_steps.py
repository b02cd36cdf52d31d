"""Steps for malformed messages between processes, and for handlers that fail."""

import asyncio
import contextlib
import random

import msgspec
import pynng
from behave import given, then, when

from plantainstage._control.peer_links import PeerLinks
from plantainstage._messages import serving
from plantainstage._messages.agreement import Envelope, MemberId, TimeoutNow
from plantainstage._transport.rpc import RpcClient, RpcServer, nng_url
from plantainstage.messages import control
from support.processes import free_address

GOOD_VERSION = 7
UNENCODABLE_VERSION = 8  # its reply holds a number above 64 bits
LIMIT_S = 10.0
encoder = msgspec.msgpack.Encoder()
error_decoder = msgspec.msgpack.Decoder(
    control.RequestRejected | control.OutcomeUnknown
)


def poll(version):
    return encoder.encode(serving.SyncRequest(host_id="h", version=version))


def decode_reply(data):
    try:
        return serving.REPLY_DECODER.decode(data)
    except msgspec.ValidationError:
        return error_decoder.decode(data)


def messages(kind, valid, source, count):
    """Returns random messages, or valid ones of which some bytes are changed."""
    if kind == "random bytes":
        return [source.randbytes(source.randrange(200)) for _ in range(count)]
    if kind == "deep nesting":
        return [b"\x91" * 60_000] * count
    if kind == "valid content":
        return [valid] * count
    altered = []
    for _ in range(count):
        data = bytearray(valid)
        for _ in range(1 + source.randrange(4)):
            data[source.randrange(len(data))] = source.randrange(256)
        altered.append(bytes(data[: source.randrange(1, len(data) + 1)]))
    return altered


@given("a server whose handler fails on each request but those for version 7")
def step_failing_server(context):
    context.sent = []


async def fail_unless_good(request):
    if request.version == UNENCODABLE_VERSION:
        return serving.SyncReply(version=2**64)
    if request.version != GOOD_VERSION:
        raise RuntimeError("unexpected")
    return serving.SyncReply(version=GOOD_VERSION)


async def ask_server(sent):
    """Sends messages to a new server; returns the replies, the good request's last."""
    server = RpcServer(
        address=free_address(),
        handler=fail_unless_good,
        request_decoder=serving.REQUEST_DECODER,
    )
    server.start()
    replies = []
    try:
        with pynng.Req0() as client:
            client.dial(nng_url(server.address))
            for data in (*sent, poll(GOOD_VERSION)):
                async with asyncio.timeout(LIMIT_S):
                    await client.asend(data)
                    replies.append(decode_reply(await client.arecv()))
    finally:
        await server.stop()
    return replies


@when("{count:d} requests fail")
def step_requests_fail(context, count):
    context.replies = asyncio.run(ask_server([poll(1)] * count))


@when("{count:d} requests get a reply that cannot be encoded")
def step_replies_unencodable(context, count):
    context.replies = asyncio.run(ask_server([poll(UNENCODABLE_VERSION)] * count))


@when("{count:d} messages of {kind} are sent to it, with seed {seed:d}")
def step_send_messages(context, count, kind, seed):
    source = random.Random(seed)
    sent = messages(kind, poll(GOOD_VERSION), source, count)
    context.replies = asyncio.run(ask_server(sent))


@then("each of them has an unknown outcome")
def step_unknown(context):
    assert set(context.replies[:-1]) == {control.OutcomeUnknown()}, context.replies


@then("a request for version 7 is answered")
def step_answered(context):
    assert context.replies[-1] == serving.SyncReply(version=GOOD_VERSION)


# ---- Cancelled calls ------------------------------------------------------------------


async def call_again_and_again(client):
    while True:
        with contextlib.suppress(TimeoutError, pynng.NNGException):
            await client.call(serving.SyncRequest(host_id="h"), timeout_s=LIMIT_S)
        await asyncio.sleep(0)


async def cancel_while_closing(order):
    """Returns whether the task ends after it was cancelled."""
    called = asyncio.Event()

    async def never_reply(request):
        called.set()
        await asyncio.Event().wait()

    server = RpcServer(
        address=free_address(),
        handler=never_reply,
        request_decoder=serving.REQUEST_DECODER,
    )
    server.start()
    client = RpcClient(address=server.address, reply_decoder=serving.REPLY_DECODER)
    task = asyncio.create_task(call_again_and_again(client))
    await called.wait()
    endings = [client.close, task.cancel]
    for end in endings if order == "the socket first" else reversed(endings):
        end()
    done, _ = await asyncio.wait([task], timeout=LIMIT_S)
    if not done:
        # Cancelled while it does not wait for the socket.
        client.call = asyncio.Event().wait
        task.cancel()
    client.close()
    await server.stop()
    return bool(done)


@given("a task that calls a server which never replies, again after each error")
def step_calling_task(context):
    context.ended = None


@when("it is cancelled and its socket is closed at the same moment, {order}")
def step_cancel_while_closing(context, order):
    context.ended = asyncio.run(cancel_while_closing(order))


@then("the task ends")
def step_task_ends(context):
    assert context.ended


# ---- Links between replicas -----------------------------------------------------------


def frame(sequence):
    return encoder.encode(
        Envelope(
            sender=MemberId(replica_id="a", incarnation="1"),
            receiver=None,
            reply_address="127.0.0.1:9",
            process="p",
            sequence=sequence,
            heard_process="",
            heard_sequence=0,
            body=TimeoutNow(term=sequence),
        )
    )


@given("the receiving end of a link between replicas")
def step_link(context):
    context.fails_first = False


@given("the receiving end of a link between replicas, which fails on the first frame")
def step_failing_link(context):
    context.fails_first = True


@when("{count:d} frames of {kind} are sent to it, with seed {seed:d}")
def step_send_frames(context, count, kind, seed):
    sent = messages(kind, frame(1), random.Random(seed), count)
    context.received = asyncio.run(send_frames(sent, context.fails_first))


async def send_frames(sent, fails_first):
    """Sends frames to new links; returns the terms received up to the valid frame."""
    received = []
    done = asyncio.Event()
    failures = [RuntimeError("unexpected")] * fails_first

    def take(envelope):
        if failures:
            raise failures.pop()
        received.append(envelope.body)
        if envelope.body == TimeoutNow(term=GOOD_VERSION):
            done.set()

    links = PeerLinks(
        member_id=MemberId(replica_id="b", incarnation="2"),
        process="q",
        address=free_address(),
        clock=asyncio.get_running_loop().time,
    )
    links.start(take)
    try:
        with pynng.Push0() as client:
            client.dial(nng_url(links.address))
            for data in (*sent, frame(GOOD_VERSION)):
                await client.asend(data)
            async with asyncio.timeout(LIMIT_S):
                await done.wait()
    finally:
        await links.stop()
    return received


@then("a valid frame is received")
def step_valid_received(context):
    assert context.received[-1] == TimeoutNow(term=GOOD_VERSION), context.received
