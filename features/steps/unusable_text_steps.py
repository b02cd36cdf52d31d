"""Steps for texts of other programs that a later message cannot carry."""

import asyncio
import itertools
import json
from urllib.parse import quote

import msgspec
from behave import given, then, when

from plantainstage._serving.configuration import Service
from plantainstage._serving.searchers import Searcher
from support.routed_tier import NAMES

REQUESTS = 12
EARLIEST_START_MS = 0  # a later one would end the sound searcher at the address
SMUGGLED = (
    "x\r\n\r\nPOST /evil HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
    f"{NAMES.request_id}: smuggled\r\n\r\n"
)


def announced(context, text):
    """Returns a searcher of the first shard that has one unusable text."""
    shard = context.configuration["services"][1]["name"]
    sound = next(s for s in context.tier.searchers.values() if s.service == shard)
    fields = {
        "searcher_id": "s-x",
        "service": shard,
        "address": sound.address,
        "data_centre": "dc-1",
    }
    match text:
        case "an id beyond Latin-1":
            fields["searcher_id"] = "\u0100\u0101"
        case "a whole request in its id":
            fields["searcher_id"] = SMUGGLED
        case "a NUL in its id":
            fields["searcher_id"] = "s\0x"
        case "a blank at the end of its id":
            fields["searcher_id"] = "s-x "
        case "a line break in its service":
            fields["service"] = f"{shard}\r\n"
        case "a line break in its location":
            fields["data_centre"] = "dc-1\r\nX-Other: 1"
        case "a name for its address":
            fields["address"] = "searcher.example:8080"
        case "a request in its address":
            fields["address"] = "[::1%\r\n\r\nGET /evil HTTP/1.1]:80"
    return Searcher(slots=2, sequence=1, started_at_ms=EARLIEST_START_MS, **fields)


@when("a searcher is announced with {text}")
def step_announce(context, text):
    searcher = announced(context, text)
    fields = {name: getattr(searcher, name) for name in searcher.__struct_fields__}
    path = f"/v1/searchers/{quote(searcher.searcher_id, safe='')}/announcement"
    address = next(iter(context.tier.registries))
    work = context.tier.call_control(address, "POST", path, json.dumps(fields).encode())
    context.reply = context.tier.run(work)


@then("the announcement is refused with 400")
def step_refused(context):
    assert context.reply.status == 400, context.reply
    assert b"must" in context.reply.body, context.reply.body


@when('a replica passes on a searcher with {text}, and a sound one "{sound}"')
def step_pass_on(context, text, sound):
    registry = next(iter(context.tier.registries.values()))[0]
    unusable = announced(context, text)
    others = Searcher(
        searcher_id=sound,
        service="cards",
        address="127.0.0.1:9",
        data_centre="dc-1",
        slots=2,
    )
    context.unusable = unusable.searcher_id
    now = context.tier.loop.time()
    for searcher in (unusable, others):
        registry.register.record_announcement(searcher, now)
    context.tier.wait_for(
        lambda: sound in context.gateway.router.fleet.members, "the sound searcher"
    )


@then("requests to all shards are answered, and searchers get no others")
def step_answered(context):
    numbers = itertools.count()

    async def ask():
        # At the same time, so that each searcher of a shard is needed.
        return await asyncio.gather(
            *(
                context.tier.request(target="/all/x", request_id=f"ask-{next(numbers)}")
                for _ in range(REQUESTS)
            )
        )

    for _ in range(2):
        replies = context.tier.run(ask())
        assert {reply.status for reply in replies} == {200}, replies
    for searcher in context.tier.searchers.values():
        others = [r for r in searcher.received if not r.request_id.startswith("ask-")]
        assert not others, others


@then('the host knows "{sound}" and has logged the other one')
def step_logged(context, sound):
    assert sound in context.gateway.router.fleet.members
    assert context.unusable not in context.gateway.router.fleet.members
    shown = context.unusable[:80]
    context.tier.wait_for(
        lambda: any(
            event["event"] == "searcher_unusable" and event["searcher"] == shown
            for event in context.tier.events
        ),
        "a log line about the unusable searcher",
    )


def apply_services(context, *services):
    router = context.gateway.router
    changed = msgspec.structs.replace(
        router.table.configuration, version=2, services=services
    )
    assert router.apply(changed)


@given("the configuration in force has a whole request in its health path")
def step_unusable_health_path(context):
    apply_services(context, Service(name="cards", health_path=f"/{SMUGGLED}"))


@given("the configuration in force does not define the service")
def step_no_service(context):
    apply_services(context)


@given('the configuration in force has the health path "{path}"')
def step_health_path(context, path):
    apply_services(context, Service(name="cards", health_path=path))


@when("the host checks whether it reaches searchers")
def step_probe(context):
    context.tier.run(context.gateway.router.reach_watch._probe())


@then('"{searcher_id}" got nothing but {method:w} {target:S}')
def step_checked(context, searcher_id, method, target):
    received = context.tier.searchers[searcher_id].received
    assert [(r.method, r.target) for r in received] == [(method, target)], received
