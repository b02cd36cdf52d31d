"""Steps for the decision logic for routed requests."""

import asyncio
import random
from collections import deque

import msgspec
from behave import given, then, when

from plantainstage._gateway.control_link import poll_interval_s
from plantainstage._gateway.events import EventLog
from plantainstage._gateway.fleet import Fleet
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.pool import SearcherPool
from plantainstage._gateway.router import Router
from plantainstage._serving import placement
from plantainstage._serving.configuration import (
    OneOf,
    Route,
    RouteKind,
    Service,
    ServingConfiguration,
    Share,
)
from plantainstage._serving.gathering import GatherLimits, Progress, next_step
from plantainstage._serving.merged_searchers import MergedSearchers
from plantainstage._serving.retry_budget import RetryBudget, RetryBudgetLimits
from plantainstage._serving.routes import RouteTable
from plantainstage._serving.searchers import Searcher, SearcherState, newer
from plantainstage._serving.splitting import WeightedRoundRobin
from plantainstage._transport.buffer_memory import BufferMemory

WINDOW_S = 10.0
STEP_S = 0.02
RESTART_AT_S = 30.0  # of all hosts
NEAR, FAR = "dc-1", "dc-2"
WORK_S = 0.02

# ---- Budget ---------------------------------------------------------------------------


@given(
    "{hosts:d} entry hosts that share a budget of {ratio:g} of the requests plus {slack:d}"
)
def step_budget(context, hosts, ratio, slack):
    context.limits = RetryBudgetLimits(ratio=ratio, slack=slack)
    context.budgets = [
        RetryBudget(limits=context.limits, hosts=hosts) for _ in range(hosts)
    ]


def requests_in_step(load, source, now):
    if load == "bursts and pauses" and int(now) % 7 > 3:
        return 0
    return source.randrange(4)


@when(
    "they serve {load} for {seconds:d} s and retry as often as allowed, with seed {seed:d}"
)
def step_serve(context, load, seconds, seed):
    source = random.Random(seed)
    context.requests, context.extras = [], []
    for number in range(round(seconds / STEP_S)):
        now = number * STEP_S
        if load.endswith("restart of all") and now == RESTART_AT_S:
            context.budgets = [
                RetryBudget(limits=context.limits, hosts=len(context.budgets))
                for _ in context.budgets
            ]
        for index, budget in enumerate(context.budgets):
            if load.endswith("restart") and source.random() < 0.002:
                budget = RetryBudget(limits=context.limits, hosts=len(context.budgets))
                context.budgets[index] = budget
            for _ in range(requests_in_step(load, source, now)):
                budget.count_request()
                context.requests.append(now)
            while source.random() < 0.9 and budget.take():
                context.extras.append(now)


@then("no window of 10 s has more extra requests than the budget allows")
def step_within_budget(context):
    assert context.extras
    window, requests = deque(), deque()
    upcoming = deque(context.requests)
    for at in context.extras:
        window.append(at)
        while upcoming and upcoming[0] <= at:
            requests.append(upcoming.popleft())
        for times in (window, requests):
            while times and times[0] <= at - WINDOW_S:
                times.popleft()
        allowed = context.limits.ratio * len(requests) + context.limits.slack
        assert len(window) <= allowed, (at, len(window), allowed)


@then("each host may send an extra request after its first request, but not two")
def step_first_hedge(context):
    for budget in context.budgets:
        budget.count_request()
        assert budget.take()
        assert not budget.take()


@given("a budget with half of its tokens left")
def step_half_budget(context):
    context.budget = RetryBudget(
        limits=RetryBudgetLimits(ratio=0.2, slack=100), hosts=8
    )
    context.budget.tokens = context.budget.capacity / 2


@then("a request of rank {low:g} may be retried and one of rank {high:g} may not")
def step_ranks(context, low, high):
    assert not context.budget.take(rank=high)
    assert context.budget.take(rank=low)


# ---- Weights and routes ---------------------------------------------------------------


@given("services with the weights 5, 3, 2 and 0")
def step_weights(context):
    context.weights = {"a": 5.0, "b": 3.0, "c": 2.0, "d": 0.0}
    context.shares = tuple(
        Share(service=name, weight=w) for name, w in context.weights.items()
    )
    context.round_robin = WeightedRoundRobin(shares=context.shares)


@when("{count:d} requests are divided")
def step_divide(context, count):
    context.drawn = [context.round_robin.next() for _ in range(count)]


@when("{hosts:d} hosts that start at different phases divide 1 request each")
def step_divide_first(context, hosts):
    context.drawn = [
        WeightedRoundRobin(shares=context.shares, phase=index / hosts).next()
        for index in range(hosts)
    ]


@when("a host divides {count:d} requests and gets a new version before each of them")
def step_divide_by_version(context, count):
    async def divide():
        router = Router(
            names=HeaderNames(),
            data_centre="dc-1",
            budget_limits=RetryBudgetLimits(),
            events=EventLog(program="gateway", host_id="h", put=lambda lines: None),
        )
        return [next_service(router, version) for version in range(count)]

    def next_service(router, version):
        services = tuple(Service(name=name) for name in context.weights)
        route = split_route(context.shares)
        configuration = ServingConfiguration(
            version=version, routes=(route,), services=services
        )
        assert router.apply(configuration)
        return router.next_service(route)

    context.drawn = asyncio.run(divide())


def split_route(shares):
    return Route(
        name="split",
        host="h.example",
        path_prefix="/",
        kind=RouteKind.IDEMPOTENT,
        timeout_ms=100,
        aim_ms=10,
        target=OneOf(shares=shares),
    )


@then("each service has its share to within {allowed:d} requests")
@then("each service has its share to within {allowed:d} request")
def step_shares(context, allowed):
    total = sum(context.weights.values())
    for name, weight in context.weights.items():
        expected = weight / total * len(context.drawn)
        assert abs(context.drawn.count(name) - expected) <= allowed, name


@given('routes at three nested prefixes of "{host}"')
def step_routes(context, host):
    routes = tuple(
        Route(
            name=prefix,
            host=host,
            path_prefix=prefix,
            kind=RouteKind.IDEMPOTENT,
            timeout_ms=100,
            aim_ms=10,
            target=OneOf(shares=(Share(service="s"),)),
        )
        for prefix in ("/", "/a/", "/a/b/")
    )
    services = (Service(name="s"),)
    configuration = ServingConfiguration(version=1, routes=routes, services=services)
    context.route_table = RouteTable(configuration=configuration)


@then('"{target}" of "{host}" matches the route "{prefix}"')
def step_route_matches(context, target, host, prefix):
    assert context.route_table.find(host, target).path_prefix == prefix


@then('"{target}" of "{host}" matches no route')
def step_no_route_matches(context, target, host):
    assert context.route_table.find(host, target) is None


# ---- Placement ------------------------------------------------------------------------


def load_in(data_centre):
    searcher = Searcher(
        searcher_id=data_centre,
        service="s",
        address="127.0.0.1:1",
        data_centre=data_centre,
        slots=2,
    )
    return placement.SearcherLoad(searcher=searcher, known_since=0.0)


@given("a near and a far searcher with 2 slots and a work time of 20 ms")
def step_near_and_far(context):
    context.loads = {"near": load_in(NEAR), "far": load_in(FAR)}
    context.now = 1.0
    context.sent_at = 1.0


@when("requests at the near searcher have been pending for {pending_ms:d} ms")
def step_pending(context, pending_ms):
    context.sent_at = context.now - pending_ms / 1000


@when("the near searcher has answered {count:d} requests in {elapsed_ms:d} ms each")
def step_slow(context, count, elapsed_ms):
    for _ in range(count):
        context.loads["near"].answered(
            elapsed_s=elapsed_ms / 1000, work_s=WORK_S, now=context.now
        )


@when(
    "the near searcher answers in {elapsed_ms:d} ms, {seconds:d} s after its last answer"
)
def step_answers_seldom(context, elapsed_ms, seconds):
    near = context.loads["near"]
    near.answered(elapsed_s=WORK_S, work_s=WORK_S, now=context.now)
    context.now += seconds
    near.answered(elapsed_s=elapsed_ms / 1000, work_s=WORK_S, now=context.now)


@when("{seconds:d} s have passed")
def step_passed(context, seconds):
    context.now += seconds
    context.sent_at += seconds


@then("the {expected} searcher is chosen with {count:d} request there")
@then("the {expected} searcher is chosen with {count:d} requests there")
@then("the {expected} searcher is chosen with {count:d} request at the near one")
@then("the {expected} searcher is chosen with {count:d} requests at the near one")
def step_chosen(context, expected, count):
    near = context.loads["near"]
    near.sent = {number: context.sent_at for number in range(count)}
    assert chosen(context).load is context.loads[expected]


@then(
    "the far searcher is chosen if opening a connection to the near one takes {ms:d} ms"
)
def step_chosen_connected(context, ms):
    assert chosen(context, near_connect_s=ms / 1000).load is context.loads["far"]


@then("the near searcher is chosen if opening a connection to each takes {ms:d} ms")
def step_chosen_unconnected(context, ms):
    choice = chosen(context, near_connect_s=ms / 1000, far_connect_s=ms / 1000)
    assert choice.load is context.loads["near"], choice


def chosen(context, *, near_connect_s=0.0, far_connect_s=0.0):
    candidates = [
        placement.Candidate(load=context.loads["near"], connect_s=near_connect_s),
        placement.Candidate(load=context.loads["far"], connect_s=far_connect_s),
    ]
    return placement.choose(
        candidates, now=context.now, work_s=WORK_S, data_centre=NEAR
    )


# ---- Gathers --------------------------------------------------------------------------


@given(
    "a gather of {shards:d} shards that needs {needed:d}, answered in part from "
    "{partial_answer_at:g} s and ended at {end_at:g} s"
)
def step_gather(context, shards, needed, partial_answer_at, end_at):
    context.gather = GatherLimits(
        shards=shards, needed=needed, partial_answer_at=partial_answer_at, end_at=end_at
    )


STEPS = {"is answered": "seal", "waits": "wait", "is given up": "give_up"}


@then("with {answered:d} answered at {now:g} s it {step}")
def step_all_answered(context, answered, now, step):
    assert_step(context, answered, 0, now, step)


@then("with {answered:d} answered and {pending:d} pending at {now:g} s it {step}")
def step_some_pending(context, answered, pending, now, step):
    assert_step(context, answered, pending, now, step)


def assert_step(context, answered, pending, now, step):
    progress = Progress(answered=answered, pending_shards=pending)
    taken = next_step(context.gather, progress, now)
    assert taken.value == STEPS[step], taken


# ---- Searchers ------------------------------------------------------------------------


def announcement(state, started_at_ms, sequence):
    return Searcher(
        searcher_id="s-1",
        service="s",
        address="127.0.0.1:1",
        data_centre=NEAR,
        slots=2,
        state=SearcherState[state.upper()],
        sequence=sequence,
        started_at_ms=started_at_ms,
    )


@given(
    "a searcher that started at {start:d} and announced draining with sequence "
    "{sequence:d}"
)
def step_drained(context, start, sequence):
    context.known = announcement("draining", start, sequence)


@then('"{state}" with start {start:d} and sequence {sequence:d} changes nothing')
def step_no_change(context, state, start, sequence):
    assert newer(context.known, announcement(state, start, sequence)) is context.known


@then('"{state}" with start {start:d} and sequence {sequence:d} replaces it')
def step_replaced(context, state, start, sequence):
    later = announcement(state, start, sequence)
    assert newer(context.known, later) is later


@given('a searcher that replicas "a" and "b" report')
def step_reported(context):
    context.merged_searchers = MergedSearchers()
    for source in ("a", "b"):
        context.merged_searchers.update(source, announcement("ready", 1, 1))


@when('replica "{source}" reports that it is silent')
def step_source_silent(context, source):
    context.merged_searchers.mark_silent(source, "s-1", 0.0)


@when('replica "{source}" is lost')
def step_source_lost(context, source):
    context.merged_searchers.mark_source_lost(source, 0.0)


@then("the searcher is kept for {seconds:d} s")
def step_kept(context, seconds):
    assert context.merged_searchers.expire(float(seconds)) == []


@then("the searcher is kept for {kept:d} s and dropped after {dropped:d} s")
def step_dropped(context, kept, dropped):
    assert context.merged_searchers.expire(float(kept)) == []
    assert context.merged_searchers.expire(float(dropped)) == ["s-1"]


# ---- Known searchers ------------------------------------------------------------------


def run_on_loop(function):
    async def run():
        function()

    asyncio.run(run())


def new_pool(searcher):
    """Returns the connection pool for a searcher."""
    return SearcherPool(
        address=searcher.address, names=HeaderNames(), memory=BufferMemory(limit=1024)
    )


@given('an entry host that knows "{searcher_id}" of "{service}"')
def step_fleet(context, searcher_id, service):
    context.fleet = Fleet(data_centre=NEAR, make_pool=new_pool)
    known = msgspec.structs.replace(
        announcement("ready", 1, 1), searcher_id=searcher_id, service=service
    )
    context.searcher = known
    run_on_loop(lambda: context.fleet.update_searcher(known))


@when('"{searcher_id}" announces itself for "{service}" and is then removed')
def step_move_service(context, searcher_id, service):
    moved = msgspec.structs.replace(context.searcher, service=service, sequence=2)

    def update_and_remove():
        context.fleet.update_searcher(moved)
        context.fleet.remove_searcher(searcher_id)

    run_on_loop(update_and_remove)


@then('the host knows no searcher of "{one}" or "{other}"')
def step_none_known(context, one, other):
    assert context.fleet.count(one) == context.fleet.count(other) == 0
    assert not context.fleet.members


# ---- Polls of control -----------------------------------------------------------------


@given('an entry host in "dc-1" that has {state}')
def step_polling_host(context, state):
    context.has_configuration = state == "a configuration"


@then("it polls a replica {place} again after {seconds:f} s")
def step_poll_interval(context, place, seconds):
    data_centre = "" if place == "that has not replied" else place.split('"')[1]
    interval_s = poll_interval_s(
        has_configuration=context.has_configuration,
        own_data_centre="dc-1",
        data_centre=data_centre,
    )
    assert interval_s == seconds, interval_s
