"""Steps for what searchers state in their replies: that they leave, or a pause."""

import asyncio
import math
from dataclasses import replace

import msgspec
from behave import given, then, when

from plantainstage._gateway.fleet import Fleet
from plantainstage._gateway.messages import FailureKind
from plantainstage._gateway.searcher_wishes import SearcherWishes
from plantainstage._serving.decimals import StatedNumber
from support.rate_limit_run import reply_with, searcher_named
from support.routed_tier import NAMES, answer_whole, reply_head, sized

STATED_AT = 100.0  # seconds of virtual time
SEARCHER = searcher_named("s-1")


@given('"{searcher_id}" states in its answers that it leaves')
@when('"{searcher_id}" states in its answers that it leaves')
def step_leaving(context, searcher_id):
    async def answer(searcher, request, writer):
        extra = [f"{NAMES.leaving}: 1"]
        head = reply_head(searcher, request, extra=extra)
        writer.write(head + sized(searcher.record))

    context.tier.searchers[searcher_id].behave = answer


@given('"{searcher_id}" refuses requests and asks for a pause of {seconds:g} s')
def step_pausing(context, searcher_id, seconds):
    async def refuse(searcher, request, writer):
        extra = [f"{NAMES.not_executed}: 1", f"Retry-After: {seconds:g}"]
        head = reply_head(searcher, request, status="503 Full", extra=extra)
        writer.write(head + sized(b""))

    context.tier.searchers[searcher_id].behave = refuse


def send(context, target):
    return context.tier.run(context.tier.request(target=target))


@when('callers send GET "{target}" until "{searcher_id}" has got one')
def step_send_until(context, target, searcher_id):
    while not context.tier.searchers[searcher_id].received:
        send(context, target)


@when('"{searcher_id}" starts again and answers as usual')
def step_restart(context, searcher_id):
    searcher = context.tier.searchers[searcher_id]

    async def restart():
        searcher.crash()
        await searcher.restart()

    context.tier.run(restart())
    searcher.behave = answer_whole


@then('callers that send GET "{target}" are answered by "{searcher_id}" too')
def step_answered_by(context, target, searcher_id):
    record = context.tier.searchers[searcher_id].record
    context.tier.wait_for(
        lambda: send(context, target).body == record, "an answer of the new start"
    )


@then(
    "each caller is refused with 503 and told to come back after {low:g} to {high:g} s"
)
def step_told(context, low, high):
    for reply in context.replies:
        assert reply.status == 503, reply
        assert low <= float(reply.headers["retry-after"]) <= high, reply


# ---- Values -----------------------------------------------------------------------------


def record(context, reply):
    context.wishes = SearcherWishes(log_event=lambda event, **fields: None)
    context.wishes.record_reply(SEARCHER, reply, now=STATED_AT)


@when('a searcher refuses a request and asks for a pause of "{text}"')
def step_stated_pause(context, text):
    reply = reply_with(rate_limit=None, status=503, not_executed=True)
    record(context, replace(reply, retry_after=StatedNumber.parse(text)))


@when('a searcher states "{text}" where it says that it leaves')
def step_stated_leaving(context, text):
    record(context, replace(reply_with(rate_limit=None), leaving=text))


@when("it is lost and found again")
def step_lost(context):
    context.wishes.removed(SEARCHER, STATED_AT)


@then("it gets nothing for {seconds:g} s")
def step_wait(context, seconds):
    assert context.wishes.wait_s(SEARCHER, STATED_AT) == seconds
    assert context.wishes.wait_s(SEARCHER, STATED_AT + seconds) == 0.0


@then("it gets nothing more")
def step_nothing(context):
    assert math.isinf(context.wishes.wait_s(SEARCHER, STATED_AT + 1000.0))


@then("it still gets requests")
def step_requests(context):
    assert context.wishes.wait_s(SEARCHER, STATED_AT) == 0.0


@then("another start of it gets requests")
def step_other_start(context):
    other = msgspec.structs.replace(SEARCHER, started_at_ms=2)
    assert context.wishes.wait_s(other, STATED_AT) == 0.0


# ---- A call that waits for its connection ---------------------------------------------


class WaitingPool:
    """A pool whose only connection opens when the scenario says so."""

    kept = 1
    is_connected = False

    def __init__(self):
        self.opened = asyncio.Event()
        self.sent = 0
        self.put_backs = 0

    def take_idle(self, now):
        return None

    async def open(self):
        await self.opened.wait()
        return object()

    def exchange(self, connection, **arguments):
        self.sent += 1

    def put_back(self, connection, reader):
        self.put_backs += 1


@given("a call that waits for a connection to a searcher")
def step_waiting_call(context):
    context.outcomes = []


@when("the searcher states that it leaves and the connection opens")
def step_leaves_meanwhile(context):
    async def run():
        pool = context.pool = WaitingPool()
        outcome = asyncio.get_running_loop().create_future()
        fleet = Fleet(data_centre="dc-1", make_pool=lambda searcher: pool)
        fleet.update_searcher(SEARCHER)
        fleet.send(
            SEARCHER.searcher_id,
            request=b"",
            request_id="r-1",
            remaining_s=5.0,
            work_s=0.1,
            on_done=lambda call, result: outcome.set_result(result),
            may_send=lambda: True,
        )
        await asyncio.sleep(0)
        reply = replace(reply_with(rate_limit=None), leaving="1")
        fleet.wishes.record_reply(SEARCHER, reply, now=STATED_AT)
        pool.opened.set()
        context.outcomes.append(await outcome)

    asyncio.run(run())


@then("the call ends without having been sent")
def step_not_sent(context):
    (outcome,) = context.outcomes
    assert outcome.kind is FailureKind.UNREACHABLE, outcome
    assert (context.pool.sent, context.pool.put_backs) == (0, 1)
