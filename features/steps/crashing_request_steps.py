"""Steps for requests that end the searchers that run them."""

import asyncio
import itertools
import json

from behave import given, then, when

from steps.routed_control_steps import run_command
from steps.routed_request_steps import configuration
from support.routed_tier import RoutedTier, StandInSearcher, answer_whole, end_on

PREFIXES = {"single": "/read/", "gathered": "/all/"}
MINUTE_S = 60.0  # a refusal that names a longer time is a quarantine
SHARDS = ("shard-1", "shard-2", "shard-3", "shard-4")


@given("{hosts:d} entry hosts and {replicas:d} replicas of control")
def step_tier(context, hosts, replicas):
    context.tier = RoutedTier(context.resources)
    peers = context.tier.start_group(replicas)
    for _ in range(hosts):
        context.tier.start_gateway(peers)
    context.hosts = [daemon for daemon, *_ in context.tier.gateways]
    reply = context.tier.put_with_retries(configuration(1, SHARDS))
    assert reply.status == 200, reply


@given(
    "{count:d} searchers of each service of a {route} route that a request to its path "
    '"{path}" ends'
)
def step_searchers(context, count, route, path):
    context.target = PREFIXES[route] + path
    services = ("cards",) if route == "single" else SHARDS
    for service, number in itertools.product(services, range(count)):
        searcher = StandInSearcher(searcher_id=f"{service}-{number}", service=service)
        searcher.behave = end_on(context.target)
        context.tier.add_searcher(searcher)
    context.searchers = list(context.tier.searchers.values())
    for host in context.hosts:
        fleet = host.router.fleet
        context.tier.wait_for(
            lambda fleet=fleet: len(fleet.members) == len(context.searchers),
            "all searchers",
        )


@when(
    "a caller sends that request {count:d} times within {seconds:g} s, to the hosts in "
    "turn"
)
def step_send(context, count, seconds):
    async def send(number, host):
        await asyncio.sleep(number * seconds / count)
        return await context.tier.call(host.settings.listen, target=context.target)

    async def send_all():
        hosts = itertools.islice(itertools.cycle(context.hosts), count)
        return await asyncio.gather(*itertools.starmap(send, enumerate(hosts)))

    context.replies = context.tier.run(send_all())


def ends_of(context):
    return sorted(at for searcher in context.searchers for at in searcher.crashes)


@then("{count:d} searchers have ended at least")
def step_ended(context, count):
    assert len(ends_of(context)) >= count


@then(
    "at most {count:d} arrivals of it are later than {seconds:g} s after the third end"
)
def step_arrivals(context, count, seconds):
    third = ends_of(context)[2]
    arrivals = [
        at - third
        for searcher in context.searchers
        for at, target in searcher.arrivals
        if target == context.target
    ]
    late = [after for after in arrivals if after > seconds]
    assert len(late) <= count, f"{len(late)} of {len(arrivals)} arrivals are late"


@then("no host has answered it with a 4xx status")
def step_no_denial(context):
    statuses = {reply.status for reply in context.replies}
    assert statuses <= {200, 502, 503, 504}, statuses


# ---- Operators, restarts and harmless requests --------------------------------------


def call_host(context, host, target=None):
    call = context.tier.call(host.settings.listen, target=target or context.target)
    return context.tier.run(call)


@when("a caller sends that request to the hosts in turn until each one has refused it")
def step_until_refused(context):
    refused = set()
    for host in itertools.cycle(context.hosts):
        reply = call_host(context, host)
        if reply.status == 503 and float(reply.headers["retry-after"]) > MINUTE_S:
            refused.add(host.settings.listen)
        if len(refused) == len(context.hosts):
            return
        context.tier.run(asyncio.sleep(0.05))


def quarantined_at(context, address):
    call = context.tier.call_control(address, "GET", "/v1/quarantined-requests")
    rows = json.loads(context.tier.run(call).body)
    return [row["fingerprint"] for row in rows if row["quarantined"]]


@then("each replica lists it as quarantined")
def step_listed(context):
    for address in context.tier.registries:
        context.tier.wait_for(
            lambda address=address: len(quarantined_at(context, address)) == 1,
            "the quarantine at each replica",
        )


def wait_until_up(context):
    context.tier.wait_for(
        lambda: not any(searcher.is_down for searcher in context.searchers),
        "the searchers",
    )
    starts = {searcher.started_at_ms for searcher in context.searchers}
    assert starts != {1}, "no searcher has started again"
    for host in context.hosts:
        context.tier.wait_for(lambda host=host: knows_starts(context, host), "starts")


def knows_starts(context, host):
    members = host.router.fleet.members
    return all(
        searcher.searcher_id in members
        and members[searcher.searcher_id].searcher.started_at_ms
        == searcher.started_at_ms
        for searcher in context.searchers
    )


@when("the searchers are up again")
def step_up(context):
    wait_until_up(context)


@when("the searchers are mended and the command lifts what it lists as quarantined")
def step_lift(context):
    wait_until_up(context)
    for searcher in context.searchers:
        searcher.behave = answer_whole
    context.controls = list(context.tier.registries)
    run_command(context, "quarantined")
    rows = json.loads(context.command.output)
    (fingerprint,) = [row["fingerprint"] for row in rows if row["quarantined"]]
    run_command(context, "lift", fingerprint)
    assert context.command.exit_code == 0, context.command.output


@when('the command lifts "{text}"')
def step_lift_text(context, text):
    context.controls = list(context.tier.registries)
    run_command(context, "lift", text)


@then("each host answers the request with 200")
def step_answered(context):
    for host in context.hosts:
        context.tier.wait_for(
            lambda host=host: call_host(context, host).status == 200, "an answer"
        )


@when("another host starts")
def step_new_host(context):
    peers = context.hosts[0].settings.control_addresses
    context.new_host = context.tier.start_gateway(
        [daemon.settings.own for daemon, *_ in context.tier.registries.values()]
    )
    assert context.new_host.settings.control_addresses() == peers()
    context.tier.wait_for(
        lambda: context.new_host.router.table is not None, "a configuration"
    )


@then("it refuses the request and no searcher gets it")
def step_refused_by_new(context):
    before = sum(len(searcher.arrivals) for searcher in context.searchers)
    assert call_host(context, context.new_host).status == 503
    after = sum(len(searcher.arrivals) for searcher in context.searchers)
    assert after == before


@then("{count:d} other requests to the hosts are answered with {status:d}")
def step_harmless(context, count, status):
    hosts = itertools.islice(itertools.cycle(context.hosts), count)
    statuses = [
        call_host(context, host, f"{context.target}-{number % 5}").status
        for number, host in enumerate(hosts)
    ]
    assert statuses == [status] * count, statuses
