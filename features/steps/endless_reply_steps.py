"""Steps for searchers that send bytes without end."""

from behave import then

MIB = 1024 * 1024


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
