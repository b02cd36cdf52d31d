"""Steps for the planned stop of an entry host under load."""

import asyncio

from behave import given, then, when

from steps.routed_request_steps import add_searcher, put_configuration, start_tier
from support.routed_tier import NAMES, answer_without_end, read_message, until

SHARDS = ("shard-1", "shard-2", "shard-3", "shard-4")
LONG_MS = 20_000


async def send_request(connection, request_id, line="GET /read/x", ms=2000):
    """Sends a request on an open connection; returns its status and headers."""
    reader, writer = connection
    lines = [
        f"{line} HTTP/1.1",
        "Host: a.example",
        f"{NAMES.request_id}: {request_id}",
        f"{NAMES.deadline}: {ms}",
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


# ---- Requests that a stop cannot wait for -----------------------------------------------


@given(
    'a routed tier with searchers of each shard and of "{service}" that never answer'
)
def step_silent_tier(context, service):
    start_tier(context, shards=SHARDS)
    put_configuration(context)
    for name in (service, *SHARDS):
        add_searcher(context, f"{name}-1", name).behave = answer_without_end


@given("its routes allow {seconds:d} s for a request")
def step_long_routes(context, seconds):
    document = context.configuration
    routes = [{**route, "timeout_ms": seconds * 1000} for route in document["routes"]]
    version = document["version"] + 1
    context.configuration = {**document, "routes": routes, "version": version}
    put_configuration(context)
    context.tier.wait_for(
        lambda: context.gateway.router.version == version, "the configuration"
    )


@when(
    'callers send {method} "{target}" on a kept and on a new connection during a stop'
)
def step_send_during_stop(context, method, target):
    async def send_both():
        kept = await connect(context)
        _, stop, stopped = context.tier.gateways[0]
        stop.set()
        await until(lambda: context.gateway.stopping)
        connections = [kept, await connect(context)]
        line = f"{method} {target}"
        sending = [
            send_request(connection, f"late-{number}", line, LONG_MS)
            for number, connection in enumerate(connections)
        ]
        replies = await asyncio.gather(*sending)
        await stopped
        return replies

    context.answers = context.tier.run(send_both())


@then("both get {status:d} before the stop ends")
def step_both(context, status):
    assert [got for got, _ in context.answers] == [status] * 2, context.answers


@then("no searcher has got one of them twice")
def step_no_repeats(context):
    for searcher in context.tier.searchers.values():
        ids = [request.request_id for request in searcher.received]
        assert len(ids) == len(set(ids)), ids
