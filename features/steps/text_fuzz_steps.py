"""Steps that send texts of any characters to each interface of the routed programs."""

import asyncio
import contextlib
import itertools
import json
from urllib.parse import quote

from behave import then, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from steps.unusable_text_steps import SMUGGLED
from support.routed_tier import NAMES, read_message, until

ASKED_AFTER = 10  # messages, a few requests are sent
ASKED = 8  # at the same time, so that both searchers of a shard get some
REPLY_LIMIT_S = 1.0
OWN_REQUEST = "ask-"
TAKEN_OR_REFUSED = frozenset({200, 400, 404, 503})

# Characters that end a line, a value or a head somewhere, or that some codec lacks.
CRITICAL = st.sampled_from("\r\n\0\t :/%\x7f\x85\xa0\xe9\u0100\u2028\U0001f600")
CHARACTERS = st.characters(exclude_categories=("Cs",))
TEXTS = st.one_of(
    st.text(st.one_of(CRITICAL, CHARACTERS), max_size=20),
    st.text(CRITICAL, max_size=6),
    st.just(SMUGGLED),
    st.builds("{}{}".format, st.just("s-x"), CRITICAL),
)
# Any bytes of a header value or a target but those that end it.
HEADER_BYTES = st.binary(max_size=30).map(
    lambda value: value.replace(b"\r", b"").replace(b"\n", b"")
)


class Sent:
    """What a scenario has sent: statuses of the replies, ids that were taken."""

    def __init__(self):
        self.statuses = []
        self.ids = set()
        self.markers = itertools.count()


async def post(context, path, body):
    address = next(iter(context.tier.registries))
    return await context.tier.call_control(address, "POST", path, body)


def announcement(context, texts):
    """Returns the fields of a searcher; fields without a text are usual ones."""
    shard = context.configuration["services"][1]["name"]
    sound = next(s for s in context.tier.searchers.values() if s.service == shard)
    usual = {"service": shard, "address": sound.address, "data_centre": "dc-1"}
    return {**usual, "searcher_id": "s-x", "slots": 2, "sequence": 1, **texts}


async def announce(context, texts):
    fields = announcement(context, texts)
    path = f"/v1/searchers/{quote(fields['searcher_id'], safe='')}/announcement"
    reply = await post(context, path, json.dumps(fields).encode())
    if reply.status == 200 and fields["searcher_id"] not in context.sent.ids:
        context.sent.ids.add(fields["searcher_id"])
        await reach_host(context)
        await ask(context)
    return reply


async def reach_host(context):
    """Returns once the host knows what the replica has taken up to now."""
    marker = f"marker-{next(context.sent.markers)}"
    texts = {"searcher_id": marker, "service": "cards", "address": "127.0.0.1:9"}
    fields = announcement(context, {**texts, "started_at_ms": 2})
    path = f"/v1/searchers/{marker}/announcement"
    await post(context, path, json.dumps(fields).encode())
    known = context.gateway.link.merged_searchers.known
    await until(lambda: marker in known)


async def depart(context, texts):
    path = f"/v1/searchers/{quote(texts['searcher_id'], safe='')}/departure"
    return await post(context, path, b"")


async def publish(context, texts):
    """Publishes the scenario's configuration with one more route and service."""
    context.configuration["version"] += 1
    document = json.loads(json.dumps(context.configuration))
    service = {"name": texts["service"], "health_path": texts["health_path"]}
    document["services"].append(service)
    target = {"type": "OneOf", "shares": [{"service": texts["service"]}]}
    route = {name: texts[name] for name in ("name", "host", "path_prefix")}
    document["routes"].append(
        {**document["routes"][0], **route, "target": target},
    )
    return await post(context, "/v1/configuration", json.dumps(document).encode())


async def call_with(context, texts):
    """Sends a caller's request with any bytes in its headers; returns the status."""
    address = context.gateway.settings.listen
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(
        b"GET /read/"
        + texts["target"]
        + b" HTTP/1.1\r\nHost: a.example\r\n"
        + NAMES.request_id.encode()
        + b": "
        + OWN_REQUEST.encode()
        + texts["request_id"]
        + b"\r\nX-Other: "
        + texts["other"]
        + b"\r\nContent-Length: 0\r\n\r\n"
    )
    with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(REPLY_LIMIT_S):
            line, *_ = await read_message(reader)
            context.sent.statuses.append(int(line.split(" ")[1]))
    writer.close()


OPTIONAL = {"searcher_id": TEXTS, "service": TEXTS, "data_centre": TEXTS}
KINDS = {
    "announcements": (
        announce,
        st.fixed_dictionaries({}, optional={**OPTIONAL, "address": TEXTS}),
    ),
    "departures": (depart, st.fixed_dictionaries({"searcher_id": TEXTS})),
    "configurations": (
        publish,
        st.fixed_dictionaries(
            {
                "service": TEXTS,
                "health_path": st.one_of(st.just("/health"), TEXTS),
                "name": TEXTS,
                "host": TEXTS,
                "path_prefix": TEXTS.map("/{}/".format),
            }
        ),
    ),
    "requests of callers": (
        call_with,
        st.fixed_dictionaries(
            {name: HEADER_BYTES for name in ("target", "request_id", "other")}
        ),
    ),
}


async def ask(context):
    """Sends requests to all shards; they are answered whatever else is sent."""
    replies = await asyncio.gather(
        *(
            context.tier.request(target="/all/x", request_id=f"{OWN_REQUEST}{number}")
            for number in range(ASKED)
        )
    )
    assert {reply.status for reply in replies} == {200}, replies


@when("{count:d} {messages} with any texts are sent, with seed {number:d}")
def step_send_any(context, count, messages, number):
    send, texts = KINDS[messages]
    context.sent = Sent()
    examples = 0

    @seed(number)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(texts)
    def send_one(drawn):
        nonlocal examples
        reply = context.tier.run(send(context, drawn))
        if reply is not None:
            context.sent.statuses.append(reply.status)
        examples += 1
        if examples % ASKED_AFTER == 0:
            context.tier.run(ask(context))

    send_one()


@then("each of them was taken or refused")
def step_taken_or_refused(context):
    assert context.sent.statuses
    others = set(context.sent.statuses) - TAKEN_OR_REFUSED
    assert not others, others


@then("requests to all shards are answered, and each searcher got the texts unaltered")
def step_unaltered(context):
    context.tier.run(ask(context))
    known = context.sent.ids | context.tier.searchers.keys()
    for searcher in context.tier.searchers.values():
        for request in searcher.received:
            assert request.request_id.startswith(OWN_REQUEST), request
            expected = request.headers[NAMES.expected_searcher.lower()]
            assert expected in known, (expected, known)
