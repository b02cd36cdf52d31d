"""Steps for replies whose status HTTP does not have."""

import asyncio
import json
from collections import Counter
from functools import partial

from behave import given, then, when
from click.testing import CliRunner

from plantainstage._gateway.pool import SearcherPool
from plantainstage._programs.ctl import main as ctl
from plantainstage._reports.sources import MinuteCollection, read_entry_hosts
from steps.cut_off_steps import KINDS, ONCE, send
from steps.routed_request_steps import configuration
from support.routed_tier import NAMES, StandInSearcher, answer_whole, sized

SIGNATURES = {NAMES.signature.lower(), NAMES.part_signatures.lower()}
MINUTES = b'{"host":"front-1","minutes":[]}'


def start_lines(reply):
    """Returns the status lines of a described reply; only the last one is final."""
    match reply.split('"'):
        case ["status ", status, ""]:
            return [f"HTTP/1.1 {status} Reason"]
        case ["no status"]:
            return ["HTTP/1.1"]
        case [interim, status, ""]:
            codes = [word for word in interim.split() if word.rstrip(",").isdigit()]
            lines = [f"HTTP/1.1 {code.rstrip(',')} Wait" for code in codes]
            return [*lines, f"HTTP/1.1 {status} Reason"]
    raise ValueError(reply)


def reply_bytes(reply, searcher, request):
    """Returns a signed reply with a body, whatever its status is."""
    *interim, final = start_lines(reply)
    lines = [
        final,
        f"{NAMES.request_id}: {request.request_id}",
        f"{NAMES.signature}: signed-by-{searcher.searcher_id}",
    ]
    before = "".join(f"{line}\r\n\r\n" for line in interim)
    head = before + "\r\n".join(lines) + "\r\n"
    return head.encode() + sized(searcher.record)


def answer_with(reply):
    """Returns the behaviour of a searcher that replies as described."""

    async def answer(searcher, request, writer):
        writer.write(reply_bytes(reply, searcher, request))

    return answer


# ---- Searchers ------------------------------------------------------------------------


@given("each searcher replies with {reply}")
def step_each(context, reply):
    for searcher in context.tier.searchers.values():
        searcher.behave = answer_with(reply)


def searcher_of_shard(context, number):
    (searcher,) = (
        searcher
        for searcher in context.tier.searchers.values()
        if searcher.service == f"shard-{number}"
    )
    return searcher


@given("shard {number:d} has a searcher that replies with {reply}")
def step_of_shard(context, number, reply):
    searcher_of_shard(context, number).behave = answer_with(reply)


@then("no part is signed by the searcher of shard {number:d}")
def step_not_signed(context, number):
    searcher_id = searcher_of_shard(context, number).searcher_id
    signatures = context.reply.headers[NAMES.part_signatures.lower()].split(", ")
    assert f"signed-by-{searcher_id}" not in signatures, context.reply


@given("the searcher that gets the first request replies with {reply}")
def step_first(context, reply):
    searchers = context.tier.searchers.values()
    context.first = None

    async def answer_first_invalid(searcher, request, writer):
        if context.first is not None:
            await answer_whole(searcher, request, writer)
            return
        context.first = searcher
        context.first_writer = writer
        await answer_with(reply)(searcher, request, writer)

    for searcher in searchers:
        searcher.behave = answer_first_invalid


@then("the caller gets 502 without a searcher's signature")
def step_bad_gateway(context):
    assert context.reply.status == 502, context.reply
    assert not SIGNATURES & context.reply.headers.keys(), context.reply


@then("the caller gets 200 with the answer of the other searcher")
def step_other(context):
    (other,) = set(context.tier.searchers.values()) - {context.first}
    assert context.reply.status == 200, context.reply
    assert context.reply.body == other.record, context.reply


@then("the connection with that reply is not used again")
def step_closed(context):
    context.tier.wait_for(context.first_writer.is_closing, "the end of the connection")


@then("one searcher has got the request")
def step_one(context):
    searchers = context.tier.searchers.values()
    assert sum(len(searcher.received) for searcher in searchers) == 1


# ---- Helpers --------------------------------------------------------------------------


def replace_helpers(context, count, behave):
    """Puts stand-ins in the place of the first ``count`` helpers of host 1."""
    helpers = context.hosts[0].router.helpers
    context.stand_ins = []
    for number, address in enumerate(helpers.hosts.addresses[:count]):
        stand_in = StandInSearcher(searcher_id=f"helper-{number}", service="")
        stand_in.behave = behave
        context.tier.run(stand_in.start())
        context.resources.callback(stand_in.server.close)
        context.stand_ins.append(stand_in)
        helpers.pools[address] = SearcherPool(
            address=stand_in.address,
            names=context.hosts[0].router.names,
            memory=context.hosts[0].router.reply_memory,
        )


@when("all helpers of host 1 reply with {reply}")
def step_all_helpers(context, reply):
    replace_helpers(context, len(context.hosts) - 1, answer_with(reply))


@when("one helper of host 1 replies with {reply}")
def step_one_helper(context, reply):
    replace_helpers(context, 1, answer_with(reply))


@then("requests of each kind to host 1 get 502 without a searcher's signature")
def step_helpers_invalid(context):
    for kind in KINDS:
        # Helpers that have failed are avoided for a while; then 503 is right.
        context.hosts[0].router.helpers.hosts.avoided_until.clear()
        reply = context.tier.run(send(context, context.hosts[0], kind))
        assert reply.status == 502, (kind, reply)
        assert not SIGNATURES & reply.headers.keys(), (kind, reply)


@then("no helper got a request twice, and one got those that may run once")
def step_helper_counts(context):
    received = [
        (stand_in.searcher_id, request.method, request.request_id)
        for stand_in in context.stand_ins
        for request in stand_in.received
    ]
    assert max(Counter(received).values()) == 1, received
    once = [entry for entry in received if entry[1] == ONCE[0]]
    assert len(once) == 1, received


@then("{count:d} repeatable requests get 502 from this helper and 200 from others")
def step_helper_breaks(context, count):
    (stand_in,) = context.stand_ins
    for _ in range(count):
        context.hosts[0].router.helpers.hosts.avoided_until.clear()
        before = len(stand_in.received)
        reply = context.tier.run(send(context, context.hosts[0], KINDS[0]))
        was_there = len(stand_in.received) > before
        assert reply.status == (502 if was_there else 200), reply
    assert stand_in.received


# ---- The operator's command and the burn report -----------------------------------------


async def serve(context, reply, body):
    """Starts a server that sends one reply to each connection and closes it."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        (line,) = start_lines(reply)
        writer.write(line.encode() + b"\r\n" + sized(body))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@given("a control replica that replies with {reply}")
def step_replica(context, reply):
    context.loop = context.resources.enter_context(asyncio.Runner())
    context.loop.run(serve(context, reply, b'{"error":"broken"}'))


@when("the command sends it a configuration")
def step_command(context):
    document = json.dumps(configuration(1)).encode()
    command = ["routes", "put", "-", "--control", context.address, "--timeout", "0.5"]
    invoke = partial(CliRunner().invoke, ctl, command, input=document)

    async def run():
        return await asyncio.to_thread(invoke)

    context.command = context.loop.run(run())


@then("the command ends with {code:d}")
def step_command_ends(context, code):
    assert context.command.exit_code == code, context.command.output


@given("an entry host that sends its minutes with {reply}")
def step_minutes(context, reply):
    context.loop = context.resources.enter_context(asyncio.Runner())
    context.loop.run(serve(context, reply, MINUTES))


@when("the burn report reads the host")
def step_burn(context):
    context.collection = MinuteCollection()
    context.loop.run(
        read_entry_hosts(context.collection, [context.address], timeout_s=5)
    )


@then("it has no minute of the host and names the problem")
def step_burn_problem(context):
    assert not context.collection.minutes
    (problem,) = context.collection.problems
    assert problem.source == context.address, problem
    assert "not closed a minute" not in problem.reason, problem
