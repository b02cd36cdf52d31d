"""Steps for searchers that state how many requests a second they accept."""

import random
from collections import Counter

from behave import given, then, when

from plantainstage._gateway.messages import STATUS_MISDIRECTED
from plantainstage._gateway.searcher_limits import SearcherLimits
from plantainstage._serving.decimals import StatedNumber
from plantainstage._serving.permit_priority import PermitPriority
from support.rate_limit_run import Phase, RateLimitRun, reply_with, searcher_named
from support.routed_tier import NAMES, answer_with_limit

RUN_S = 120.0
LEARNT_AT = 10.0  # seconds of virtual time
SENT_BEFORE = 9.9
SENT_AFTER = 10.1
REPLIED_AT = 10.2
# A single host that uses a limit of 0 earns a permit each 10 s.
LONGEST_WAIT_S = 10.0
SHARE_TOLERANCE = 0.05  # by which a less urgent kind may be served more often


def reply_of(status=200, text=None, not_executed=False):
    stated = None if text is None else StatedNumber.parse(text)
    return reply_with(rate_limit=stated, status=status, not_executed=not_executed)


# ---- Randomised runs ------------------------------------------------------------------


@when(
    "{hosts:d} hosts get {requests:g} requests a second for {searchers:d} limited "
    "searchers, seed {seed:d}"
)
def step_run(context, hosts, requests, searchers, seed):
    limit = float(context.active_outline["limit"])
    context.run = RateLimitRun(
        hosts=hosts,
        searchers=searchers,
        requests_per_s=requests,
        phases=[Phase(until_s=RUN_S, limit=limit)],
        seed=seed,
    )
    context.run.run()


@when(
    "{hosts:d} hosts get {requests:g} requests a second for {searchers:d} searchers "
    "that lower and raise their limits"
)
def step_run_changes(context, hosts, requests, searchers):
    limits = (20.0, 5.0, None, 8.0, 30.0, 0.0, 12.0)
    phases = [
        Phase(until_s=30.0 * number, limit=limit)
        for number, limit in enumerate(limits, start=1)
    ]
    context.run = RateLimitRun(
        hosts=hosts,
        searchers=searchers,
        requests_per_s=requests,
        phases=phases,
        seed=11,
    )
    context.run.run()
    assert context.run.events["searcher_limit_ended"] > 0


@when(
    "{hosts:d} hosts get {requests:g} requests a second for {searchers:d} limited "
    "searchers of {limit:g} a second"
)
def step_run_use(context, hosts, requests, searchers, limit):
    context.run = RateLimitRun(
        hosts=hosts,
        searchers=searchers,
        requests_per_s=requests,
        phases=[Phase(until_s=RUN_S, limit=limit)],
        seed=12,
    )
    context.run.pauses = False
    context.run.run()


@then("no searcher gets more than its limit allows in any 4 s")
def step_within(context):
    found = context.run.violations()
    assert found == [], found


@then("the searchers get at least {share:g} of what they accept")
def step_use(context, share):
    served = context.run.served_share(context.run.phases[0])
    assert served >= share, served


# ---- Limits that replies state --------------------------------------------------------


@then('a stated limit of "{text}" counts as {meaning}')
def step_parse(context, text, meaning):
    stated = StatedNumber.parse(text)
    if meaning == "unreadable":
        assert stated.value is None, stated
    else:
        assert stated.value == float(meaning.removesuffix(" a second")), stated


@given("a host that knows no limit")
def step_no_limits(context):
    context.events = []
    context.limits = SearcherLimits(
        host_id="host-1", log_event=lambda event, **fields: context.events.append(event)
    )


@given('a host that has learnt a limit of {limit:g} a second from "{searcher_id}"')
def step_learnt(context, limit, searcher_id):
    step_no_limits(context)
    context.limits.record_reply(
        searcher_named(searcher_id),
        reply_of(text=f"{limit}"),
        sent_at=0.0,
        now=LEARNT_AT,
    )


@when('"{searcher_id}" answers a request sent later without a limit')
def step_ended(context, searcher_id):
    context.limits.record_reply(
        searcher_named(searcher_id), reply_of(), sent_at=SENT_AFTER, now=REPLIED_AT
    )


@when('the host gets {reply} from "{searcher_id}"')
def step_reply(context, reply, searcher_id):
    sent_at = SENT_AFTER
    match reply:
        case "a success of a request sent earlier":
            answer, sent_at = reply_of(), SENT_BEFORE
        case "a rejection without a limit":
            answer = reply_of(status=503, not_executed=True)
        case "a failure without a limit":
            answer = reply_of(status=500)
        case "a success with an unreadable limit":
            answer = reply_of(text="a few")
        case "a misdirected reply with another limit":
            answer = reply_of(status=STATUS_MISDIRECTED, text="9")
    context.limits.record_reply(
        searcher_named(searcher_id), answer, sent_at=sent_at, now=REPLIED_AT
    )


@when('"{searcher_id}" rejects a request and states a limit of {limit:g} a second')
def step_rejection(context, searcher_id, limit):
    answer = reply_of(status=503, text=f"{limit}", not_executed=True)
    context.limits.record_reply(
        searcher_named(searcher_id), answer, sent_at=SENT_AFTER, now=REPLIED_AT
    )


@when('"{searcher_id}" is lost and found again')
def step_lost_and_found(context, searcher_id):
    context.limits.searcher_removed(searcher_named(searcher_id), REPLIED_AT)
    context.limits.searcher_added(searcher_named(searcher_id))


@when('"{searcher_id}" starts again')
def step_starts_again(context, searcher_id):
    context.started_at_ms = 2
    context.limits.searcher_removed(searcher_named(searcher_id), REPLIED_AT)
    context.limits.searcher_added(searcher_named(searcher_id, started_at_ms=2))


def known_permits(context, searcher_id):
    start = context.started_at_ms if "started_at_ms" in context else 1
    return context.limits.permits.get((searcher_id, start))


@then('the host knows a limit of {limit:g} a second of "{searcher_id}"')
def step_known(context, limit, searcher_id):
    assert known_permits(context, searcher_id).rate == limit


@then('the host knows no limit of "{searcher_id}"')
def step_unknown(context, searcher_id):
    assert known_permits(context, searcher_id) is None


@then('it has logged "{first}" and "{second}"')
def step_logged(context, first, second):
    assert context.events == [first, second], context.events


# ---- A tier of real programs ----------------------------------------------------------


def state_limit(searchers, limit):
    for stand_in in searchers:
        stand_in.behave = answer_with_limit(limit)


@given('"{searcher_id}" states a limit of {limit:g} a second in its answers')
def step_states(context, searcher_id, limit):
    state_limit([context.tier.searchers[searcher_id]], limit)


@given(
    "the searchers of {count:d} shard state a limit of {limit:g} a second in their "
    "answers"
)
@given(
    "the searchers of {count:d} shards state a limit of {limit:g} a second in their "
    "answers"
)
def step_shards_state(context, count, limit):
    state_limit(list(context.tier.searchers.values())[:count], limit)


@given('a caller has sent GET "{target}"')
def step_has_sent(context, target):
    context.execute_steps(f'When a caller sends GET "{target}"')
    assert context.reply.status == 200, context.reply


@then(
    "each caller is refused with 503 before its deadline and told to wait for a permit"
)
def step_refused_at_once(context):
    for reply in context.replies:
        assert reply.status == 503, reply
        assert 0.15 < float(reply.headers["retry-after"]) <= LONGEST_WAIT_S, reply
    # A request that waits for its deadline ends with the reason "no_room_in_time".
    assert not context.gateway.router.fleet.waiting["cards"]


@then('"{searcher_id}" has got {count:d} request')
def step_has_got(context, searcher_id, count):
    assert len(context.tier.searchers[searcher_id].received) == count


@then('"{searcher_id}" has got at most {count:d} requests')
def step_has_got_most(context, searcher_id, count):
    assert len(context.tier.searchers[searcher_id].received) <= count


@then("each shard has got {count:d} request")
def step_each_got(context, count):
    got = [len(stand_in.received) for stand_in in context.tier.searchers.values()]
    assert got == [count] * len(got), got


@then("{count:d} requests count as excluded by limits")
def step_counted(context, count):
    metrics = context.gateway.router.metrics
    assert metrics.limited._value.get() == count


@then("the caller gets 200 without the limit")
def step_without_limit(context):
    assert context.reply.status == 200, context.reply
    assert NAMES.rate_limit.lower() not in context.reply.headers


# ---- Priority -------------------------------------------------------------------------


@when("requests of priorities 1 and 2 want permits, of which there are too few")
def step_want_permits(context):
    """A request of priority 1 finds permits in 1 of 4 cases, one of 2 in 3 of 4."""
    permits = PermitPriority()
    draws = random.Random(13)
    context.wanted, context.served = Counter(), Counter()
    for number in range(4000):
        priority = draws.choice((1, 2))
        found = draws.random() < (0.25 if priority == 1 else 0.75)
        served = found and permits.may_use(priority)
        permits.record(priority, served=served, now=number / 100)
        context.wanted[priority] += 1
        context.served[priority] += served


@then("as large a share of priority 1 as of priority 2 is served, and some of both")
def step_shares(context):
    one, two = (context.served[p] / context.wanted[p] for p in (1, 2))
    assert 0 < two <= one + SHARE_TOLERANCE, (one, two)
