"""Steps for searchers that send bytes without end."""

import asyncio
import gc
import tracemalloc

from behave import then, when

from plantainstage._gateway.messages import CallFailure

MIB = 1024 * 1024
PROBE_TIMEOUT_S = 20.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\n\r\n"


@then('the host has closed each connection to "{searcher_id}" that was used for that')
def step_closed(context, searcher_id):
    searcher = context.tier.searchers[searcher_id]
    pool = context.gateway.router.fleet.members[searcher_id].pool
    context.tier.wait_for(
        lambda: not any(c.busy for c in pool.idle) and pool.count == len(pool.idle),
        "the end of all exchanges",
    )
    context.tier.wait_for(
        lambda: sum(not w.is_closing() for w in searcher.writers) == pool.count,
        "the searcher to see the closed connections",
    )


@then('it has read at most {limit:d} MiB a reply from "{searcher_id}"')
def step_bounded_reply(context, limit, searcher_id):
    searcher = context.tier.searchers[searcher_id]
    assert searcher.endless_bytes <= limit * MIB * max(1, searcher.endless)


@then("the host has held at most {limit:d} MiB of replies")
def step_bounded_total(context, limit):
    memory = context.gateway.router.reply_memory
    assert 0 < memory.peak <= limit * MIB, memory.peak
    context.tier.wait_for(lambda: memory.used == 0, "the memory to be returned")


@when('{count:d} callers send GET "{target}", and no garbage is collected')
def step_without_collection(context, count, target):
    gc.collect()
    gc.disable()
    context.resources.callback(gc.enable)
    tracemalloc.start()
    context.resources.callback(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    context.replies = [
        context.tier.run(context.tier.request(target=target, ms=20_000))
        for _ in range(count)
    ]
    after, _ = tracemalloc.get_traced_memory()
    context.growth = after - before


@then("none of them gets an answer")
def step_none_answered(context):
    assert {reply.status for reply in context.replies} == {502}, context.replies


@then("the process holds at most {limit:d} MiB more than before")
def step_growth(context, limit):
    assert context.growth <= limit * MIB, context.growth


@when('a health check is sent to "{searcher_id}"')
def step_health_check(context, searcher_id):
    pool = context.gateway.router.fleet.members[searcher_id].pool
    work = pool.replies_to("GET /health", timeout_s=PROBE_TIMEOUT_S)
    context.got_reply = context.tier.run(work)


@when('a passed request is sent to "{searcher_id}"')
def step_passed_request(context, searcher_id):
    """The searcher stands in for the entry host that helps."""
    helpers = context.gateway.router.helpers
    address = context.tier.searchers[searcher_id].address

    async def send():
        outcome = asyncio.get_running_loop().create_future()
        helpers.send(
            address, request=REQUEST, request_id="r-1", on_done=outcome.set_result
        )
        return await outcome

    context.got_reply = not isinstance(context.tier.run(send()), CallFailure)


@then("it ends without a reply")
def step_no_reply(context):
    assert not context.got_reply


@then("the host holds no memory for replies")
def step_no_memory(context):
    assert context.gateway.router.reply_memory.used == 0
