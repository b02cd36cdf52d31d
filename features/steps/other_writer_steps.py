"""Steps for announcements of processes that do not belong to the deployment."""

from behave import given, then, when

from steps.routed_request_steps import call, put_configuration, single_route
from support.routed_tier import (
    BEHAVIOURS,
    NAMES,
    StandInSearcher,
    answer_whole,
    reply_head,
    sized,
)

OTHER_ID = "x-1"


async def answer_own(searcher, request, writer):
    """Rejects a request for a searcher with another id, as one may be sent here."""
    if request.headers[NAMES.expected_searcher.lower()] == searcher.searcher_id:
        await answer_whole(searcher, request, writer)
    else:
        head = reply_head(searcher, request, status="421 Misdirected Request")
        writer.write(head + sized(b""))


BEHAVIOURS["rejects requests for another searcher"] = answer_own


def announce(context, searcher, body):
    reply = context.tier.run(context.tier.announce(searcher, body))
    assert reply.status == 200, reply


def fleet(context):
    return context.gateway.router.fleet


@when(
    'another writer announces the address of "{searcher_id}" for "{service}", born '
    "{born:d} ms later"
)
def step_announce_address(context, searcher_id, service, born):
    context.searcher = context.tier.searchers[searcher_id]
    context.other = StandInSearcher(
        searcher_id=OTHER_ID,
        service=service,
        started_at_ms=context.searcher.started_at_ms + born,
    )
    context.other.address = context.searcher.address
    announce(context, context.other, context.other.announcement())


@when("the host has heard it")
def step_heard(context):
    def heard():
        ready = (e for e in context.tier.events if e["event"] == "searcher_ready")
        return any(e["searcher"] == OTHER_ID for e in ready)

    context.tier.wait_for(heard, "the announcement at the host")


@when('another writer announces itself as "{searcher_id}" for "{service}" {described}')
def step_announce_id(context, searcher_id, service, described):
    searcher = context.searcher = context.tier.searchers[searcher_id]
    changes = {"service": service, "sequence": searcher.sequence + 100_000}
    if "later start" in described:
        changes["started_at_ms"] = searcher.started_at_ms + 50
    state = 1 if "draining" in described else 0
    announce(context, searcher, searcher.announcement(state, **changes))


@when('"{searcher_id}" has announced itself again')
def step_again(context, searcher_id):
    searcher = context.tier.searchers[searcher_id]
    before = searcher.sequence
    # Two rounds later the earlier of them has been answered, and polled by the host.
    context.tier.wait_for(lambda: searcher.sequence > before + 5, "announcements")


@when('"{searcher_id}" reports that it leaves')
def step_leaves(context, searcher_id):
    report_departure(context, searcher_id)


@then('the host knows no searcher "{searcher_id}"')
def step_unknown(context, searcher_id):
    members = fleet(context).members
    context.tier.wait_for(lambda: searcher_id not in members, "the departure")


def report_departure(context, searcher_id):
    path = f"/v1/searchers/{searcher_id}/departure"
    address = next(iter(context.tier.registries))
    reply = context.tier.run(context.tier.call_control(address, "POST", path))
    assert reply.status == 200, reply


@when("the other writer leaves")
def step_other_leaves(context):
    report_departure(context, OTHER_ID)
    context.tier.wait_for(lambda: OTHER_ID not in fleet(context).members, "departure")


@given('a configuration names "{service}"')
@when('a configuration names "{service}"')
def step_name(context, service):
    version = context.configuration["version"] + 1
    target = {"type": "OneOf", "shares": [{"service": service}]}
    later = single_route(f"/{service}/", "idempotent", target=target)
    context.configuration = {
        "version": version,
        "routes": [*context.configuration["routes"], later],
        "services": [*context.configuration["services"], {"name": service}],
    }
    put_configuration(context)
    context.tier.wait_for(
        lambda: context.gateway.router.version == version, "the new version"
    )


@when(
    '"{ended}" ends, and a searcher "{searcher_id}" of "{service}" starts at its address'
)
def step_take_over(context, ended, searcher_id, service):
    tier = context.tier
    before = tier.searchers.pop(ended)
    before.crash()
    after = StandInSearcher(
        searcher_id=searcher_id,
        service=service,
        started_at_ms=before.started_at_ms + 50,
    )
    after.behave = answer_own
    tier.run(after.start(port=int(before.address.rpartition(":")[2])))
    tier.searchers[searcher_id] = after
    announce(context, after, after.announcement())


@then(
    'the host sends requests of "{service}" to "{searcher_id}", and knows no searcher '
    'of "{other}"'
)
def step_taken_over(context, service, searcher_id, other):
    context.tier.wait_for(lambda: not fleet(context).count(other), "the end")
    before = len(context.tier.searchers[searcher_id].received)

    def is_served():
        reply = call(context, "GET", f"/{service}/x")
        return reply.status == 200 and reply.body.startswith(searcher_id.encode())

    context.tier.wait_for(is_served, "an answer")
    received = context.tier.searchers[searcher_id].received[before:]
    assert received, received


@then('{count:d} requests to "{target}" are answered by "{searcher_id}"')
def step_answered(context, count, target, searcher_id):
    record = context.tier.searchers[searcher_id].record
    for number in range(count):
        reply = call(context, "GET", target, request_id=f"r-{number}")
        assert (reply.status, reply.body) == (200, record), (number, reply)
