"""Steps for the planned stop of an entry host under load."""

import asyncio

from behave import given, then, when

from support.routed_tier import NAMES, read_message, until


async def send_request(connection, request_id):
    """Sends a request on an open connection; returns its status and headers."""
    reader, writer = connection
    lines = [
        "GET /read/x HTTP/1.1",
        "Host: a.example",
        f"{NAMES.request_id}: {request_id}",
        f"{NAMES.deadline}: 2000",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    line, headers, _ = await read_message(reader)
    return int(line.split(" ")[1]), headers


async def connect(context):
    ip, _, port = context.gateway.settings.listen.rpartition(":")
    return await asyncio.open_connection(ip, int(port))


@given("{count:d} callers with a connection that is kept open after an answer")
def step_kept_connections(context, count):
    async def open_connections():
        context.connections = [await connect(context) for _ in range(count)]
        for number, connection in enumerate(context.connections):
            status, headers = await send_request(connection, f"before-{number}")
            assert status == 200 and headers.get("connection") != "close", headers

    context.tier.run(open_connections())


@when("the entry host is stopped")
def step_stop(context):
    _, stop, context.stopped = context.tier.gateways[0]
    stop.set()
    context.tier.run(until(lambda: context.gateway.stopping))


@then("a request on the first connection and one on a new connection are answered")
def step_answered(context):
    async def send_both():
        new = await connect(context)
        return [
            await send_request(context.connections[0], "kept"),
            await send_request(new, "new"),
        ]

    context.answers = context.tier.run(send_both())
    assert [status for status, _ in context.answers] == [200, 200], context.answers


@then("both answers tell the caller to close the connection")
def step_close_told(context):
    told = [headers.get("connection") for _, headers in context.answers]
    assert told == ["close", "close"], told


@then("the second connection is closed without an answer")
def step_idle_closed(context):
    reader, _ = context.connections[1]
    assert context.tier.run(reader.read()) == b""


@then("the stop ends")
def step_stop_ends(context):
    context.tier.run(context.stopped)
