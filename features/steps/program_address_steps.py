"""Steps for programs whose addresses are in use."""

import asyncio
import socket
from functools import partial

from behave import given, then, when

from plantainstage._errors import ListenError
from plantainstage._transport.listening import listen_when_free
from support.platform_programs import logged, loopback_of
from support.processes import free_port, wait_until

METRICS_PORT = 9464


def bind(context, ip, port):
    held = socket.socket()
    held.bind((ip, port))
    held.listen()
    context.add_cleanup(held.close)
    return held


@given("the metrics port is in use")
def step_metrics_port(context):
    bind(context, loopback_of(context), METRICS_PORT)


@given("the address for callers is in use")
def step_front_port(context):
    context.front_port = free_port()
    context.held = bind(context, loopback_of(context), context.front_port)


@when("the address is free again")
def step_free(context):
    context.held.close()


@when('"{program}" has logged that the address is in use')
def step_in_use(context, program):
    wait_until(lambda: logged(context, "address_in_use"), what="a wait for the address")


@when("a program listens on an address that stays in use")
def step_stays(context):
    address = f"{loopback_of(context)}:{free_port()}"
    ip, _, port = address.rpartition(":")
    bind(context, ip, int(port))

    class Events:
        def log_event(self, event, **fields):
            pass

    async def listen():
        opened = socket.socket()
        with opened:
            await listen_when_free(
                partial(opened.bind, (ip, int(port))),
                setting="listen",
                address=address,
                events=Events(),
                timeout_s=0.0,
            )

    context.address = address
    context.error = None
    try:
        asyncio.run(listen())
    except ListenError as error:
        context.error = error


@then("it gets a typed error that names the setting and the address")
def step_listen_error(context):
    assert context.error is not None
    assert (context.error.flag, context.error.address) == ("listen", context.address)


@then("it has logged that metrics are unavailable")
def step_metrics_line(context):
    assert len(logged(context, "metrics_unavailable")) == 1
