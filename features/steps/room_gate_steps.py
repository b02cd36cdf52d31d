"""Steps for the admission and the queue of requests at a host."""

import asyncio
from dataclasses import dataclass

from behave import given, then, when
from tornado import httputil

from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.messages import CallerRequest
from plantainstage._gateway.router import Router
from plantainstage._gateway.service_request import NO_ROOM_IN_TIME, ROOM_QUEUE_FULL
from plantainstage._serving.configuration import (
    ClientAccount,
    OneOf,
    Route,
    RouteKind,
    Service,
    ServingConfiguration,
    Share,
)
from plantainstage._serving.retry_budget import RetryBudgetLimits
from plantainstage._serving.searchers import Searcher
from routed_model.virtual_loop import VirtualTimeLoop

LARGE, SMALL, URGENT = "large", "small", "urgent"
LONG_S = 1e6
REQUEST_S = 0.05


class NoEvents:
    """Replaces the event log."""

    dropped_total = 0
    counts = {"task_failed": 0}

    def log_event(self, event, **fields):
        """Discards an event."""

    log_ordinary = log_event


class NoConnections:
    """Replaces a connection pool."""

    is_connected = False

    def retire(self):
        """Has nothing to close."""


ROUTE = Route(
    name="card",
    host="a.example",
    path_prefix="/card/",
    kind=RouteKind.IDEMPOTENT,
    timeout_ms=1000,
    aim_ms=300,
    priority=1,
    target=OneOf(shares=(Share(service="cards"),)),
)


@dataclass(kw_only=True)
class Part:
    """A part of a request, for the queue alone."""

    request: CallerRequest
    tried: list
    route: Route = ROUTE
    service: str = "cards"
    over: bool = False
    refused: str = ""
    retry_after_s: float = 0.0

    def send_waiting(self):
        self.tried.append(self.request.account)
        return True

    def turn_away_waiting(self, reason, *, retry_after_s):
        self.over, self.refused, self.retry_after_s = True, reason, retry_after_s


def request_of(account):
    return CallerRequest(
        method="GET",
        target="/card/1",
        headers=httputil.HTTPHeaders(),
        body=b"",
        request_id="r",
        deadline_ms=None,
        received_at=0.0,
        account=account,
        priority=0 if account == URGENT else None,
    )


async def new_router():
    router = Router(
        names=HeaderNames(),
        host_id="host-1",
        data_centre="dc-1",
        budget_limits=RetryBudgetLimits(),
        events=NoEvents(),
        make_pool=lambda searcher: NoConnections(),
    )
    accounts = (
        ClientAccount(name=LARGE),
        ClientAccount(name=SMALL),
        ClientAccount(name=URGENT, priority=0),
    )
    router.apply(
        ServingConfiguration(
            version=1,
            routes=(ROUTE,),
            services=(Service(name="cards"),),
            accounts=accounts,
        )
    )
    return router


def run(context, function, *arguments):
    """Calls a function on the event loop of the scenario."""

    async def call():
        return function(*arguments)

    return context.loop.run_until_complete(call())


def wait(context, account, remaining_s=LONG_S):
    part = Part(request=request_of(account), tried=context.tried)
    run(context, context.gate.wait, part, remaining_s)
    return part


@given("a host with two accounts and no leader")
def step_host(context):
    context.loop = VirtualTimeLoop()
    context.resources.callback(context.loop.close)
    context.router = context.loop.run_until_complete(new_router())
    context.gate = context.router.room_gate
    context.tried = []


@when("half of the requests lack room for {s:d} s, of which one account sends 9 in 10")
def step_own_counts(context, s):
    context.admitted = {LARGE: [], SMALL: []}
    for number in range(round(s / REQUEST_S)):
        account = SMALL if number % 10 == 0 else LARGE
        request = request_of(account)
        refusal = run(context, context.gate.refusal, ROUTE, request)
        context.admitted[account].append(refusal is None)
        if refusal is None:
            outcome = ("rejected", 503) if number % 2 else ("answered", 200)
            run(context, context.gate.finished, ROUTE, request, *outcome)
        context.loop.run_until_complete(asyncio.sleep(REQUEST_S))


@then(
    "the host admits less than {share:g} of the large account and all of the small one"
)
def step_own_admitted(context, share):
    large, small = context.admitted[LARGE], context.admitted[SMALL]
    assert sum(large) < share * len(large), (sum(large), len(large))
    assert all(small), small


@when("the leader states the share {share:g} for an account")
def step_word(context, share):
    context.gate.apply_share(LARGE, share, context.loop.time())


@then("the host's share of the account is {share:g}")
def step_share(context, share):
    assert run(context, context.gate.share, LARGE, context.loop.time()) == share


@then("{s:d} s later the host's share of the account is {share:g}")
def step_later_share(context, s, share):
    context.loop.run_until_complete(asyncio.sleep(s))
    step_share(context, share)


@given("one account had {n:d} requests admitted")
def step_had(context, n):
    for _ in range(n):
        run(context, context.gate.refusal, ROUTE, request_of(LARGE))


@when("its 2 requests, 2 of the other account and an urgent one wait for room")
def step_wait(context):
    for account in (LARGE, LARGE, SMALL, SMALL, URGENT):
        wait(context, account)


@then("they are tried in the order urgent, other, other, first, first")
def step_order(context):
    run(context, context.router.fleet.retry_waiting, "cards")
    assert context.tried == [URGENT, SMALL, SMALL, LARGE, LARGE], context.tried


@when("{n:d} of its requests and then one of the other account wait for room")
def step_fill(context, n):
    context.large = [wait(context, LARGE) for _ in range(n)]
    context.small = wait(context, SMALL)


@then("one request of the first account is refused at once as the queue is full")
def step_dropped(context):
    refused = [part for part in context.large if part.refused]
    assert [part.refused for part in refused] == [ROOM_QUEUE_FULL], refused
    assert refused[0].retry_after_s > 0
    assert not context.small.refused


@then("a further request of the first account is refused at once")
def step_further(context):
    assert wait(context, LARGE).refused == ROOM_QUEUE_FULL


@when(
    "{n:d} requests wait for a searcher that works {work:g} s and has room for {slots:d}"
)
def step_slow(context, n, work, slots):
    searcher = Searcher(
        searcher_id="s-1",
        service="cards",
        address="s-1:1",
        data_centre="dc-1",
        slots=slots,
    )
    run(context, context.router.fleet.update_searcher, searcher)
    context.router.work_time(ROUTE).median.value = work
    context.large = [wait(context, LARGE) for _ in range(n)]
    assert not any(part.refused for part in context.large)


@then("a request with {s:g} s left is refused at once")
def step_refused_in_time(context, s):
    assert wait(context, LARGE, s).refused == NO_ROOM_IN_TIME
    assert not wait(context, LARGE).refused
