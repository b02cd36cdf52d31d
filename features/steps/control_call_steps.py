"""Steps for calls to control replicas over real sockets."""

import asyncio

from behave import given, then, when

from plantainstage._transport.rpc import ControlClient, RpcServer
from plantainstage.errors import ControlUnavailableError
from plantainstage.messages import control
from support.processes import free_address

CALL_TIMEOUT_S = 10.0


@given("a control replica that dies while it handles a call, and one that {other}")
def choose_addresses(context, other):
    context.addresses = (free_address(), free_address())
    context.names_dead = other != "leads"
    context.down = False


@given("a control replica that is down, and one that leads")
def choose_down(context):
    choose_addresses(context, "leads")
    context.down = True


@when("the first is asked with all the time of the call for one attempt")
def ask(context):
    context.reply = asyncio.run(
        ask_dying(context.addresses, context.names_dead, context.down)
    )


async def ask_dying(addresses, names_dead, down):
    """Returns the reply, or the error of the call."""
    reached = asyncio.Event()

    async def die(request):
        reached.set()
        await asyncio.Event().wait()

    replies = [control.NotLeader(leader_address=addresses[0])] * names_dead

    async def lead(request):
        if replies:
            return replies.pop()
        return control.Done(version=7)

    first = RpcServer(address=addresses[0], handler=die)
    restarted = RpcServer(address=addresses[0], handler=die)
    second = RpcServer(address=addresses[1], handler=lead)
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
        if names_dead:
            # A call that went back would wait for its reply.
            restarted.start()
        return await call
    except ControlUnavailableError as error:
        return error
    finally:
        client.close()
        await second.stop()
        if names_dead:
            await restarted.stop()


@then("the reply is the second one's")
def check_reply(context):
    assert context.reply == control.Done(version=7), context.reply
