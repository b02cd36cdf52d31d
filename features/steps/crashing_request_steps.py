"""Steps for requests that end the searchers that run them."""

import asyncio
import itertools

from behave import given, then, when
from routed_request_steps import configuration

from support.routed_tier import RoutedTier, StandInSearcher, end_on

PREFIXES = {"single": "/read/", "gathered": "/all/"}
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
