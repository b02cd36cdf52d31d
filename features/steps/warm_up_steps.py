"""Steps for searchers that warm up."""

import math
import random
from dataclasses import replace

import msgspec
from behave import given, then, when

from plantainstage._gateway.connection import parse_warm_up
from plantainstage._gateway.messages import STATUS_MISDIRECTED
from plantainstage._registry.register import SearcherRegister
from plantainstage._serving.account_bounds import WarmUpBounds
from plantainstage._serving.merged_searchers import MergedSearchers
from plantainstage._serving.warm_up_permits import (
    ARRIVAL_JITTER_S,
    SPAN_S,
    hold_s,
    shared_rate,
)
from steps.routed_request_steps import put_configuration, start_tier
from support.rate_limit_run import reply_with
from support.routed_tier import StandInSearcher
from support.warm_up_run import ENDED, SERVICE, UNIX_S, WarmUpRun, new_limits, returning

HOSTS_ADDED = 30
NOW = 1000.0
KNOWN_AT = -1000.0  # the host has known all searchers since then
SENT_AFTER = NOW + 0.1
LONG_AGO_MS = 1


# ---- Randomised runs ------------------------------------------------------------------


@when(
    "{hosts:d} hosts send {requests:g} requests a second to {searchers:d} searchers of "
    "rate {rate:g}, seed {seed:d}"
)
def step_run(context, hosts, requests, searchers, rate, seed):
    context.run = WarmUpRun(
        hosts=hosts,
        searchers=searchers,
        rate=rate,
        requests_per_s=requests,
        seed=seed,
    )
    context.run.run()


@when(
    "{hosts:d} hosts, of which some restart and then {added:d} are added, send requests "
    "to cold searchers"
)
def step_run_restarts(context, hosts, added):
    run = context.run = WarmUpRun(
        hosts=hosts, searchers=6, rate=10.0, requests_per_s=600, seed=21
    )
    draws = random.Random(22)

    def disturb(now):
        if now < 20:
            for host_id in draws.sample(sorted(run.hosts), 5):
                run.start_host(host_id, now=now)
        elif len(run.hosts) < hosts + added:
            for _ in range(10):
                run.start_host(f"added-{len(run.hosts)}", now=now)
        # Replicas count a host that has started from its first poll on.
        run.count_hosts(now=now)

    run.run(disturb=disturb)


@when(
    "{hosts:d} hosts that have sent nothing for {idle_s:d} s use all of their permits"
)
def step_run_lull(context, hosts, idle_s):
    run = context.run = WarmUpRun(
        hosts=hosts, searchers=4, rate=10.0, requests_per_s=1, seed=41
    )
    for limits in run.hosts.values():
        for searcher in run.searchers:
            limits.allows(searcher, 0.0, True)
    for step in range(40):
        run._use_all(idle_s + step / 20)


@then("no cold searcher gets more than the bound in any second")
def step_within(context):
    most, allowed = context.run.most_in_second(), context.run.allowed()
    assert most <= allowed, (most, allowed)


@then("the cold searchers get some requests")
def step_some(context):
    counts = [len(times) for times in context.run.arrivals.values()]
    assert all(counts), counts


@then(
    "the rate that {hosts:d} hosts share of {rate:g} keeps overage {overage:g} and "
    "slack {slack:g}"
)
def step_shared(context, hosts, rate, overage, slack):
    """Compares with many draws of the phases of the hosts."""
    bounds = WarmUpBounds(overage=overage, slack=slack)
    allowed = math.floor(rate * overage + slack)
    shared = shared_rate(rate, hosts, bounds)
    assert 0 < shared <= rate
    window_s = SPAN_S + hold_s(rate, bounds) + ARRIVAL_JITTER_S
    each = shared * window_s / hosts
    draws = random.Random(31)
    whole, rest = math.floor(each), each - math.floor(each)
    for _ in range(200_000 // hosts):
        more = sum(draws.random() < rest for _ in range(hosts))
        assert hosts * whole + more <= allowed, (shared, allowed)


# ---- One host -------------------------------------------------------------------------


@given("a host whose service has a warm-up of 30 s at {rate:g} a second")
def step_host(context, rate):
    context.limits = new_limits("host-1", rate, now=KNOWN_AT)
    context.limits.set_ended([], KNOWN_AT)
    context.limits.ended_at.clear()
    context.searcher = None


def announce(context, *, at=NOW, **changes):
    context.searcher = msgspec.structs.replace(context.searcher, **changes)
    context.limits.record_announced(context.searcher, at)


@given('"{searcher_id}" has started {age_s:d} s ago')
def step_started(context, searcher_id, age_s):
    context.searcher = returning(1)
    started_at_ms = round((UNIX_S - age_s) * 1000)
    announce(context, started_at_ms=started_at_ms)


def state(context, warm_up_ms, *, status=200, sent_at=SENT_AFTER, now=NOW):
    reply = replace(reply_with(rate_limit=None, status=status), warm_up_ms=warm_up_ms)
    context.limits.record_reply(context.searcher, reply, sent_at=sent_at, now=now)


@when('this happens to "{searcher_id}": it {event}')
def step_event(context, searcher_id, event):
    match event:
        case "starts again with a clock that is far back":
            announce(context, started_at_ms=context.searcher.started_at_ms + 1)
        case "starts again with a clock that is ahead":
            announce(context, started_at_ms=round((UNIX_S + 9000) * 1000))
        case "announces 12 s of warm-up":
            announce(context, warm_up_ms=12_000)
        case "announces 12 s and then 0 s of warm-up":
            announce(context, warm_up_ms=12_000)
            announce(context, warm_up_ms=0)
        case "announces 12 s for a service without limit":
            announce(context, warm_up_ms=12_000, service="other")
        case "states 12 s of warm-up in a reply":
            state(context, 12_000)
        case "states 12 s, then 40 s in an earlier reply":
            state(context, 12_000)
            state(context, 40_000, sent_at=SENT_AFTER - 0.05)
        case "states 12 s and then 0 s of warm-up":
            state(context, 12_000)
            state(context, 0, sent_at=SENT_AFTER + 0.05)
        case "states 12 s of warm-up in a 421":
            state(context, 12_000, status=STATUS_MISDIRECTED)
        case "states an unreadable warm-up in a reply":
            for text in ("", "-1", "soon", "1e9", "1.5", "1, 2"):
                assert parse_warm_up(text) is None, text
            state(context, None)
        case "replies with 0 s of warm-up to a request sent before the end":
            state(context, 0, sent_at=NOW - 0.1)
        case "replies with 0 s of warm-up to a request sent after the end":
            state(context, 0)
        case _:
            raise ValueError(event)


@then('"{searcher_id}" is cold from {start:d} s to {end:d} s')
def step_cold_between(context, searcher_id, start, end):
    is_cold = context.limits.is_cold
    assert is_cold(context.searcher, NOW + start)
    assert is_cold(context.searcher, NOW + end - 0.01)
    assert not is_cold(context.searcher, NOW + end + 0.01)


@then('"{searcher_id}" is cold')
def step_cold(context, searcher_id):
    assert context.limits.is_cold(context.searcher, NOW + 0.1)


@then('"{searcher_id}" is warm')
def step_warm(context, searcher_id):
    assert not context.limits.is_cold(context.searcher, NOW + 0.1)


@then('it may not send to "{searcher_id}", and knows when it may')
def step_may_not(context, searcher_id):
    assert not context.limits.allows(context.searcher, NOW, True)
    context.limits.hosts.record(1, NOW)
    assert context.limits.hosts.number(NOW + 3.9) == 0
    assert 0 < context.limits.wait_s(context.searcher, NOW) <= 4.0


@when("replicas have counted {hosts:d} hosts for {seconds:d} s")
def step_counted(context, hosts, seconds):
    for step in range(seconds * 4 + 1):
        context.limits.hosts.record(hosts, NOW + step / 4)
    context.now = NOW + seconds


@then('it gets permits for "{searcher_id}" at a third of the rate at most')
def step_third(context, searcher_id):
    taken = 0
    for step in range(1000):
        now = context.now + step / 100
        while context.limits.allows(context.searcher, now, True):
            context.limits.take(context.searcher, now)
            taken += 1
    assert 20 <= taken <= 10 * 10 / 3 + 1, taken


@then("{hosts:d} hosts share the rate")
def step_sharing(context, hosts):
    assert context.limits.hosts.number(context.now) == hosts


@when("the evacuation of its data centre ends with number {number:d}")
def step_ends(context, number):
    if "limits" in context:
        ended = msgspec.structs.replace(ENDED, number=number)
        context.limits.set_ended([ended], NOW)
    else:
        context.register.ended_number = {ENDED.data_centre: number}.get
        context.number = number


@when('an announcement of "{searcher_id}" arrives that was heard after number {n:d}')
def step_heard_after(context, searcher_id, n):
    announce(context, heard_after=n, sequence=context.searcher.sequence + 1)


# ---- Replicas -------------------------------------------------------------------------


@given('a register that knows "{searcher_id}" as warm')
def step_register(context, searcher_id):
    context.register = SearcherRegister(heartbeat_s=1.0)
    context.searcher = returning(1)
    context.register.record_announcement(context.searcher, 0.0)
    context.register_now = 0.0


def hear(context, **changes):
    """Records an announcement; returns whether hosts get it."""
    context.register_now += 1.0
    sequence = context.searcher.sequence + 1
    context.searcher = msgspec.structs.replace(
        context.searcher, sequence=sequence, **changes
    )
    cursor = context.register.cursor
    context.register.record_announcement(context.searcher, context.register_now)
    changed = context.register.changes_since(cursor)
    assert all(entry.searcher == context.searcher for entry in changed)
    return bool(changed)


@when('"{searcher_id}" announces these times of warm-up, a second apart')
def step_announce_times(context, searcher_id):
    context.heard = [
        (row["change"] == "yes", hear(context, warm_up_ms=int(row["warm_up_ms"])))
        for row in context.table
    ]


@then("each change reaches hosts, and nothing else does")
def step_changes(context):
    assert all(expected == found for expected, found in context.heard), context.heard


@then("its next announcement reaches hosts, and the one after that does not")
def step_next_only(context):
    found = [hear(context, heard_after=context.number) for _ in range(3)]
    assert found == [True, False, False], found


@then("merged searchers pass on a renewed warm-up, and a hearing after an evacuation")
def step_merged(context):
    merged = MergedSearchers()
    known = msgspec.structs.replace(returning(1), warm_up_ms=9000)
    merged.update("p-1", known)
    renewed = msgspec.structs.replace(known, sequence=20)
    assert merged.update("p-2", known) is None
    assert merged.update("p-1", renewed) == renewed
    heard = msgspec.structs.replace(renewed, warm_up_ms=0, heard_after=8)
    assert merged.update("p-1", heard) == heard
    again = msgspec.structs.replace(heard, sequence=21, heard_after=9)
    assert merged.update("p-2", again) == again
    assert merged.update("p-1", heard) is None


# ---- A tier of real programs ----------------------------------------------------------


@given(
    'a routed tier whose service "{service}" warms up for {seconds:g} s at {rate:g} a '
    "second"
)
def step_tier(context, service, seconds, rate):
    assert service == SERVICE
    start_tier(context)
    (entry,) = context.configuration["services"]
    entry |= {"warm_up_s": seconds, "warm_up_rate_per_s": rate}
    put_configuration(context)
    limits = context.gateway.router.fleet.warm_up
    context.tier.wait_for(
        lambda: limits.hosts.number(context.tier.loop.time()), "the number of hosts"
    )


def add(context, searcher_id, started_at_ms):
    searcher = StandInSearcher(
        searcher_id=searcher_id, service=SERVICE, started_at_ms=started_at_ms
    )
    context.tier.add_searcher(searcher)
    fleet = context.gateway.router.fleet
    context.tier.wait_for(lambda: searcher_id in fleet.members, "the searcher")


@given('its searcher "{searcher_id}" has just started')
def step_just_started(context, searcher_id):
    # A clock that is ahead: the start counts as that of this moment.
    add(context, searcher_id, 2**42)


@given('its searcher "{searcher_id}" has run for long')
def step_runs_long(context, searcher_id):
    add(context, searcher_id, LONG_AGO_MS)


@when("{count:d} callers send requests at the same time")
def step_callers(context, count):
    searchers = context.tier.searchers.values()
    before = sum(len(searcher.received) for searcher in searchers)

    async def send_all():
        tasks = [
            context.tier.loop.create_task(
                context.tier.request(
                    target="/read/x", request_id=f"r-{number}", ms=20_000
                )
            )
            for number in range(count)
        ]
        return [await task for task in tasks]

    context.replies = context.tier.run(send_all())
    context.reached = sum(len(s.received) for s in searchers) - before


@then("all of them get 200")
def step_all_served(context):
    assert {reply.status for reply in context.replies} == {200}, context.replies


@then(
    'at most {most:d} of them reach "{searcher_id}", and the others get 503 with '
    "Retry-After at once"
)
def step_few_reach(context, most, searcher_id):
    statuses = [reply.status for reply in context.replies]
    assert context.reached <= most, context.reached
    assert statuses.count(200) <= context.reached, statuses
    refused = [reply for reply in context.replies if reply.status != 200]
    assert all(reply.status == 503 for reply in refused), statuses
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused), refused
    # A request that waits for its deadline ends with the reason "no_room_in_time".
    assert not any(context.gateway.router.fleet.waiting.values())


@then('the host has logged that "{searcher_id}" is cold')
def step_logged(context, searcher_id):
    def is_logged():
        context.gateway.events.flush()
        return any(
            event["event"] == "searcher_cold" and event["searcher"] == searcher_id
            for event in context.tier.events
        )

    context.tier.wait_for(is_logged, "the event")


@when('"{searcher_id}" announces that it warms up for {seconds:d} s')
def step_cold_again(context, searcher_id, seconds):
    searcher = context.tier.searchers[searcher_id]
    announcement = searcher.announcement
    searcher.announcement = lambda: announcement(warm_up_ms=seconds * 1000)
    fleet = context.gateway.router.fleet

    def is_cold():
        known = fleet.members[searcher_id].searcher
        return fleet.warm_up.is_cold(known, context.tier.loop.time())

    context.tier.wait_for(is_cold, "the host to know")
