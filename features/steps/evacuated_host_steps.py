"""Steps for evacuations at entry hosts."""

import asyncio
from collections import Counter

from behave import given, then, when

from plantainstage._gateway.call import Call
from plantainstage._gateway.fleet import Fleet
from plantainstage._gateway.messages import CallFailure, FailureKind
from plantainstage._gateway.reach_watch import ReachWatch
from plantainstage._reports.exposition import GatewayMetrics
from plantainstage._serving.connection_shares import HostCounts
from plantainstage._serving.host_evacuations import HostEvacuations
from plantainstage._serving.searchers import Searcher
from steps.connection_share_steps import SERVICE, pool_of, searcher_in
from steps.routed_request_steps import put_configuration
from steps.searcher_statement_steps import SEARCHER, WaitingPool
from support.routed_tier import NAMES, StandInSearcher, answer_whole

HEARD_AT = 10.0
OUTCOME_LIMIT_S = 30.0


# ---- Decisions of one host ------------------------------------------------------------


@given("{count:d} hosts that have run for a while")
def step_hosts(context, count):
    context.evacuations = [HostEvacuations(host_id=f"host-{n}") for n in range(count)]


@when('they hear at the same time that "{name}" is evacuated')
def step_hear(context, name):
    for evacuations in context.evacuations:
        assert evacuations.record(1, [name], now=HEARD_AT, at_once=False)


def heeding(context, after_s):
    for evacuations in context.evacuations:
        evacuations.update(HEARD_AT + after_s)
    return sum(bool(e.in_force) for e in context.evacuations)


@then("between a quarter and three quarters of them heed it after {after_s:d} s")
def step_some_heed(context, after_s):
    count = heeding(context, after_s)
    assert 0.25 <= count / len(context.evacuations) <= 0.75, count


@then("all of them heed it after {after_s:d} s")
def step_all_heed(context, after_s):
    assert heeding(context, after_s) == len(context.evacuations)


@when('a host hears with its first reply that "{name}" is evacuated')
def step_first_reply(context, name):
    context.host = HostEvacuations(host_id="host-1")
    context.host.record(3, [name], now=HEARD_AT, at_once=True)


@then("it heeds it at once")
def step_heeds(context):
    assert context.host.update(HEARD_AT) == {"dc-2"}
    assert context.host.in_force == {"dc-2"}


@given('a host that heeds evacuation {number:d} of "{name}"')
def step_heeding_host(context, number, name):
    context.host = HostEvacuations(host_id="host-1")
    context.host.record(number, [name], now=HEARD_AT, at_once=True)
    context.host.update(HEARD_AT)


@when("it hears of no evacuations with number {one:d} and with number {other:d}")
def step_hear_older(context, one, other):
    for number in (one, other):
        assert not context.host.record(number, [], now=HEARD_AT, at_once=False)
        context.host.update(HEARD_AT + 5)


@when("it hears of no evacuations with number {number:d}")
def step_hear_newer(context, number):
    assert context.host.record(number, [], now=HEARD_AT, at_once=False)
    context.host.update(HEARD_AT)


@then('"{name}" is evacuated there')
def step_is_evacuated(context, name):
    assert context.host.in_force == {name}


@then("no data centre is evacuated there")
def step_not_evacuated(context):
    assert context.host.in_force == frozenset()


# ---- The searchers of one host --------------------------------------------------------


def cards_searcher(searcher_id, data_centre, started_at_ms=1):
    return Searcher(
        searcher_id=searcher_id,
        service="cards",
        address=f"{searcher_id}:1",
        data_centre=data_centre,
        slots=2,
        started_at_ms=started_at_ms,
    )


def on_loop(function):
    """Calls a function on an event loop and returns its result."""

    async def run():
        return function()

    return asyncio.run(run())


@given('a fleet with searchers "{one}" in "{here}" and "{other}" in "{there}"')
def step_fleet(context, one, here, other, there):
    context.fleet = Fleet(data_centre="dc-1", make_pool=pool_of)
    context.number = 0

    def add():
        context.fleet.update_searcher(cards_searcher(one, here))
        context.fleet.update_searcher(cards_searcher(other, there))

    on_loop(add)


def heed(context, names):
    context.number += 1

    def apply():
        now = asyncio.get_running_loop().time()
        evacuations = context.fleet.evacuations
        evacuations.record(context.number, names, now=now, at_once=True)
        context.fleet.update_evacuations(now)

    on_loop(apply)


@when('the fleet heeds the evacuation of "{name}"')
def step_fleet_heeds(context, name):
    heed(context, [name])


@when("the fleet heeds the end of the evacuation")
def step_fleet_heeds_end(context):
    heed(context, [])


@when('"{known}" starts again and "{new}" is new in "{name}"')
def step_announce(context, known, new, name):
    def add():
        context.fleet.update_searcher(cards_searcher(known, name, 2))
        context.fleet.update_searcher(cards_searcher(new, name))

    on_loop(add)


@then('it chooses "{searcher_id}", and none after that was tried')
def step_chooses(context, searcher_id):
    def choose(tried):
        choice = context.fleet.choose("cards", tried=tried, work_s=0.1)
        return choice and choice.load.searcher.searcher_id

    assert on_loop(lambda: choose(set())) == searcher_id
    assert on_loop(lambda: choose({searcher_id})) is None


@then("it counts {count:d} searcher")
@then("it counts {count:d} searchers")
def step_counts(context, count):
    assert context.fleet.count("cards") == count


@given("a request waits for room there")
def step_waits(context):
    context.tries = []

    def try_send():
        context.tries.append(context.fleet.count("cards"))
        return True

    context.fleet.wait_for_room("cards", (0, False), try_send)


@then("the waiting request was tried again while no searcher counted")
def step_tried_again(context):
    assert context.tries == [0], context.tries
    assert context.fleet.is_only_evacuated("cards")


@when("its data centre is evacuated and the connection opens")
def step_evacuated_meanwhile(context):
    async def run():
        loop = asyncio.get_running_loop()
        pool = context.pool = WaitingPool()
        outcome = loop.create_future()
        fleet = Fleet(data_centre="dc-1", make_pool=lambda searcher: pool)
        fleet.update_searcher(SEARCHER)
        fleet.send(
            SEARCHER.searcher_id,
            request=b"",
            request_id="r-1",
            remaining_s=5.0,
            work_s=0.1,
            on_done=lambda call, result: outcome.set_result(result),
            may_send=lambda: True,
        )
        await asyncio.sleep(0)
        place = SEARCHER.data_centre
        fleet.evacuations.record(1, [place], now=loop.time(), at_once=True)
        fleet.update_evacuations(loop.time())
        pool.opened.set()
        # A call that is sent would stay without an outcome.
        context.outcomes.append(await asyncio.wait_for(outcome, OUTCOME_LIMIT_S))

    asyncio.run(run())


class _Events:
    def log_event(self, event, **fields):
        """Takes an event."""


@given('a request runs at "{searcher_id}"')
def step_request_runs(context, searcher_id):
    if "tier" in context:
        run_at_tier(context, searcher_id)
        return
    context.watch = ReachWatch(
        fleet=context.fleet,
        health_path=lambda service: "/health",
        events=_Events(),
        metrics=GatewayMetrics(),
    )
    context.member = context.fleet.members[searcher_id]


@when("the running request fails without a reply")
def step_fails(context):
    def fail():
        call = Call(
            fleet=context.fleet,
            member=context.member,
            request=b"",
            request_id="r-1",
            work_s=0.1,
            on_done=lambda call, outcome: None,
            may_send=lambda: True,
        )
        call.member.load.started(call, asyncio.get_running_loop().time())
        call._finish(CallFailure(kind=FailureKind.BROKEN, reason="reset"))

    on_loop(fail)


@then("the fleet has recorded no failure")
def step_no_failure(context):
    assert context.fleet.reach.is_clear


@when(
    "one of {places:d} data centres with a searcher that accepts {cap:d} connections "
    "is evacuated"
)
def step_evacuate_one(context, places, cap):
    context.cap = cap
    context.kept = {}
    counts = HostCounts(by_data_centre=Counter(place for _, place in context.hosts))

    def learn():
        for host_id, place in context.hosts:
            fleet = Fleet(host_id=host_id, data_centre=place, make_pool=pool_of)
            for number, data_centre in enumerate(context.data_centres[:places]):
                fleet.update_searcher(searcher_in(data_centre, number))
            fleet.set_limits(hosts=counts, caps={SERVICE: cap})
            for member in fleet.members.values():
                fleet.share(member)  # as before the evacuation
            name = context.data_centres[0]
            fleet.evacuations.record(1, [name], now=0.0, at_once=True)
            fleet.update_evacuations(0.0)
            context.kept[host_id] = {
                member.searcher: fleet.share(member).kept
                for member in fleet.by_service[SERVICE].values()
            }

    on_loop(learn)
    assert all(len(kept) == places - 1 for kept in context.kept.values())


# ---- A tier of real programs ----------------------------------------------------------


@given('"{searcher_id}" serves "{service}" in "{data_centre}"')
def step_searcher_in(context, searcher_id, service, data_centre):
    searcher = StandInSearcher(
        searcher_id=searcher_id, service=service, data_centre=data_centre
    )
    context.tier.add_searcher(searcher)
    context.tier.wait_for(
        lambda: searcher_id in context.gateway.router.fleet.members, "the searcher"
    )


def allow_long_requests(context):
    """Publishes time limits that outlast the delay of an evacuation at the host."""
    context.configuration["version"] += 1
    for route in context.configuration["routes"]:
        route["timeout_ms"] = 20_000
    put_configuration(context)
    version = context.configuration["version"]
    context.tier.wait_for(
        lambda: context.gateway.router.version == version, "the time limits"
    )


def run_at_tier(context, searcher_id):
    """Sends a request that the searcher answers when the scenario says so."""
    allow_long_requests(context)
    context.may_answer = asyncio.Event()

    async def answer_later(searcher, request, writer):
        if request.request_id == "running":
            await context.may_answer.wait()
        await answer_whole(searcher, request, writer)

    searcher = context.tier.searchers[searcher_id]
    searcher.behave = answer_later
    context.running = context.tier.loop.create_task(
        context.tier.request(target="/card/x", request_id="running", ms=20_000)
    )
    context.tier.wait_for(lambda: searcher.received, "the request")


def order(context, name, verb):
    address = next(iter(context.tier.registries))
    work = context.tier.call_control(address, "POST", f"/v1/evacuations/{name}/{verb}")
    reply = context.tier.run(work)
    assert reply.status == 200, reply


@when('the evacuation of "{name}" is ordered and in force at the host')
def step_order(context, name):
    order(context, name, "start")
    evacuations = context.gateway.router.fleet.evacuations
    context.tier.wait_for(lambda: name in evacuations.in_force, "the evacuation")


@when('the evacuation of "{name}" is over at the host')
def step_order_end(context, name):
    order(context, name, "end")
    evacuations = context.gateway.router.fleet.evacuations
    context.tier.wait_for(lambda: not evacuations.in_force, "the end")


def send_many(context, gateway, count):
    async def send():
        names = {NAMES.deadline: "5000"}
        return [
            await context.tier.call(
                gateway.settings.listen,
                target="/read/x",
                **{NAMES.request_id: f"r-{number}", **names},
            )
            for number in range(count)
        ]

    return context.tier.run(send())


@then('{count:d} requests get 200 from "{searcher_id}" alone')
def step_all_from(context, count, searcher_id):
    before = {s.searcher_id: len(s.received) for s in context.tier.searchers.values()}
    replies = send_many(context, context.gateway, count)
    assert [reply.status for reply in replies] == [200] * count, replies
    for searcher in context.tier.searchers.values():
        got = len(searcher.received) - before[searcher.searcher_id]
        assert got == (count if searcher.searcher_id == searcher_id else 0), searcher


@then('the request that ran at "{searcher_id}" gets 200')
def step_running_ends(context, searcher_id):
    context.may_answer.set()
    reply = context.tier.run(context.running)
    assert reply.status == 200, reply


@then('a request gets 503 with Retry-After and the reason "{reason}"')
def step_refused(context, reason):
    (reply,) = send_many(context, context.gateway, 1)
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) > 0, reply
    # A request that waits for its deadline ends with the reason "no_room_in_time".
    waiting = context.gateway.router.fleet.waiting
    assert not any(waiting.values()), waiting
    context.gateway.events.flush()
    assert any(reason in str(event) for event in context.tier.events)


@when("a further host starts during it")
def step_other_host(context):
    peers = [d.settings.own for d, *_ in context.tier.registries.values()]
    context.gateway = context.tier.start_gateway(peers)
    fleet = context.gateway.router.fleet
    context.tier.wait_for(
        lambda: len(fleet.members) == len(context.tier.searchers), "the searchers"
    )
    context.tier.wait_for(lambda: context.gateway.router.table, "the configuration")


@then('{count:d} requests to that host get 200 from "{searcher_id}" alone')
def step_all_from_other(context, count, searcher_id):
    step_all_from(context, count, searcher_id)
