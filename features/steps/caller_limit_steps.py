"""Steps for the limits of what callers may send."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.ingress import Ingress
from plantainstage._gateway.request_heads import LIMIT_MARGIN_S, HeadReader
from plantainstage._gateway.router import Router
from plantainstage._serving.configuration import CallerLimits, ServingConfiguration
from plantainstage._serving.retry_budget import RetryBudgetLimits
from plantainstage._transport.listening import listen_on
from support.processes import free_address
from support.routed_tier import HANG_LIMIT_S, read_message
from support.silent_events import SilentEvents

NOT_FOUND = 404  # of the only reply that a host without routes has
FIELDS = {"bodies": "body_bytes", "heads": "head_bytes"}


class Host:
    """An entry host without routes, and a caller's connection to it."""

    async def start(self, limits):
        self.ingress = Ingress(router=router_without_routes())
        address = free_address()
        listen_on(self.ingress.server, address)
        self.ingress.set_limits(limits)
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        assert await self.send() == NOT_FOUND

    async def send(self, *, head_bytes=0, body=b""):
        """Sends a request; returns the status of the reply, or None without one."""
        head = (
            f"POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: {len(body)}\r\n"
        )
        pad = "y" * (head_bytes - len(head) - len("X-Pad: \r\n\r\n"))
        head += f"X-Pad: {pad}\r\n\r\n"
        self.writer.write(head.encode() + body)
        try:
            line, _, _ = await read_message(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return int(line.split(" ")[1])

    def close(self):
        self.writer.close()
        self.ingress.server.stop()


def router_without_routes():
    """Returns a router that answers each request with 404."""
    router = Router(
        names=HeaderNames(),
        data_centre="dc-1",
        budget_limits=RetryBudgetLimits(),
        events=SilentEvents(),
    )
    router.apply(ServingConfiguration(version=1))
    return router


@given(
    "a host that allows {part} of {size:d} bytes, and a caller with an open connection"
)
def step_host(context, part, size):
    context.loop = context.resources.enter_context(asyncio.Runner())
    context.host = Host()
    # A head timeout of nothing but its margin, and an idle one beyond HANG_LIMIT_S.
    timeouts = {"head_timeout_ms": 0, "idle_timeout_ms": 60_000}
    limits = CallerLimits(**{FIELDS[part]: size, **timeouts})
    context.loop.run(context.host.start(limits))
    context.resources.callback(context.host.close)


@when(
    "it allows {part} of {size:d} bytes and the caller sends {sent_part} of {sent:d} bytes"
)
def step_change(context, part, size, sent_part, sent):
    context.host.ingress.set_limits(CallerLimits(**{FIELDS[part]: size}))
    if part == "bodies":
        work = context.host.send(body=bytes(sent))
    else:
        work = context.host.send(head_bytes=sent)
    context.status = context.loop.run(work)


@then("the request is taken")
def step_taken(context):
    assert context.status == NOT_FOUND, context.status


@then("the request is refused")
def step_refused(context):
    assert context.status != NOT_FOUND, context.status


# ---- Timeouts -------------------------------------------------------------------------


@when(
    "the idle timeout changes from {before:d} to {after:d} s, {waited:d} s after a wait "
    "began"
)
def step_idle(context, before, after, waited):
    limits = [CallerLimits(idle_timeout_ms=before * 1000)]
    idle = set()

    async def change():
        stream = mock.Mock()
        stream.read_bytes.return_value = asyncio.get_running_loop().create_future()
        reader = HeadReader(stream=stream, limits=lambda: limits[0], idle=idle)
        clock = SimpleNamespace(now=100.0)
        reader.loop = mock.Mock(time=lambda: clock.now)
        waiting = asyncio.ensure_future(reader.read_until_regex(b""))
        await asyncio.sleep(0)
        (waits,) = idle
        clock.now += waited
        limits[0] = CallerLimits(idle_timeout_ms=after * 1000)
        waits.limits_changed()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        return reader.loop.call_at.call_args.args[0] - clock.now

    context.left_s = asyncio.run(change())
    assert not idle


@then("the connection is closed {left:d} s later, and a margin")
def step_left(context, left):
    assert context.left_s == left + LIMIT_MARGIN_S, context.left_s


@when("the caller sends half of a head")
def step_half(context):
    context.host.writer.write(b"GET /x/ HTTP/1.1\r\nHost: a.exa")


@then("its connection is closed without an answer")
def step_closed(context):
    work = asyncio.wait_for(context.host.reader.read(), HANG_LIMIT_S)
    assert context.loop.run(work) == b""
