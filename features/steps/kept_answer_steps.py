"""Steps for recorded answers and their limit, as an entry host sees them."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from plantainstage._entry.claims import Claims, RecordedAnswer, outcome_of_answer
from plantainstage._membership.machine import MembershipMachine
from plantainstage._membership.state import decode_state, encode_state
from plantainstage.errors import RefusalError
from support.direct_client import NOW_MS, DirectClient

KIBIBYTE = 1024
TIMEOUT_S = 30.0
ENTRY = SimpleNamespace(entry_id="entry-1", incarnation="i1")


def booking(number):
    """Returns a booking; a higher number is answered later but has an older id."""
    return SimpleNamespace(
        request_id=f"{NOW_MS - number}-booking0",
        profile="desk",
        partitions=None,
        query=b"{}",
    )


async def send(context, number):
    claims = Claims(client=context.client, entry=ENTRY)
    try:
        return await claims.claim(booking(number), remaining_s=TIMEOUT_S)
    except RefusalError as error:
        return error


async def answer(context, number, body):
    """Claims a booking and records its answer."""
    claims = Claims(client=context.client, entry=ENTRY)
    until = asyncio.get_running_loop().time() + TIMEOUT_S
    claimed = await claims.claim(booking(number), remaining_s=TIMEOUT_S)
    await claims.record(claimed, outcome_of_answer(body), until=until)


@given("a control service that keeps {count:d} MiB of answers")
def start_service(context, count):
    context.client = DirectClient(keep_bytes=count * KIBIBYTE**2)


@when("{count:d} bookings are answered one after another with {size:d} KiB each")
def answer_bookings(context, count, size):
    async def run():
        for number, body in enumerate(context.answers):
            await answer(context, number, body)

    context.answers = [bytes([n]) * (size * KIBIBYTE) for n in range(count)]
    asyncio.run(run())


@when("all of them are sent again")
def send_all_again(context):
    async def run():
        return [await send(context, number) for number in range(len(context.answers))]

    context.replies = asyncio.run(run())


@when("a replica starts from that state as an earlier release wrote it")
def restore_earlier(context):
    fields = msgspec.msgpack.decode(encode_state(context.client.state))
    del fields["kept_answers"]
    context.restored = decode_state(msgspec.msgpack.encode(fields))


@when("a replica starts from a snapshot of that state")
def start_replica(context):
    context.replica = MembershipMachine()
    context.replica.restore(snapshot=context.client.machine.take_snapshot())
    context.client.log.commands.clear()


@when("another booking is answered with {size:d} KiB and applied by both")
def answer_another(context, size):
    number = len(context.answers)
    asyncio.run(answer(context, number, bytes([number]) * (size * KIBIBYTE)))
    for index, command in enumerate(context.client.log.commands, 1):
        context.replica.apply(index=index, command=command)


@then("both replicas hold equal states")
def check_equal(context):
    first = context.client.machine.take_snapshot()
    assert first == context.replica.take_snapshot()


@then('the first {count:d} are refused with "{code}" as "{run}"')
def check_refused(context, count, code, run):
    for reply in context.replies[:count]:
        assert isinstance(reply, RefusalError), reply
        assert (reply.code, reply.run.value) == (code, run), reply


@then("the last {count:d} get their own answers")
def check_answers(context, count):
    expected = [RecordedAnswer(body=answer) for answer in context.answers[-count:]]
    assert context.replies[-count:] == expected


@then("the state holds at most {count:d} MiB of answers")
def check_total(context, count):
    records = context.client.state.claims.values()
    assert sum(len(record.outcome.body) for record in records) <= count * KIBIBYTE**2


@then("it counts {size:d} KiB of answers, the older one first")
def check_restored(context, size):
    kept = context.restored.kept_answers
    assert kept.total == size * KIBIBYTE
    assert list(kept.sizes) == [booking(1).request_id, booking(0).request_id]
