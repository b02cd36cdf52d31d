"""Steps for calls to control replicas over real sockets."""

import asyncio

from behave import given, then, when

from plantainstage._transport.rpc import ControlClient, RpcServer
from plantainstage.errors import ControlUnavailableError
from plantainstage.messages import control
from support.processes import free_address

CALL_TIMEOUT_S = 10.0


@given("a control replica that fails while it handles a call, and one that {other}")
def choose_addresses(context, other):
    context.addresses = (free_address(), free_address())
    context.names_failed_leader = other != "leads"
    context.down = False


@given("a control replica that is down, and one that leads")
def choose_down(context):
    choose_addresses(context, "leads")
    context.down = True


@when("the first is called with an attempt timeout as long as the timeout of the call")
def call_first(context):
    context.reply = asyncio.run(
        call_while_first_fails(
            context.addresses, context.names_failed_leader, context.down
        )
    )


async def call_while_first_fails(addresses, names_failed_leader, down):
    """Stops the first replica during a call; returns the reply or the error."""
    reached = asyncio.Event()

    async def hang(request):
        reached.set()
        await asyncio.Event().wait()

    replies = [control.NotLeader(leader_address=addresses[0])] * names_failed_leader

    async def reply_as_leader(request):
        if replies:
            return replies.pop()
        return control.Done(version=7)

    first = RpcServer(address=addresses[0], handler=hang)
    restarted = RpcServer(address=addresses[0], handler=hang)
    second = RpcServer(address=addresses[1], handler=reply_as_leader)
    if down:
        reached.set()
    else:
        first.start()
    second.start()
    client = ControlClient(addresses=addresses, attempt_timeout_s=CALL_TIMEOUT_S)
    request = control.QueryNextNumber()
    call = asyncio.create_task(client.call(request, timeout_s=CALL_TIMEOUT_S))
    try:
        await reached.wait()
        await first.stop()
        if names_failed_leader:
            # A call that returned to the first replica would wait for its reply.
            restarted.start()
        return await call
    except ControlUnavailableError as error:
        return error
    finally:
        client.close()
        await second.stop()
        if names_failed_leader:
            await restarted.stop()


@then("the reply is from the second one")
def check_reply(context):
    assert context.reply == control.Done(version=7), context.reply
