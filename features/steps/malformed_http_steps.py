"""Steps for malformed HTTP messages to each interface of the routed programs."""

import asyncio
import contextlib
import json
import random

from behave import then, when

from steps.malformed_message_steps import messages
from support.routed_tier import NAMES

REPLY_LIMIT_S = 0.2  # most malformed messages get no reply
AT_A_TIME = 30


def post(path, body):
    head = f"POST {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\nConnection: close\r\n\r\n" + body


def valid_message(context, kind):
    match kind:
        case "altered announcements":
            body = context.tier.searchers["s-1"].announcement()
            return post("/v1/searchers/s-1/announcement", body)
        case "altered configurations":
            body = json.dumps(context.configuration).encode()
            return post("/v1/configuration", body)
    names = f"{NAMES.request_id}: r\r\n{NAMES.deadline}: 500\r\n"
    return f"GET /read/x HTTP/1.1\r\nHost: a.example\r\n{names}\r\n".encode()


def altered_bodies(valid, kind, source, count):
    """Alters the body alone, as the HTTP library rejects most altered heads."""
    if kind not in ("altered announcements", "altered configurations"):
        return messages(kind, valid, source, count)
    head, _, body = valid.partition(b"\r\n\r\n")
    path = head.split(b" ")[1].decode()
    return [post(path, altered) for altered in messages(kind, body, source, count)]


def address_of(context, interface):
    match interface:
        case "control replica":
            return next(iter(context.tier.registries))
        case "entry host":
            return context.gateway.settings.listen
    return context.gateway.settings.ready_listen


async def send_raw(address, data):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(REPLY_LIMIT_S):
            await reader.read(4096)
    writer.close()


@when("{count:d} connections send {kind} to the {interface}, with seed {seed:d}")
def step_send(context, count, kind, interface, seed):
    source = random.Random(seed)
    address = address_of(context, interface)
    sent = altered_bodies(valid_message(context, kind), kind, source, count)

    async def send_all():
        for first in range(0, count, AT_A_TIME):
            batch = sent[first : first + AT_A_TIME]
            await asyncio.gather(*(send_raw(address, data) for data in batch))

    context.tier.run(send_all())


@then("a valid request to the {interface} is answered")
def step_answered(context, interface):
    address = address_of(context, interface)
    match interface:
        case "control replica":
            work = context.tier.call_control(address, "GET", "/v1/configuration/newest")
        case "entry host":
            work = context.tier.request(target="/read/x", request_id="valid")
        case _:
            work = context.tier.call(address, target="/readyz")
    reply = context.tier.run(work)
    assert reply.status == 200, reply


@then("no task of a process has failed")
def step_no_failed_task(context):
    failed = [line for line in context.tier.events if line["event"] == "task_failed"]
    assert not failed, failed
