"""Steps for HTTP exchanges over a fake transport."""

import asyncio

from behave import given, then, when

from plantainstage._errors import ExchangeError
from plantainstage._transport.http_connection import HttpConnection
from plantainstage._transport.reply_stream import ReplyStream

ADDRESS = "127.0.0.1:7001"
CHUNK_BYTES = 5000
# An exchange schedules at most one further loop iteration after each 256 KiB.
SETTLE_ITERATIONS = 8
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
HEADS = {
    "of stated length": HEAD + b"Content-Length: %d\r\n\r\n",
    "in chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "until the stream's end": HEAD + b"\r\n",
}
PARTIAL_REPLIES = {
    "before any byte": b"",
    "in the middle of a head": HEAD,
    "in the middle of a body": HEADS["of stated length"] % 9 + b"[1,2",
}


class FakeTransport:
    """Records the bytes written; the steps act as the searcher."""

    def __init__(self, stream):
        self.stream = stream
        self.written = []
        self.paused = False
        self.closing = False
        stream.connection_made(self)

    def write(self, data):
        self.written.append(data)

    def is_closing(self):
        return self.closing

    def abort(self):
        if not self.closing:
            self.closing = True
            asyncio.get_running_loop().call_soon(self.stream.connection_lost, None)

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def receive(self, data):
        """Delivers bytes as asyncio's transport does."""
        while data:
            buffer = self.stream.get_buffer(-1)
            part, data = data[: len(buffer)], data[len(buffer) :]
            buffer[: len(part)] = part
            self.stream.buffer_updated(len(part))

    def end(self):
        """Ends the stream as asyncio's transport does."""
        self.stream.eof_received()
        self.abort()


def chunked(body):
    """Encodes the body in HTTP/1.1 chunks."""
    starts = range(0, len(body), CHUNK_BYTES)
    parts = [body[start : start + CHUNK_BYTES] for start in starts]
    return b"".join(b"%x\r\n%s\r\n" % (len(item), item) for item in (*parts, b""))


def run_action(context, action):
    """Runs an action in the event loop, and then the callbacks that it scheduled."""

    async def run():
        action(context)
        await settle()

    context.runner.run(run())


async def settle():
    """Runs the callbacks that are scheduled, and those that they schedule."""
    for _ in range(SETTLE_ITERATIONS):
        await asyncio.sleep(0)


def send(context, body=b"{}"):
    context.connection.start_exchange(
        path=b"/v1/search", body=body, on_done=context.outcomes.append
    )


@given("a connection to a searcher")
def step_connection(context):
    context.runner = context.resources.enter_context(asyncio.Runner())
    context.outcomes = []
    context.closed_calls = []

    async def make():
        stream = ReplyStream()
        context.transport = FakeTransport(stream)
        context.connection = HttpConnection(
            address=ADDRESS, stream=stream, on_closed=context.closed_calls.append
        )

    context.runner.run(make())


@when(
    "a request is sent and a reply {kind} of {length:d} bytes arrives in pieces of"
    " {size:d}"
)
def step_reply_in_pieces(context, kind, length, size):
    context.kind = kind
    context.body = bytes(number % 251 for number in range(length))
    head = HEADS[kind]
    if kind == "of stated length":
        head %= length
    data = head + (chunked(context.body) if kind == "in chunks" else context.body)

    async def run():
        send(context)
        for start in range(0, len(data), size):
            context.transport.receive(data[start : start + size])
            await settle()
        if kind == "until the stream's end":
            context.transport.end()
        await settle()

    context.runner.run(run())


@then("the exchange ends with the complete reply")
def step_complete_reply(context):
    (outcome,) = context.outcomes
    assert not isinstance(outcome, ExchangeError), outcome
    assert outcome.status == 200, outcome.status
    assert outcome.body == context.body, len(outcome.body)


@then("the connection is closed only if the reply ended with it")
def step_closed_with_reply(context):
    ended = context.kind == "until the stream's end"
    assert context.connection.closed == ended
    assert len(context.closed_calls) == int(ended), context.closed_calls


@when("a request is sent and the stream ends {moment}")
def step_stream_ends(context, moment):
    def action(context):
        send(context)
        context.transport.receive(PARTIAL_REPLIES[moment])
        context.transport.end()

    run_action(context, action)


@when('a request is sent and "{line}" arrives as a head')
def step_bad_head(context, line):
    def action(context):
        send(context)
        context.transport.receive(line.encode() + b"\r\n\r\n")

    run_action(context, action)


@when("a request is sent and {interim} and a reply of {length:d} bytes arrive")
def step_interim(context, interim, length):
    context.body = bytes(length)
    codes = [word for word in interim.split() if word.isdigit()]
    heads = [b"HTTP/1.1 %s Wait\r\n\r\n" % code.encode() for code in codes]
    final = HEADS["of stated length"] % length + context.body

    def action(context):
        send(context)
        context.transport.receive(b"".join(heads) + final)

    run_action(context, action)


@when("the stream ends while the connection is idle")
def step_idle_end(context):
    async def run():
        context.transport.stream.eof_received()

    context.runner.run(run())


@when("a request is sent")
def step_send(context):
    run_action(context, send)


@then('the exchange ends as "{reason}", with {sent} sent')
def step_ends_as(context, reason, sent):
    (outcome,) = context.outcomes
    assert isinstance(outcome, ExchangeError), outcome
    assert outcome.reason == reason, outcome.reason
    assert outcome.bytes_sent == (sent == "bytes"), outcome.bytes_sent
    assert bool(context.transport.written) == outcome.bytes_sent


@then("the closed connection is reported once")
def step_closed_once(context):
    assert context.closed_calls == [context.connection], context.closed_calls


@when("{count:d} bytes arrive while the connection is idle")
def step_unrequested(context, count):
    run_action(context, lambda context: context.transport.receive(b"x" * count))


@then("nothing more is read from the stream")
def step_paused(context):
    assert context.transport.paused


@then("the stream is read again")
def step_resumed(context):
    assert not context.transport.paused


@when("requests and replies of 9, 10, 100 and 9 bytes are exchanged")
def step_lengths(context):
    context.lengths = (9, 10, 100, 9)
    for number, length in enumerate(context.lengths):

        def action(context, number=number, length=length):
            send(context, b"q" * length)
            head = HEAD + b"Content-Length: %d\r\n\r\n" % length
            context.transport.receive(head + b"%d" % number * length)

        run_action(context, action)


@then("each request has stated its length")
def step_stated(context):
    requests = context.transport.written
    assert len(requests) == len(context.lengths)
    for request, length in zip(requests, context.lengths, strict=True):
        head, _, body = request.partition(b"\r\n\r\n")
        assert head.startswith(b"POST /v1/search HTTP/1.1\r\n"), head
        assert b"Host: 127.0.0.1:7001" in head, head
        assert b"Content-Length: %d" % length in head.split(b"\r\n"), head
        assert len(body) == length, body


@then("each exchange has ended with its own reply")
def step_own_replies(context):
    for number, length in enumerate(context.lengths):
        assert context.outcomes[number].body == b"%d" % number * length
