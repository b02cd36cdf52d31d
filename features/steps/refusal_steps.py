"""Steps for refusals of a scripted searcher, read by its owner."""

import asyncio
import math

from behave import given, then, when

from plantainstage._entry.searcher_owner import SearcherOwner
from plantainstage._limits.owner_queue import HostLease
from plantainstage._limits.quarantine import QuarantineTable
from plantainstage.messages import configuration, forward

SENT_ID = "entry-1.boot.1"
NAMES = {
    "the sent": f',"sub_request_id":"{SENT_ID}"',
    "another one": ',"sub_request_id":"entry-1.boot.0"',
    "none": "",
}


def sub_request():
    return forward.SubRequest(
        sub_request_id=SENT_ID,
        request_id="request-1",
        profile="rider-gate",
        upstream_id="p1-1",
        epoch=1,
        index="ditch-turns",
        snapshot="s1",
        partition="p1",
        fingerprint="f",
        query=b"1",
        remaining_ms=30_000.0,
        idempotent=False,
    )


def make_owner(address, on_result):
    upstream = configuration.Upstream(
        upstream_id="p1-1",
        incarnation="i1",
        address=address,
        data_centre="upper-canal",
        index="ditch-turns",
        slots=1,
        connections=8,
        holdings=(),
    )
    return SearcherOwner(
        upstream=upstream,
        lease=HostLease(until=math.inf),
        quarantines=QuarantineTable(),
        weights={},
        on_result=on_result,
        on_crashes=lambda action: None,
    )


async def exchange(reply):
    """Returns the SubResult and whether its connection is still open."""

    ended = asyncio.Event()

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        writer.write(reply)
        await reader.read()
        writer.close()
        ended.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    results = asyncio.get_running_loop().create_future()
    owner = make_owner(
        f"127.0.0.1:{port}", lambda requester, result: results.set_result(result)
    )
    owner.queue.own(epoch=1)
    owner.submit("entry-1", sub_request())
    result = await results
    kept = bool(owner.pool.by_number)
    owner.abort()
    await ended.wait()
    server.close()
    return result, kept


@given("a searcher that replies {status:d} and names {named}")
def script_searcher(context, status, named):
    body = f'{{"error":"e"{NAMES[named]}}}'
    head = f"HTTP/1.1 {status} Reply\r\nContent-Length: {len(body)}\r\n\r\n"
    context.reply = (head + body).encode()
    context.is_own = named == "the sent"


@when("its owner sends it one sub-request")
def send_sub_request(context):
    context.result, context.kept = asyncio.run(exchange(context.reply))


@then("the sub-request ends as {outcome}")
def check_outcome(context, outcome):
    assert context.result.outcome.value == outcome, context.result


@then("the connection is kept only if the refusal was for this sub-request")
def check_connection(context):
    assert context.kept == context.is_own
