"""Steps for observations of searchers that hosts share over the polls of control."""

import re

from behave import given, then, when

from plantainstage._gateway.fleet import Fleet
from plantainstage._serving.connection_shares import HostCounts
from plantainstage._serving.placement import SearcherLoad
from plantainstage._serving.searcher_observations import (
    ObservationLog,
    SearcherTroubles,
)
from routed_model.scenarios import run_scenario
from support.rate_limit_run import searcher_named
from support.routed_tier import RoutedTier, StandInSearcher, reject

SEARCHER = searcher_named("s-1")
NOW = 100.0
WORK_S = 0.02


def observe(*, answers=0, slowness=8.0, failures=0):
    """Returns the observations of one host."""
    log = ObservationLog()
    for _ in range(answers):
        log.record_answer("s-1", slowness)
    for _ in range(failures):
        log.record_failure("s-1")
    return log.take()


@when("hosts observe {observed} of a searcher")
def step_observe(context, observed):
    context.troubles = SearcherTroubles()
    bad = int(observed.split()[0])
    among = re.search(r"of (\d+)", observed)
    good = int(among.group(1)) - bad if among else 0
    at = NOW - 2.0 if observed.endswith("2 s ago") else NOW - 0.1
    for _ in range(bad):
        rejected = "rejection" in observed
        seen = observe(failures=1) if rejected else observe(answers=1)
        context.troubles.record(seen, at)
    for _ in range(good):
        context.troubles.record(observe(answers=1, slowness=1.0), at)


@then("it counts as {meaning}")
def step_meaning(context, meaning):
    troubles = context.troubles.current(NOW)
    assert bool(troubles) == (meaning == "in trouble"), troubles


@given("a replica whose hosts observe {count:d} slow answer of a searcher")
def step_replica(context, count):
    context.troubles = SearcherTroubles()
    context.troubles.record(observe(answers=count), NOW)


@when("another replica reports {count:d} slow answers of it, twice")
def step_other_replica(context, count):
    for _ in range(2):
        context.troubles.record_sums("other", observe(answers=count), NOW)


@then("the searcher is in trouble with {count:d} answers counted")
def step_counted(context, count):
    (trouble,) = context.troubles.current(NOW)
    assert trouble.slowness == 8.0, trouble
    # One answer less would not count as trouble.
    assert count == 3


@given("a host that was answered quickly by a searcher {age:g} s ago")
def step_host(context, age):
    context.load = SearcherLoad(searcher=SEARCHER, known_since=0.0)
    context.load.answered(elapsed_s=WORK_S, work_s=WORK_S, now=NOW - age)
    context.heard_at = NOW


@when("all hosts observe the searcher 8 times slower")
@when(
    "all hosts observe the searcher 8 times slower, {ago:g} s before the host is cut off"
)
def step_all_hosts(context, ago=0.0):
    troubles = SearcherTroubles()
    troubles.record(observe(answers=3), NOW)
    (trouble,) = troubles.current(NOW)
    context.load.observed_by_all(trouble, NOW - ago)


@then("the host relies on its own")
def step_own(context):
    assert context.load.current_slowness(NOW) < 1.5


@then("the host relies on the others")
def step_others(context):
    assert context.load.current_slowness(NOW) == 8.0


def shares(hosts, cap):
    fleet = Fleet(data_centre="dc-1", make_pool=None)
    counts = HostCounts(by_data_centre={"dc-1": hosts})
    fleet.set_limits(hosts=counts, caps={"cards": cap})
    return fleet.shares_observations


@then("{hosts:d} hosts that share {cap:d} connections exchange nothing")
def step_exchange_nothing(context, hosts, cap):
    assert not shares(hosts, cap)


@then("{hosts:d} hosts that share {cap:d} connections exchange observations")
def step_exchange(context, hosts, cap):
    assert shares(hosts, cap)


@when(
    'it runs with seed {seed:d} and the fault scenario "{fault}" with shared and with '
    "own observations"
)
def step_both(context, seed, fault):
    context.shared, context.own = (
        run_scenario(
            name=fault,
            deployment=context.deployment,
            seed=seed,
            seconds=5.0,
            load=1.0,
            share_observations=shared,
        )
        for shared in (True, False)
    )


@then("at most {factor:g} times as many requests fail with shared observations")
def step_fewer_fail(context, factor):
    assert context.shared.failed <= factor * context.own.failed, (
        context.shared,
        context.own,
    )


# ---- Real daemons ---------------------------------------------------------------------


@given("a tier of a replica and 2 hosts that share 1 connection to each searcher")
def step_tier(context):
    context.tier = tier = RoutedTier(context.resources)
    peers = tier.start_group(1)
    for _ in range(2):
        tier.start_gateway(peers)
    target = {"type": "OneOf", "shares": [{"service": "cards"}]}
    route = {
        "name": "card",
        "host": "a.example",
        "path_prefix": "/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "aim_ms": 300,
        "attempts": 2,
        "target": target,
    }
    services = [{"name": "cards", "connections": 1}]
    document = {"version": 1, "routes": [route], "services": services}
    assert tier.put_with_retries(document).status == 200


@given('searchers "s-1" and "s-2" of the service "cards", of which "s-1" rejects')
def step_searchers(context):
    tier = context.tier
    for searcher_id in ("s-1", "s-2"):
        tier.add_searcher(StandInSearcher(searcher_id=searcher_id, service="cards"))
    tier.searchers["s-1"].behave = reject
    daemons = [daemon for daemon, *_ in tier.gateways]
    tier.wait_for(
        lambda: all(len(d.router.fleet.members) == 2 for d in daemons), "searchers"
    )
    tier.wait_for(
        lambda: all(d.router.fleet.shares_observations for d in daemons), "sharing"
    )


@when('callers of the first host send requests until "s-1" has rejected {count:d}')
def step_until_rejected(context, count):
    tier = context.tier
    fleet = tier.gateways[0][0].router.fleet
    rejecting = tier.searchers["s-1"]
    while len(rejecting.received) < count:
        fleet.members["s-2"].load.avoid(tier.loop.time() + 0.1)
        tier.run(tier.request(target="/x"))
    context.rejected = len(rejecting.received)


@then('the second host sends its first {count:d} requests to "s-2" only')
def step_second_host(context, count):
    tier = context.tier
    daemon = tier.gateways[1][0]
    member = daemon.router.fleet.members["s-1"]
    tier.wait_for(lambda: member.load.trouble is not None, "the word of the others")
    for number in range(count):
        names = {"X-Request-Id": f"r-{number}", "X-Deadline-Ms": "2000"}
        call = tier.call(daemon.settings.listen, target="/x", **names)
        assert tier.run(call).status == 200
    assert len(tier.searchers["s-1"].received) == context.rejected
