"""Steps for replies of control that come late."""

import asyncio
import contextlib
import time

from behave import given, then, when

from plantainstage._gateway.control_link import ControlLink
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.router import Router
from plantainstage._messages import serving
from plantainstage._serving.configuration import decode_configuration
from plantainstage._serving.retry_budget import RetryBudgetLimits
from plantainstage._transport.rpc import RpcClient, RpcServer
from support.processes import free_address
from support.routed_tier import HANG_LIMIT_S
from support.silent_events import SilentEvents

VERSION = 7
DOCUMENT = b'{"version": 7}'


@given("a replica that replies to each poll after {delay_s:f} s")
def step_replica(context, delay_s):
    context.delay_s = delay_s
    context.address = free_address()


@when("a host polls it")
def step_poll(context):
    context.version = asyncio.run(poll_slow_replica(context.address, context.delay_s))


@when(
    "a host calls it and is suspended for {pause_s:f} s while the connection is accepted"
)
def step_suspended(context, pause_s):
    context.reply = asyncio.run(
        call_while_suspended(context.address, context.delay_s, pause_s)
    )


@then("the host gets a reply")
def step_reply(context):
    assert context.reply.version == VERSION


@then("the host gets the configuration of the replica")
def step_version(context):
    assert context.version == VERSION, context.version


def start_replica(address, delay_s):
    """Starts a server that replies to each poll after a delay."""

    async def reply(request):
        await asyncio.sleep(delay_s)
        report = serving.SourceReport(address=address, process="p", cursor=0)
        return serving.SyncReply(version=VERSION, document=DOCUMENT, sources=(report,))

    server = RpcServer(
        address=address, handler=reply, request_decoder=serving.REQUEST_DECODER
    )
    server.start()
    return server


async def call_while_suspended(address, delay_s, pause_s):
    """Returns the reply to a call whose process stands still while it connects."""
    server = start_replica(address, delay_s)
    client = RpcClient(address=address, reply_decoder=serving.REPLY_DECODER)
    asyncio.get_running_loop().call_soon(time.sleep, pause_s)
    try:
        return await client.call(
            serving.SyncRequest(host_id="h"), timeout_s=HANG_LIMIT_S
        )
    finally:
        client.close()
        await server.stop()


async def poll_slow_replica(address, delay_s):
    """Returns the version of a host that polls only a slow replica."""
    server = start_replica(address, delay_s)
    events = SilentEvents()
    router = Router(
        names=HeaderNames(),
        data_centre="dc-1",
        budget_limits=RetryBudgetLimits(),
        events=events,
    )
    in_force = asyncio.Event()
    link = ControlLink(
        host_id="h",
        router=router,
        addresses=lambda: (address,),
        decode=decode_configuration,
        on_limits=lambda limits: in_force.set(),
        events=events,
    )
    task = asyncio.create_task(link.run())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HANG_LIMIT_S):
            await in_force.wait()
    task.cancel()
    await server.stop()
    return router.version
