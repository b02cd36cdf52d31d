"""Steps for requests with keys of client accounts."""

import asyncio
import json

from behave import given, then, when

from plantainstage._gateway.messages import CallerRequest
from plantainstage._serving.account_keys import key_digest
from steps.account_check_steps import accounts_with, many
from steps.routed_request_steps import (
    add_searcher,
    configuration,
    put_configuration,
    single_route,
    start_tier,
)
from support.routed_tier import (
    BEHAVIOURS,
    NAMES,
    CallerReply,
    answer_whole,
    read_message,
    until,
)

VALID = "key-acme-1"
OTHER = "key-omni-1"
UNKNOWN = "key-of-nobody"
BODY = b"b" * 100_000
SHARDS = ("shard-1", "shard-2")
ACCOUNT = NAMES.account.lower()

CREDENTIALS = {
    "no Authorization": [],
    "an empty Authorization": ["Authorization: "],
    "an empty key": ["Authorization: Bearer "],
    "a key without a scheme": [f"Authorization: {VALID}"],
    "another scheme": [f"Authorization: Basic {VALID}"],
    "a key with a byte beyond ASCII": [f"Authorization: Bearer {VALID}\u00e9"],
    "a key and more": [f"Authorization: Bearer {VALID} {VALID}"],
    "a valid key twice": [f"Authorization: Bearer {VALID}"] * 2,
    "two valid keys": [
        f"Authorization: Bearer {VALID}",
        f"Authorization: Bearer {OTHER}",
    ],
    "an unknown key": [f"Authorization: Bearer {UNKNOWN}"],
    "a key in capitals": [f"Authorization: Bearer {VALID.upper()}"],
    "a key of 8192 characters": ["Authorization: Bearer " + "k" * 8192],
    "a valid key": [f"Authorization: Bearer {VALID}"],
    "a valid key and names in lowercase": [f"authorization: bearer {VALID}"],
    "a valid key and names in capitals": [f"AUTHORIZATION: BEARER {VALID}"],
    "a valid key and an account of its own": [
        f"Authorization: Bearer {VALID}",
        f"{NAMES.account}: omni",
    ],
    "only an account of its own": [
        f"{NAMES.account}: omni",
        f"{NAMES.account.lower()}: acme",
    ],
}


def account(name, keys, **changes):
    return {"name": name, "keys": keys.split(","), **changes}


def with_accounts(version, accounts):
    """Returns a configuration with routes that need keys and one that does not."""
    content = configuration(version, SHARDS)
    open_route = single_route("/open/", "idempotent", anonymous=True)
    routes = [*content["routes"], open_route]
    return {**content, "routes": routes, "accounts": accounts}


def publish(context, accounts):
    """Publishes the next version with the accounts; waits for it on all hosts."""
    version = context.configuration["version"] + 1
    context.configuration = with_accounts(version, accounts)
    put_configuration(context)
    hosts = [daemon for daemon, _, _ in context.tier.gateways]
    context.tier.wait_for(
        lambda: all(host.router.version == version for host in hosts), "the version"
    )


@given(
    'a tier whose accounts "{one}" and "{other}" have the keys "{keys}" and "{rest}"'
)
def step_tier(context, one, other, keys, rest):
    start_tier(context)
    publish(context, [account(one, keys), account(other, rest)])
    add_searcher(context, "s-1", "cards")
    for number, shard in enumerate(SHARDS, start=1):
        add_searcher(context, f"t-{number}", shard)


@when('accounts "{one}" and "{other}" get the keys "{keys}" and "{rest}"')
def step_publish(context, one, other, keys, rest):
    publish(context, [account(one, keys), account(other, rest)])


@given('the account "{name}" has the priority {priority:d}')
def step_priority(context, name, priority):
    publish(
        context,
        [
            {**entry, "priority": priority} if entry["name"] == name else entry
            for entry in context.configuration["accounts"]
        ],
    )


@given("a second entry host")
def step_second_host(context):
    peers = [daemon.settings.own for daemon, *_ in context.tier.registries.values()]
    host = context.tier.start_gateway(peers)
    context.tier.wait_for(lambda: len(host.router.fleet.members) == 3, "the host")


# ---- Callers --------------------------------------------------------------------------


def head(method, target, lines, *, length=0, request_id="r-1"):
    own = [
        f"{method} {target} HTTP/1.1",
        "Host: a.example",
        f"{NAMES.request_id}: {request_id}",
        f"{NAMES.deadline}: 2000",
        f"Content-Length: {length}",
    ]
    return ("\r\n".join([*own, *lines]) + "\r\n\r\n").encode("latin1")


async def connect(host, address=None):
    ip, _, port = (address or host.settings.listen).rpartition(":")
    return await asyncio.open_connection(ip, int(port))


async def read_reply(reader):
    line, headers, body = await read_message(reader)
    return CallerReply(status=int(line.split(" ")[1]), headers=headers, body=body)


async def send(
    host, method, target, lines, *, body=b"", request_id="r-1", address=None
):
    reader, writer = await connect(host, address)
    sent = head(method, target, lines, length=len(body), request_id=request_id)
    writer.write(sent + body)
    try:
        return await read_reply(reader)
    finally:
        writer.close()


def send_with_key(host, key, target="/read/x", request_id="r-1"):
    lines = [f"Authorization: Bearer {key}"]
    return send(host, "GET", target, lines, request_id=request_id)


@when('a caller sends {method} "{target}" with {credentials}')
def step_send(context, method, target, credentials):
    body = b"body" if method == "POST" else b""
    lines = CREDENTIALS[credentials]
    context.credentials = lines
    work = send(context.gateway, method, target, lines, body=body)
    context.reply = context.tier.run(work)


@then('the caller gets 401 with WWW-Authenticate "{scheme}"')
def step_unauthorised(context, scheme):
    assert context.reply.status == 401, context.reply
    assert context.reply.headers["www-authenticate"] == scheme, context.reply


# ---- Logs and metrics -----------------------------------------------------------------


def request_lines(context):
    return [line for line in context.tier.events if line["event"] == "request"]


def assert_no_key(context):
    """Checks that no line contains a key of a scenario, or the start of a long one."""
    text = json.dumps(context.tier.events)
    found = [key for key in (VALID, OTHER, UNKNOWN, "k" * 100) if key in text]
    assert not found, text


@then("it is logged and counted as {outcome}, without a key")
def step_logged_refusal(context, outcome):
    context.tier.wait_for(lambda: request_lines(context), "the log line")
    line = request_lines(context)[-1]
    assert (line["outcome"], line["status"]) == (outcome, 401), line
    key = ""
    if outcome == "key_unknown":
        key = key_digest(context.credentials[0].split(" ")[-1])
    assert (line["account"], line["key"]) == ("", key), line
    counter = context.gateway.router.metrics.refused_keys.labels(outcome)
    assert counter._value.get() == 1
    assert_no_key(context)


@then('its log line has the account "{name}", and no line has a key')
def step_logged_account(context, name):
    context.tier.wait_for(lambda: request_lines(context), "the log line")
    assert request_lines(context)[-1]["account"] == name, request_lines(context)
    assert_no_key(context)


@then('its log line has the account "", and no line has a key')
def step_logged_no_account(context):
    step_logged_account(context, "")


@then("its log line has no account")
def step_logged_without(context):
    context.tier.wait_for(lambda: request_lines(context), "the log line")
    assert "account" not in request_lines(context)[-1], request_lines(context)


# ---- Searchers ------------------------------------------------------------------------


def received(context):
    return [
        request
        for searcher in context.tier.searchers.values()
        for request in searcher.received
    ]


def assert_forwarded(requests, name):
    """Checks the account that searchers got, and that no header has a key."""
    for request in requests:
        assert request.headers.get(ACCOUNT, "") == name, request
        assert "authorization" not in request.headers, request
        text = json.dumps(request.headers)
        assert VALID not in text and UNKNOWN not in text, request


@then('searchers got the account "{name}" and no key, on {count:d} call')
def step_forwarded(context, name, count):
    assert len(received(context)) == count, received(context)
    assert_forwarded(received(context), name)


@then('searchers got the account "" and no key, on 1 call')
def step_forwarded_none(context):
    step_forwarded(context, "", 1)
    assert ACCOUNT not in received(context)[0].headers, received(context)


@then('searchers got the account "{name}" and no key, on each call')
def step_forwarded_each(context, name):
    assert_forwarded(received(context), name)


@then('searchers got the account "" and no key, on each call')
def step_forwarded_none_each(context):
    assert_forwarded(received(context), "")


@then('searchers got the account "" and the caller\'s Authorization')
def step_forwarded_unchanged(context):
    request = received(context)[-1]
    assert ACCOUNT not in request.headers, request
    assert request.headers["authorization"] == f"Bearer {VALID}", request


@given("searchers of which one {fault}")
def step_one_faulty(context, fault):
    add_searcher(context, "s-2", "cards")
    context.fault = {"resets connections": "resets"}.get(fault, fault)


@given("searchers of which all answer")
def step_none_faulty(context):
    context.fault = "answers"


@when('callers send GET "{target}" with a valid key until there were {calls}')
def step_send_until(context, target, calls):
    async def send_many(count):
        for _ in range(count):
            await send_with_key(context.gateway, VALID, target)

    # The retry budget starts empty and grows with requests.
    context.tier.run(send_many(60))
    context.tier.searchers["s-1"].behave = BEHAVIOURS[context.fault]
    metrics = context.gateway.router.metrics
    counted = {
        "repeats": lambda: metrics.repeats._value.get(),
        "hedges": lambda: metrics.hedges._value.get(),
        "gathers": lambda: len(received(context)),
    }
    while not counted[calls]():
        context.tier.run(send_many(1))


# ---- Bodies ---------------------------------------------------------------------------


def keep_ingress_requests(context):
    """Records the requests that the host receives."""
    ingress = context.gateway.ingress
    start = ingress.start_request
    context.ingress_requests = []

    def start_and_keep(server_conn, request_conn):
        request = start(server_conn, request_conn)
        context.ingress_requests.append(request)
        return request

    ingress.start_request = start_and_keep


@when(
    "a caller without a key sends the head of a request, and its body once it has 401"
)
def step_send_body_later(context):
    keep_ingress_requests(context)

    async def work():
        context.reader, context.writer = await connect(context.gateway)
        context.writer.write(head("POST", "/card/x", [], length=len(BODY)))
        context.reply = await read_reply(context.reader)
        context.writer.write(BODY)
        await context.writer.drain()

    context.tier.run(work())
    assert context.reply.status == 401, context.reply


@then("the host has kept no byte of the body")
def step_no_body(context):
    assert not context.ingress_requests[0].chunks


@then("a request with a valid key on the same connection gets 200")
def step_same_connection(context):
    async def work():
        lines = [f"Authorization: Bearer {VALID}"]
        context.writer.write(head("POST", "/card/y", lines))
        reply = await read_reply(context.reader)
        context.writer.close()
        return reply

    reply = context.tier.run(work())
    assert reply.status == 200, reply
    # The second request has its own buffer, so that the first one has been read whole.
    assert not context.ingress_requests[0].chunks


@when("a caller without a key asks whether to send its body")
def step_expect(context):
    async def work():
        reader, writer = await connect(context.gateway)
        lines = ["Expect: 100-continue"]
        writer.write(head("POST", "/card/x", lines, length=len(BODY)))
        try:
            return await reader.read()
        finally:
            writer.close()

    context.raw_reply = context.tier.run(work())


@then("it reads 401 with Connection close, and the end of the connection")
def step_expect_refused(context):
    text = context.raw_reply.decode()
    assert text.startswith("HTTP/1.1 401 "), text
    assert "connection: close" in text.lower(), text
    assert text.count("HTTP/1.1") == 1, text


@when("a caller without a key sends a body in whose middle accounts come into force")
def step_accounts_in_between(context):
    send_body_around(context, [], [account("acme", VALID)])


@when("a caller sends a body in whose middle its key is withdrawn")
def step_withdrawn_in_between(context):
    lines = [f"Authorization: Bearer {VALID}"]
    send_body_around(context, lines, [account("acme", OTHER)])


def send_body_around(context, lines, accounts):
    """Sends a request, and publishes accounts while its body arrives."""
    tier = context.tier
    keep_ingress_requests(context)

    async def begin():
        context.reader, context.writer = await connect(context.gateway)
        context.writer.write(head("POST", "/card/x", lines, length=len(BODY)))
        context.writer.write(BODY[:1000])
        await until(lambda: any(r.chunks for r in context.ingress_requests))

    async def complete():
        context.writer.write(BODY[1000:])
        context.reply = await read_reply(context.reader)
        context.writer.close()

    tier.run(begin())
    publish(context, accounts)
    tier.run(complete())


# ---- Changes of accounts --------------------------------------------------------------


@then(
    'on each host "{moved}" is a key of "{one}", "{new}" of "{other}", and '
    '"{withdrawn}" gets 401'
)
def step_keys_on_hosts(context, moved, one, new, other, withdrawn):
    for host, _, _ in context.tier.gateways:
        for key, name in ((moved, one), (new, other)):
            reply = context.tier.run(send_with_key(host, key))
            assert reply.status == 200, (key, reply)
            searcher = context.tier.searchers["s-1"]
            assert searcher.received[-1].headers[ACCOUNT] == name, (key, name)
        reply = context.tier.run(send_with_key(host, withdrawn))
        assert reply.status == 401, reply


@when('the account "{name}" is removed while its request runs')
def step_remove_account(context, name):
    tier = context.tier
    searcher = tier.searchers["s-1"]
    may_answer = asyncio.Event()

    async def answer_later(searcher, request, writer):
        await may_answer.wait()
        await answer_whole(searcher, request, writer)

    searcher.behave = answer_later
    task = tier.loop.create_task(send_with_key(context.gateway, VALID))
    tier.wait_for(lambda: searcher.received, "the request")
    rest = [a for a in context.configuration["accounts"] if a["name"] != name]
    publish(context, rest)
    assert name not in context.gateway.router.accounts
    may_answer.set()
    context.reply = tier.run(task)


@when('requests of "{one}" and then of "{other}" wait for a searcher that has no room')
def step_wait_for_room(context, one, other):
    tier = context.tier
    searcher = tier.searchers["s-1"]
    may_answer = asyncio.Event()

    async def answer_later(searcher, request, writer):
        await may_answer.wait()
        await answer_whole(searcher, request, writer)

    searcher.behave = answer_later
    keys = {"acme": VALID, "omni": OTHER}
    waiting = context.gateway.router.fleet.waiting["cards"]

    def start(name, target):
        return tier.loop.create_task(
            send_with_key(context.gateway, keys[name], target, target)
        )

    tasks = []
    while not waiting:
        tasks.append(start(one, "/card/fill"))
        tier.run(asyncio.sleep(0.01))
    context.sent_before = len(searcher.received)
    for count, (name, target) in enumerate(((one, "/card/1"), (other, "/card/2"))):
        tasks.append(start(name, target))
        tier.wait_for(lambda count=count: len(waiting) == count + 2, "the wait")
    may_answer.set()
    tier.run(asyncio.gather(*tasks))


@then('the request of "{name}" is sent first')
def step_sent_first(context, name):
    later = context.tier.searchers["s-1"].received[context.sent_before :]
    assert later[0].headers[ACCOUNT] == name, [r.headers[ACCOUNT] for r in later]


@then(
    'the fingerprint of a request is the same with "{one}" and "{second}", and another '
    'with "{other}"'
)
def step_fingerprints(context, one, second, other):
    found = {}
    start = context.gateway.router.end_checks.remaining_s

    def remaining_s(request: CallerRequest):
        found[request.request_id] = request.fingerprint
        return start(request)

    context.gateway.router.end_checks.remaining_s = remaining_s
    for key in (one, second, other):
        work = send_with_key(context.gateway, key, request_id=f"with {key}")
        assert context.tier.run(work).status == 200
    first, same, different = (found[f"with {key}"] for key in (one, second, other))
    assert first == same != different, found


@when("{accounts:d} accounts with {keys:d} keys are published")
def step_publish_many(context, accounts, keys):
    publish(context, many(accounts, keys))


@then('the last key of the last account gets 200, and "{withdrawn}" 401')
def step_last_key(context, withdrawn):
    last = context.configuration["accounts"][-1]
    reply = context.tier.run(send_with_key(context.gateway, last["keys"][-1]))
    assert reply.status == 200, reply
    headers = context.tier.searchers["s-1"].received[-1].headers
    assert headers[ACCOUNT] == last["name"], headers
    reply = context.tier.run(send_with_key(context.gateway, withdrawn))
    assert reply.status == 401, reply


@when("an operator sends accounts with {fault}")
def step_put_faulty(context, fault):
    accounts = accounts_with(fault)
    context.sent_keys = [key for entry in accounts for key in entry.get("keys", ())]
    version = context.configuration["version"] + 1
    context.reply = context.tier.put_with_retries(with_accounts(version, accounts))


@then("control replies 400 without any key, and no line has a key")
def step_refused_without_keys(context):
    assert context.reply.status == 400, context.reply
    text = context.reply.body.decode() + json.dumps(context.tier.events)
    assert "account" in text, text
    found = [key for key in context.sent_keys if len(key) > 8 and key in text]
    assert not found, text
