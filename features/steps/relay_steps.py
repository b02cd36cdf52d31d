"""Steps for replicas that pass on to entry hosts what other replicas hear."""

from behave import given, then, when

from plantainstage._serving.searchers import SearcherState
from steps.routed_control_steps import addresses, document
from support.routed_tier import StandInSearcher


def daemon_at(context, address):
    return context.tier.registries[address][0]


@given("an entry host that polls one replica")
def step_host(context):
    seeds = [daemon_at(context, a).settings.own for a in addresses(context)]
    context.host = context.tier.start_gateway(seeds)
    context.tier.wait_for(lambda: polled(context), "the host to poll one replica")


def polled(context):
    """Returns the client address of the only replica that the host polls, if so."""
    link = context.host.link
    now = context.tier.loop.time()
    if link is None or not context.host.is_ready:
        return None
    direct = [
        address
        for address in addresses(context)
        if not link.sources.is_relayed(
            daemon_at(context, address).settings.own.sync_address, now
        )
    ]
    return direct[0] if len(direct) == 1 else None


@when(
    'a searcher "{searcher_id}" announces itself to a replica that the host does not poll'
)
def step_announce_elsewhere(context, searcher_id):
    context.polled = polled(context)
    context.other = next(a for a in addresses(context) if a != context.polled)
    context.searcher = StandInSearcher(searcher_id=searcher_id, service="cards")
    context.tier.run(context.searcher.start())
    work = context.tier.announce(context.searcher, address=context.other)
    assert context.tier.run(work).status == 200


@then('the host sends requests to "{searcher_id}"')
def step_used(context, searcher_id):
    members = context.host.router.fleet.members
    context.tier.wait_for(lambda: searcher_id in members, "the searcher")


@when(
    'the polled replica is stopped, and "{searcher_id}" announces to another '
    "that it drains"
)
def step_stop_and_drain(context, searcher_id):
    context.tier.stop_registry(context.polled)
    body = context.searcher.announcement(state=1)
    work = context.tier.announce(context.searcher, body, context.other)
    assert context.tier.run(work).status == 200


@then('the host sends no requests to "{searcher_id}"')
def step_unused(context, searcher_id):
    members = context.host.router.fleet.members
    context.tier.wait_for(lambda: searcher_id not in members, "the departure")


@when(
    "a follower's log stops, and configuration {version:d} is acknowledged by another "
    "replica"
)
def step_log_stops(context, version):
    leader = context.tier.leader()
    context.follower = next(
        daemon
        for daemon, *_ in context.tier.registries.values()
        if daemon is not leader
    )
    replica = context.follower.replica
    context.tier.run(replica.stop())
    reply = context.tier.put_with_retries(document(version), leader.own_address)
    assert reply.status == 200, reply


@then("the follower reports version {version:d} to entry hosts")
def step_follower_reports(context, version):
    machine = context.follower.machine
    context.tier.wait_for(lambda: machine.newest.version == version, "the version")


@when('"{searcher_id}" reports its departure to the replica that the host polls')
def step_depart(context, searcher_id):
    path = f"/v1/searchers/{searcher_id}/departure"
    work = context.tier.call_control(context.polled, "POST", path)
    assert context.tier.run(work).status == 200


@then('announcements of the same start do not bring "{searcher_id}" back')
def step_not_back(context, searcher_id):
    for address in addresses(context):
        work = context.tier.announce(context.searcher, address=address)
        assert context.tier.run(work).status == 200
        entry = daemon_at(context, address).register.entries[searcher_id]
        assert entry.searcher.state is SearcherState.LEFT, entry
    assert searcher_id not in context.host.router.fleet.members
