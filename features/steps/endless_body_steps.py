"""Steps for callers that send bodies without end to a control replica."""

import asyncio

from behave import then, when

from steps.routed_control_steps import addresses, document
from support.routed_tier import FILL, StandInSearcher

MIB = 1024 * 1024
CHUNK = b"%x\r\n" % len(FILL) + FILL + b"\r\n"


async def send_endless_body(address, path):
    """Sends chunks until the connection is closed; returns how many bytes were sent."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = f"POST {path} HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n"
    sent = 0
    try:
        writer.write(head.encode())
        while not reader.at_eof():
            writer.write(CHUNK)
            await writer.drain()
            sent += len(CHUNK)
    except ConnectionError:
        pass  # the replica has closed the connection
    finally:
        writer.close()
    return sent


@when("{count:d} callers send bodies without end to {path}")
def step_endless(context, count, path):
    address = addresses(context)[0]

    async def send_all():
        work = [send_endless_body(address, path) for _ in range(count)]
        return await asyncio.gather(*work)

    context.sent = context.tier.run(send_all())


@then("each of their connections is closed after at most {limit:d} MiB")
def step_closed(context, limit):
    assert all(sent <= limit * MIB for sent in context.sent), context.sent


@then("the replica has held at most {limit:d} MiB of bodies and holds none")
def step_bounded(context, limit):
    daemon = context.tier.registries[addresses(context)[0]][0]
    memories = [daemon.body_memory.documents, daemon.body_memory.others]
    assert sum(memory.peak for memory in memories) <= limit * MIB
    assert [memory.used for memory in memories] == [0] * len(memories), memories


@then("configuration {version:d} is acknowledged, and a searcher can announce itself")
def step_still_served(context, version):
    reply = context.tier.put_with_retries(document(version))
    assert reply.status == 200, reply
    searcher = StandInSearcher(searcher_id="s-1", service="cards")
    searcher.address = "127.0.0.1:9"
    assert context.tier.run(context.tier.announce(searcher)).status == 200
