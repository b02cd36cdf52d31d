"""Steps for the limits of what callers may send."""

import asyncio

from behave import given, then, when

from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.ingress import Ingress
from plantainstage._gateway.router import Router
from plantainstage._serving.configuration import CallerLimits, ServingConfiguration
from plantainstage._serving.retry_budget import RetryBudgetLimits
from plantainstage._transport.listening import listen_on
from support.processes import free_address
from support.routed_tier import read_message
from support.silent_events import SilentEvents

NOT_FOUND = 404  # of the only reply that a host without routes has


@given(
    "a host with a limit of {limit:d} bytes and a caller that has sent a request to it"
)
def step_limit(context, limit):
    context.limits = [limit]


@when(
    "the limit is raised to {limit:d} bytes and the caller sends a body of {size:d} bytes"
)
def step_raise(context, limit, size):
    context.limits.append(limit)
    context.status = asyncio.run(status_after_raise(context.limits, size))


@then("the request is not refused as malformed")
def step_status(context):
    assert context.status == NOT_FOUND, context.status


async def status_after_raise(limits, size):
    """Returns the status of the second request of a connection."""
    ingress = Ingress(router=router_without_routes())
    address = free_address()
    listen_on(ingress.server, address)
    ingress.set_limits(CallerLimits(body_bytes=limits[0]))
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        await send(reader, writer, body=b"")
        ingress.set_limits(CallerLimits(body_bytes=limits[1]))
        return await send(reader, writer, body=bytes(size))
    finally:
        writer.close()
        ingress.server.stop()


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


async def send(reader, writer, *, body):
    """Sends a request and returns the status of its reply."""
    head = (
        f"POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    line, _, _ = await read_message(reader)
    return int(line.split(" ")[1])
