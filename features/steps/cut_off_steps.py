"""Steps for entry hosts that are cut off from the searchers."""

import asyncio
import itertools
from collections import Counter

from behave import given, then, when

from plantainstage._gateway.pool import SearcherPool
from steps.routed_request_steps import configuration
from support.proxy import Network
from support.routed_tier import (
    NAMES,
    RoutedTier,
    StandInSearcher,
    answer_whole,
    answer_without_end,
)

SHARDS = ("shard-1", "shard-2", "shard-3", "shard-4")
SEARCHERS = 3
KINDS = (("GET", "/read/"), ("POST", "/card/"), ("GET", "/all/"))
ONCE = KINDS[1]


def hold(link):
    link.hold()


def reset_and_refuse(link):
    link.refuse()
    link.reset()


def hold_and_refuse(link):
    link.hold()
    link.refuse()


FAULTS = {
    "hang": hold,
    "are reset and refused": reset_and_refuse,
    "hang, new ones refused": hold_and_refuse,
}


class HostLinks:
    """One host's links to all searchers, in place of direct connections."""

    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.links = {}  # address of a searcher -> Link
        self.services = {}  # address of a searcher -> service
        host.router.fleet.make_pool = self.make_pool

    def make_pool(self, *, searcher):
        link = self.links.get(searcher.address)
        if link is None:
            link = self.network.link(searcher.address)
            self.links[searcher.address] = link
            self.services[searcher.address] = searcher.service
        router = self.host.router
        return SearcherPool(
            address=link.address, names=router.names, memory=router.reply_memory
        )

    def apply(self, fault, services=None):
        for address, link in self.links.items():
            if services is None or self.services[address] in services:
                fault(link)


@given(
    "{hosts:d} entry hosts that help each other, and {searchers:d} searchers of each "
    "service"
)
def step_tier(context, hosts, searchers):
    context.tier = RoutedTier(context.resources)
    context.network = Network()
    context.resources.callback(context.network.close)
    peers = context.tier.start_group(3)
    context.hosts = [
        context.tier.start_gateway(peers, relays=True) for _ in range(hosts)
    ]
    context.links = [HostLinks(context.network, host) for host in context.hosts]
    reply = context.tier.put_with_retries(configuration(1, SHARDS))
    assert reply.status == 200, reply
    for service, number in itertools.product(("cards", *SHARDS), range(searchers)):
        searcher = StandInSearcher(searcher_id=f"{service}-{number}", service=service)
        context.tier.add_searcher(searcher)
    context.searchers = list(context.tier.searchers.values())
    for host in context.hosts:
        context.tier.wait_for(lambda host=host: is_complete(context, host), "a host")
    context.numbers = itertools.count()
    context.once_ids = []


def is_complete(context, host):
    router = host.router
    helpers = len(router.helpers.hosts.addresses)
    knows_all = len(router.fleet.members) == len(context.searchers)
    return knows_all and router.table is not None and helpers == len(context.hosts) - 1


def host_named(context, number):
    return context.hosts[number - 1]


def send(context, host, kind, ms=2000):
    """Returns the call of a request of one kind; requests have their own ids."""
    method, prefix = kind
    request_id = f"r-{next(context.numbers)}"
    if kind == ONCE:
        context.once_ids.append(request_id)
    names = {NAMES.request_id: request_id, NAMES.deadline: str(ms)}
    target = f"{prefix}{request_id}"
    return context.tier.call(
        host.settings.listen, method=method, target=target, **names
    )


def send_all_kinds(context, host, count):
    async def send_in_turn():
        replies = []
        for _ in range(count):
            calls = [send(context, host, kind) for kind in KINDS]
            replies += await asyncio.gather(*calls)
        return replies

    return context.tier.run(send_in_turn())


@when("a version allows bodies of {size:d} bytes")
def step_limit(context, size):
    version = 1 + max(host.router.version for host in context.hosts)
    document = configuration(version, SHARDS) | {"limits": {"body_bytes": size}}
    assert context.tier.put_with_retries(document).status == 200
    for host in context.hosts:
        context.tier.wait_for(
            lambda host=host: host.router.version == version, "the version at a host"
        )


@then("a request with a body of {size:d} bytes to host {number:d} gets 200")
def step_long_body(context, size, number):
    names = {NAMES.request_id: "long", NAMES.deadline: "5000"}
    listen = host_named(context, number).settings.listen
    work = context.tier.call(
        listen, method="POST", target="/card/long", body=bytes(size), **names
    )
    reply = context.tier.run(work)
    assert reply.status == 200, reply


@then(
    "a host still takes {size:d} bytes from other hosts, and {callers:d} from callers"
)
def step_limits(context, size, callers):
    host = context.hosts[1]
    assert host.relay_ingress.limits.body_bytes >= size
    assert host.ingress.limits.body_bytes == callers


# ---- Cuts ---------------------------------------------------------------------------


@when("the connections of host {number:d} to all searchers {fault}")
def step_cut(context, number, fault):
    context.links[number - 1].apply(FAULTS[fault])


@when("the connections of all hosts to all searchers {fault}")
def step_cut_all(context, fault):
    for links in context.links:
        links.apply(FAULTS[fault])


@when("the connections of host {number:d} to the searchers of {count:d} shards {fault}")
def step_cut_shards(context, number, count, fault):
    context.links[number - 1].apply(FAULTS[fault], SHARDS[:count])


@when("the connections of host {number:d} work again")
def step_restore(context, number):
    context.links[number - 1].apply(lambda link: link.release())


def send_until_cut_off(context, host):
    while not host.router.fleet.reach.is_cut_off:
        send_all_kinds(context, host, 1)


@then(
    "host {number:d} finds itself cut off while callers send it requests of each kind"
)
def step_cut_off(context, number):
    send_until_cut_off(context, host_named(context, number))


@then("each host finds itself cut off while callers send it requests of each kind")
def step_all_cut_off(context):
    for host in context.hosts:
        send_until_cut_off(context, host)


@then("host {number:d} finds that it reaches searchers")
def step_reaches(context, number):
    reach = host_named(context, number).router.fleet.reach
    context.tier.wait_for(lambda: not reach.is_cut_off, "the end of the cut")


# ---- Answers ------------------------------------------------------------------------


def passed_on(host):
    return host.router.metrics.passed_on._value.get()


@then("{count:d} requests of each kind to host {number:d} are answered with {status:d}")
def step_answered(context, count, number, status):
    host = host_named(context, number)
    context.passed_before = passed_on(host)
    statuses = Counter(r.status for r in send_all_kinds(context, host, count))
    assert statuses == {status: count * len(KINDS)}, statuses


@then("no request that may run once at most has run twice")
def step_once(context):
    runs = Counter(
        request.request_id
        for searcher in context.searchers
        for request in searcher.received
    )
    twice = [name for name in context.once_ids if runs[name] > 1]
    assert not twice, twice


@then("each was passed on once at most")
def step_one_hop(context):
    assert passed_on(context.hosts[0]) > 0
    assert not any(passed_on(host) for host in context.hosts[1:])


@then("none of them was passed on")
def step_none_passed(context):
    assert passed_on(context.hosts[0]) == context.passed_before


@then("requests to all shards at host {number:d} are answered with 200 in the end")
def step_gathers(context, number):
    host = host_named(context, number)

    def answered():
        reply = context.tier.run(send(context, host, KINDS[2]))
        return reply.status == 200 and passed_on(host) > 0

    context.tier.wait_for(answered, "an answer from all shards")


@then("{count:d} requests to one service at host {number:d} are not passed on")
def step_single_not_passed(context, count, number):
    host = host_named(context, number)
    before = passed_on(host)
    for _ in range(count):
        assert context.tier.run(send(context, host, KINDS[0])).status == 200
    assert passed_on(host) == before


@then("requests to each host are soon refused with 503 without being passed on")
def step_refused(context):
    for host in context.hosts:
        context.tier.wait_for(lambda host=host: is_refusing(context, host), "refusals")


def is_refusing(context, host):
    before = passed_on(host)
    replies = send_all_kinds(context, host, 1)
    refused = all(reply.status == 503 for reply in replies)
    return refused and passed_on(host) == before


# ---- Requests behind a helper ---------------------------------------------------------


def start_waiting_request(context, kind):
    """Sends a request to host 1 that a searcher of another host keeps waiting."""
    for searcher in context.searchers:
        searcher.behave = answer_without_end
    before = sum(len(searcher.received) for searcher in context.searchers)
    task = context.tier.loop.create_task(send(context, context.hosts[0], kind, 20000))
    context.tier.wait_for(
        lambda: sum(len(s.received) for s in context.searchers) > before,
        "the request at a searcher",
    )
    return task


@when("a request that may {repeat} is at a searcher for host 1 and its helper ends")
def step_helper_ends(context, repeat):
    kind = {"run once at most": ONCE, "be repeated": KINDS[0]}[repeat]
    task = start_waiting_request(context, kind)
    context.received = sum(len(s.received) for s in context.searchers)
    for searcher in context.searchers:
        searcher.behave = answer_whole
    for host in context.hosts[1:]:
        for request in list(host.relay_ingress.running):
            request.connection.stream.close()
    context.reply = context.tier.run(task)


@then("its caller gets {status:d} and one searcher has got it")
def step_one_run(context, status):
    assert context.reply.status == status, context.reply
    step_once(context)


@then("its caller gets {status:d} and no other helper has got it")
def step_no_other_helper(context, status):
    assert context.reply.status == status, context.reply
    received = sum(len(searcher.received) for searcher in context.searchers)
    assert received == context.received, (received, context.received)


@when("a caller of host 1 leaves while a searcher works on its request")
def step_caller_leaves(context):
    context.closed_before = sum(s.closed_early for s in context.searchers)
    start_waiting_request(context, KINDS[0]).cancel()


@then("the searcher's work is cancelled")
def step_cancelled(context):
    context.tier.wait_for(
        lambda: sum(s.closed_early for s in context.searchers) > context.closed_before,
        "the end of the work",
    )
