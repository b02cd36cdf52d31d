"""Steps for requests that are routed by host and path prefix."""

import asyncio

from behave import given, then, when

from support.routed_tier import (
    BEHAVIOURS,
    NAMES,
    RoutedTier,
    StandInSearcher,
    answer_whole,
    until,
)

TOP_RECORDS = 3


def single_route(prefix, kind, **changes):
    route = {
        "name": f"r{prefix}",
        "host": "a.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "aim_ms": 500,
        "attempts": 2,
        "target": {"type": "OneOf", "shares": [{"service": "cards"}]},
    }
    return {**route, **changes}


def configuration(version, shards=()):
    routes = [
        single_route("/card/", "at_most_once"),
        single_route("/read/", "idempotent"),
        single_route("/brief/", "idempotent", timeout_ms=200),
    ]
    if shards:
        target = {
            "type": "AllOf",
            "shards": list(shards),
            "top_records": TOP_RECORDS,
            "minimum_coverage": 0.75,
        }
        routes.append(single_route("/all/", "idempotent", target=target, aim_ms=400))
    services = [{"name": name} for name in ("cards", *shards)]
    return {"version": version, "routes": routes, "services": services}


def start_tier(context, shards=()):
    context.tier = RoutedTier(context.resources)
    peers = context.tier.start_group(1)
    context.configuration = configuration(1, shards)
    context.gateway = context.tier.start_gateway(peers)


def put_configuration(context):
    reply = context.tier.put_with_retries(context.configuration)
    assert reply.status == 200, reply
    context.tier.wait_for(
        lambda: context.gateway.router.table is not None, "a configuration in force"
    )


def add_searcher(context, searcher_id, service, started_at_ms=1):
    searcher = StandInSearcher(
        searcher_id=searcher_id, service=service, started_at_ms=started_at_ms
    )
    context.tier.add_searcher(searcher)
    context.tier.wait_for(
        lambda: searcher_id in context.gateway.router.fleet.members, "the searcher"
    )
    return searcher


@given('a routed tier with a searcher "{searcher_id}" of "{service}"')
def step_tier_with_searcher(context, searcher_id, service):
    start_tier(context)
    put_configuration(context)
    add_searcher(context, searcher_id, service)


@given("a routed tier without a configuration")
def step_tier_without_configuration(context):
    start_tier(context)


@when("the configuration of the scenario is published")
def step_put(context):
    put_configuration(context)


@given('a searcher "{searcher_id}" of "{service}"')
def step_searcher(context, searcher_id, service):
    add_searcher(context, searcher_id, service)


@given('the searcher "{searcher_id}" answers after the stop has begun')
def step_answers_after_stop(context, searcher_id):
    context.may_answer = asyncio.Event()

    async def answer_later(searcher, request, writer):
        await context.may_answer.wait()
        await answer_whole(searcher, request, writer)

    context.tier.searchers[searcher_id].behave = answer_later


@given('the searcher "{searcher_id}" {fault}')
def step_fault(context, searcher_id, fault):
    context.tier.searchers[searcher_id].behave = BEHAVIOURS[fault]


@given('"{searcher_id}" rejects requests before it has read their bodies')
def step_rejects_early(context, searcher_id):
    context.tier.searchers[searcher_id].rejects_early = True


@given("every connection to a searcher is aborted")
def step_drop_idle(context):
    for searcher in context.tier.searchers.values():
        for writer in searcher.writers:
            writer.transport.abort()


@when(
    '{count:d} callers send POST "{target}" with a body of {size:d} bytes one after '
    "the other"
)
def step_send_long(context, count, target, size):
    context.replies = [
        call(context, "POST", target, b"x" * size, request_id=f"r-{number}")
        for number in range(count)
    ]


@then("each caller is refused with 503")
def step_each_refused(context):
    assert all(reply.status == 503 for reply in context.replies), context.replies


@then("all callers get 200")
def step_all_served(context):
    assert all(reply.status == 200 for reply in context.replies), context.replies


@then('"{searcher_id}" got {count:d} whole bodies of {size:d} bytes on one connection')
def step_whole_bodies(context, searcher_id, count, size):
    searcher = context.tier.searchers[searcher_id]
    context.tier.wait_for(lambda: len(searcher.received) == count, "the bodies")
    assert [r.body for r in searcher.received] == [b"x" * size] * count
    assert searcher.connections == 1, searcher.connections


@given("all searchers {fault}")
def step_all_faulty(context, fault):
    for searcher in context.tier.searchers.values():
        searcher.behave = BEHAVIOURS[fault]


@given('{count:d} requests to "{target}" were served before')
def step_served_before(context, count, target):
    """Sends requests to fill the retry budget, which starts empty."""
    for number in range(count):
        reply = call(context, "GET", target, request_id=f"before-{number}")
        assert reply.status == 200, reply
    for searcher in context.tier.searchers.values():
        searcher.received.clear()


# ---- Callers --------------------------------------------------------------------------


def call(context, method, target, body=b"", request_id="r-1"):
    work = context.tier.request(
        method=method, target=target, body=body, request_id=request_id
    )
    return context.tier.run(work)


@when('a caller sends {method} "{target}" with body "{body}"')
def step_send_body(context, method, target, body):
    context.reply = call(context, method, target, body.encode())


@when('a caller sends GET "{target}"')
def step_send(context, target):
    context.reply = call(context, "GET", target)


@when('{count:d} callers send GET "{target}" one after the other')
def step_send_many(context, count, target):
    context.replies = [
        call(context, "GET", target, request_id=f"r-{number}")
        for number in range(count)
    ]


@when('a caller sends GET "{target}" and closes its connection')
def step_send_and_disconnect(context, target):
    tier = context.tier

    async def send_and_disconnect():
        request_task = asyncio.ensure_future(tier.request(target=target))
        searcher = tier.searchers["s-1"]
        await until(lambda: searcher.received)
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)

    tier.run(send_and_disconnect())


@when("the entry host is stopped while a caller waits")
def step_stop_while_waiting(context):
    tier = context.tier
    _, stop, context.stopped = tier.gateways[0]

    async def stop_while_waiting():
        request_task = asyncio.ensure_future(tier.request(target="/read/x"))
        await until(lambda: tier.searchers["s-1"].received)
        stop.set()
        await until(lambda: context.gateway.stopping)
        context.ready_status = await tier.call(
            context.gateway.settings.ready_listen, target="/readyz"
        )
        context.may_answer.set()
        return await request_task

    context.reply = tier.run(stop_while_waiting())


# ---- Observations ---------------------------------------------------------------------


def assert_answer_of(context, reply, searcher_id):
    searcher = context.tier.searchers[searcher_id]
    assert reply.status == 200, reply
    assert reply.body == searcher.record, reply
    signature = reply.headers[NAMES.signature.lower()]
    assert signature == f"signed-by-{searcher_id}", reply


@then('the caller gets 200 with the answer of "{searcher_id}"')
def step_answer_of(context, searcher_id):
    assert_answer_of(context, context.reply, searcher_id)


@then('each caller gets 200 with the answer of "{searcher_id}"')
def step_each_answer_of(context, searcher_id):
    for reply in context.replies:
        assert_answer_of(context, reply, searcher_id)


@then('the caller gets {status:d} with the signature of "{searcher_id}" and no body')
def step_bodiless(context, status, searcher_id):
    signature = context.reply.headers.get(NAMES.signature.lower())
    assert context.reply.status == status, context.reply
    assert signature == f"signed-by-{searcher_id}", context.reply
    assert not {"content-length", "transfer-encoding"} & context.reply.headers.keys()


@then('"{searcher_id}" has got both on one connection')
def step_both(context, searcher_id):
    searcher = context.tier.searchers[searcher_id]
    assert len(searcher.received) == 2, searcher.received
    assert searcher.connections == 1, searcher.connections


@then("each answer carries the id of its own request")
def step_own_ids(context):
    for number, reply in enumerate(context.replies):
        assert reply.headers[NAMES.request_id.lower()] == f"r-{number}", reply


@then("the caller gets {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply


@then("the caller is refused with 503 and told when to retry")
def step_refused(context):
    assert context.reply.status == 503, context.reply
    assert float(context.reply.headers["retry-after"]) > 0, context.reply


@then('"{searcher_id}" got {method} "{target}" with body "{body}" and the caller\'s id')
def step_got(context, searcher_id, method, target, body):
    got = context.tier.searchers[searcher_id].received[-1]
    assert (got.method, got.target, got.body) == (method, target, body.encode()), got
    assert got.request_id == "r-1", got


@then(
    '"{searcher_id}" got its own id as the expected searcher and at most the '
    "caller's deadline"
)
def step_got_names(context, searcher_id):
    headers = context.tier.searchers[searcher_id].received[-1].headers
    assert headers[NAMES.expected_searcher.lower()] == searcher_id, headers
    assert 0 < int(headers[NAMES.deadline.lower()]) <= 2000, headers


@then("{count:d} searchers got the request")
def step_runs(context, count):
    got = sum(len(s.received) for s in context.tier.searchers.values())
    assert got == count, got


@then("no searcher got the request")
def step_no_runs(context):
    assert not any(s.received for s in context.tier.searchers.values())


@then('the searcher "{searcher_id}" sees its connection closed before it answered')
def step_closed_early(context, searcher_id):
    searcher = context.tier.searchers[searcher_id]
    context.tier.wait_for(lambda: searcher.closed_early == 1, "the close")


@then("the entry host reports that it is not ready, and exits")
def step_not_ready(context):
    assert context.ready_status.status == 503, context.ready_status
    context.tier.run(context.stopped)


# ---- Shards ---------------------------------------------------------------------------


@given("a routed tier with one searcher for each of {count:d} shards")
def step_sharded_tier(context, count):
    shards = [f"shard-{number}" for number in range(1, max(count, 4) + 1)]
    start_tier(context, shards)
    put_configuration(context)
    for number in range(1, count + 1):
        add_searcher(context, f"s-{number}", f"shard-{number}")


@given("a second searcher for each shard")
def step_second_searchers(context):
    for number in range(1, 5):
        add_searcher(context, f"t-{number}", f"shard-{number}")


@given("the searcher of shard {number:d} {fault}")
def step_shard_fault(context, number, fault):
    context.tier.searchers[f"s-{number}"].behave = BEHAVIOURS[fault]


@given("each searcher of the shards {one:d} and {other:d} {fault}")
def step_shards_fault(context, one, other, fault):
    for number in (one, other):
        context.tier.searchers[f"s-{number}"].behave = BEHAVIOURS[fault]


def named_parts(reply):
    signatures = reply.headers[NAMES.part_signatures.lower()].split(", ")
    return [signature.removeprefix("signed-by-") for signature in signatures]


def assert_parts(reply, count, missing):
    assert reply.status == 200, reply
    parts = named_parts(reply)
    assert len({part[2:] for part in parts}) == len(parts) == count, parts
    assert int(reply.headers[NAMES.missing_parts.lower()]) == missing, reply


@then("the answer names the parts of {count:d} shards and {missing:d} missing")
def step_parts(context, count, missing):
    assert_parts(context.reply, count, missing)


@then("each answer names the parts of {count:d} shards")
def step_each_parts(context, count):
    for reply in context.replies:
        assert_parts(reply, count, 0)


@then("its body is the 3 greatest records of these parts, in descending order")
def step_greatest(context):
    parts = named_parts(context.reply)
    records = sorted((context.tier.searchers[p].record for p in parts), reverse=True)
    assert context.reply.body == b"".join(records[:TOP_RECORDS]), context.reply


# ---- Injected errors ------------------------------------------------------------------


@given(
    'adding the searcher "{searcher_id}" raises an error, and so does removing any '
    "searcher"
)
def step_faulty_fleet(context, searcher_id):
    fleet = context.gateway.router.fleet
    update_searcher = fleet.update_searcher

    def update_others(searcher):
        if searcher.searcher_id == searcher_id:
            raise KeyError(searcher_id)
        update_searcher(searcher)

    def drop(searcher_id):
        raise KeyError(searcher_id)

    fleet.update_searcher = update_others
    fleet.remove_searcher = drop


@when(
    'the searcher "{searcher_id}" announces itself and configuration {version:d} is '
    "published"
)
def step_announce_and_publish(context, searcher_id, version):
    searcher = StandInSearcher(searcher_id=searcher_id, service="cards")
    context.tier.add_searcher(searcher)
    context.tier.wait_for(
        lambda: any(e["event"] == "task_failed" for e in context.tier.events),
        "the failure of the task",
    )
    context.configuration = {**context.configuration, "version": version}
    put_configuration(context)


@then("the host has configuration {version:d} in force and has logged a failed task")
def step_in_force_after_fault(context, version):
    context.tier.wait_for(
        lambda: context.gateway.router.version == version, "the new version"
    )
    failed = [e for e in context.tier.events if e["event"] == "task_failed"]
    assert failed and "KeyError" in failed[0]["trace"], failed
