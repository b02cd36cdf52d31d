"""Steps for accounts of requests that one entry host passes on to another."""

from behave import given, then, when
from tornado import httputil

from plantainstage._gateway.key_checks import UNCHECKED
from plantainstage._gateway.messages import CallerRequest, relayed_request
from plantainstage._gateway.relay_headers import RELAYED_ACCOUNT, RelayOrigin
from steps.client_account_steps import (
    ACCOUNT,
    CREDENTIALS,
    UNKNOWN,
    VALID,
    account,
    assert_forwarded,
    assert_no_key,
    received,
    send,
    send_with_key,
    with_accounts,
)
from steps.cut_off_steps import FAULTS, HostLinks, is_complete
from support.proxy import Network
from support.routed_tier import NAMES, RoutedTier, StandInSearcher

SERVICES = ("cards", "shard-1", "shard-2")


@given("{count:d} entry hosts with accounts that help each other")
def step_hosts(context, count):
    context.tier = RoutedTier(context.resources)
    context.network = Network()
    context.resources.callback(context.network.close)
    peers = context.tier.start_group(1)
    context.hosts = [
        context.tier.start_gateway(peers, relays=True) for _ in range(count)
    ]
    context.links = [HostLinks(context.network, host) for host in context.hosts]
    accounts = [account("acme", VALID), account("omni", "key-omni-1")]
    reply = context.tier.put_with_retries(with_accounts(1, accounts))
    assert reply.status == 200, reply
    for service in SERVICES:
        searcher = StandInSearcher(searcher_id=f"{service}-1", service=service)
        context.tier.add_searcher(searcher)
    context.searchers = list(context.tier.searchers.values())
    for host in context.hosts:
        context.tier.wait_for(lambda host=host: is_complete(context, host), "a host")
    context.gateway = context.hosts[0]
    for number, host in enumerate(context.hosts):
        keep_fingerprints(context, number, host)


def keep_fingerprints(context, number, host):
    """Records the fingerprints of the requests of a host, and their headers."""
    context.fingerprints = {}
    context.relayed_headers = []
    ingress = host.relay_ingress if number else host.ingress
    start = ingress.start_request

    def start_and_keep(server_conn, request_conn):
        request = start(server_conn, request_conn)
        start_routed = request._start

        def start_routed_and_keep(route, sent):
            name = (number, sent.request_id)
            context.fingerprints[name] = sent.fingerprint
            if number:
                context.relayed_headers.append(sent.headers)
            return start_routed(route, sent)

        request._start = start_routed_and_keep
        return request

    ingress.start_request = start_and_keep


def pass_on(context, target):
    """Sends requests to host 1, which is cut off, until one was passed on."""
    context.links[0].apply(FAULTS["are reset and refused"])
    host = context.hosts[0]
    count = 0
    while not context.relayed_headers:
        count += 1
        work = send_with_key(host, VALID, target, f"r-{count}")
        if target.startswith("/open/"):
            lines = CREDENTIALS["an unknown key"] + [f"{NAMES.account}: omni"]
            work = send(host, "GET", target, lines, request_id=f"r-{count}")
        reply = context.tier.run(work)
        assert reply.status != 401, reply


@when("host 1 reaches no searcher and passes requests on")
def step_pass_on(context):
    pass_on(context, "/read/x")


@when("host 1 reaches no searcher and passes on anonymous requests")
def step_pass_on_anonymous(context):
    pass_on(context, "/open/x")


@then("the helper got the account in both headers and no key")
def step_helper_headers(context):
    for headers in context.relayed_headers:
        assert headers[RELAYED_ACCOUNT] == headers[NAMES.account] == "acme", headers
        assert "Authorization" not in headers, headers
        assert VALID not in str(headers), headers


@then("both hosts computed the same fingerprint")
def step_same_fingerprint(context):
    relayed = {name: f for (number, name), f in context.fingerprints.items() if number}
    assert relayed
    for name, fingerprint in relayed.items():
        assert context.fingerprints[0, name] == fingerprint, context.fingerprints


@then("a request with an unknown key to host 1 gets 401 and is not passed on")
def step_not_passed(context):
    before = len(context.relayed_headers)
    reply = context.tier.run(send_with_key(context.hosts[0], UNKNOWN))
    assert reply.status == 401, reply
    assert len(context.relayed_headers) == before


@then("no log line has a key")
def step_no_key(context):
    assert_no_key(context)


# ---- Messages of other hosts ----------------------------------------------------------


def relay_lines(context, relayed_account):
    """Returns the header lines of a host that passes a request on."""
    router = context.hosts[0].router
    origin = RelayOrigin(
        host_id="other",
        version=router.version,
        route=router.table.find("a.example", "/read/x").digest,
        counted=False,
        account=relayed_account,
    )
    return origin.lines().split("\r\n")[:-1]


def send_relayed(context, lines):
    listener = context.hosts[0].settings.relay_listen
    work = send(context.hosts[0], "GET", "/read/x", lines, address=listener)
    return context.tier.run(work)


@when("a host of a72f0ac passes a request on to host 1 with {credentials}")
def step_relay_old(context, credentials):
    lines = relay_lines(context, None) + CREDENTIALS[credentials]
    assert not any(line.startswith(RELAYED_ACCOUNT) for line in lines)
    context.reply = send_relayed(context, lines)


@when('a host with "{name}" passes a request on to host 1 with {credentials}')
def step_relay_new(context, name, credentials):
    lines = relay_lines(context, name) + CREDENTIALS[credentials]
    context.reply = send_relayed(context, lines)


@when('a host with "" passes a request on to host 1 with {credentials}')
def step_relay_unidentified(context, credentials):
    step_relay_new(context, "", credentials)


@then('the searchers\' calls have the account "{name}" and no key')
def step_relayed_calls(context, name):
    requests = received(context)
    assert len(requests) == (context.reply.status == 200), requests
    assert_forwarded(requests, name)


@then('the searchers\' calls have the account "" and no key')
def step_relayed_calls_without(context):
    step_relayed_calls(context, "")
    assert not any(ACCOUNT in request.headers for request in received(context))


@when("a host without accounts passes a request with a key on")
def step_relay_without_accounts(context):
    headers = httputil.HTTPHeaders({"Authorization": f"Bearer {VALID}"})
    request = CallerRequest(
        method="GET",
        target="/read/x",
        headers=headers,
        body=b"",
        request_id="r-1",
        deadline_ms=None,
        received_at=0.0,
        account=UNCHECKED.account,
    )
    origin = RelayOrigin(
        host_id="h", version=1, route="", counted=False, account=request.account
    )
    message = relayed_request(request, names=NAMES, origin=origin, remaining_ms=1)
    context.message = message.decode("latin1")


@then("the message has the key, and does not state an account")
def step_message(context):
    assert f"Authorization: Bearer {VALID}\r\n" in context.message, context.message
    assert RELAYED_ACCOUNT not in context.message, context.message
    assert NAMES.account not in context.message, context.message


@when("a caller of host 1 sends the header of relayed accounts without a key")
def step_forged(context):
    lines = relay_lines(context, "acme")
    context.reply = context.tier.run(send(context.hosts[0], "GET", "/read/x", lines))
