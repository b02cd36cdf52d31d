"""Steps for the sharing of scarce capacity between client accounts."""

import random
import sys
from pathlib import Path

from behave import given, then, when

from plantainstage._messages.serving import AccountUse
from plantainstage._serving.account_totals import AccountTotals
from plantainstage._serving.fair_room import AccountDemand, FairRoom, fair_shares
from plantainstage._serving.room_admission import (
    AdmissionCredit,
    RetrySpread,
    retry_after_s,
)

sys.path.append(str(Path(__file__).resolve().parents[2] / "bench"))

from routed_model.account_deployment import SHARED  # noqa: E402
from routed_model.account_scenarios import run_accounts  # noqa: E402

# By the page an account is served at least this part of the share of all requests.
LEAST_PART = 0.25
REPORT_S = 0.25
RATE = 100
WINDOW = 100
measured = {}  # of runs of the model, which several scenarios check

# ---- Shares ---------------------------------------------------------------------------


def demand(account, per_s, priority=1):
    return AccountDemand(account=account, per_s=float(per_s), priority=priority)


@when(
    "accounts that ask for {low:d}, {mid:d} and {high:d} requests a second share {n:d}"
)
def step_three(context, low, mid, high, n):
    demands = [demand("low", low), demand("mid", mid), demand("high", high)]
    context.shares = fair_shares(demands, float(n))


@then("the shares are 1, 1 and about {share:g}")
def step_three_shares(context, share):
    assert context.shares["low"] == context.shares["mid"] == 1.0, context.shares
    assert abs(context.shares["high"] - share) < 0.001, context.shares


@when(
    "an urgent account that asks for {one:d} and another that asks for {two:d} share "
    "{n:d} a second"
)
def step_priorities(context, one, two, n):
    demands = [demand("other", two, 2), demand("urgent", one, 0)]
    context.shares = fair_shares(demands, float(n))
    context.all_share = n / (one + two)


@then(
    "the urgent account is served most and the other at least a quarter as often as all"
)
def step_priorities_served(context):
    urgent, other = context.shares["urgent"], context.shares["other"]
    assert urgent > 0.8, context.shares
    assert urgent > other >= LEAST_PART * context.all_share, context.shares


@when(
    "{n:d} accounts of random size and priority share a random capacity, seed {seed:d}"
)
def step_random(context, n, seed):
    source = random.Random(seed)
    context.demands = [
        demand(f"a{number}", source.paretovariate(0.8), source.randrange(3))
        for number in range(n)
    ]
    context.total = sum(item.per_s for item in context.demands)
    context.capacity = context.total * source.random()
    context.shares = fair_shares(context.demands, context.capacity)


@then("the shares use the capacity and no more")
def step_sum(context):
    used = sum(context.shares[item.account] * item.per_s for item in context.demands)
    assert abs(used - context.capacity) < 1e-6 * context.total, (used, context.capacity)


@then("every account gets at least a quarter of the share of all")
def step_least(context):
    least = LEAST_PART * context.capacity / context.total
    assert min(context.shares.values()) >= least, context.shares


# ---- The leader -----------------------------------------------------------------------


@given("a leader that hosts report to")
def step_leader(context):
    context.leader = FairRoom()
    context.now = 0.0


def report(context, *, served, no_room, over_share):
    context.now += REPORT_S
    use = AccountUse(
        account="acme",
        asked=served + no_room + over_share,
        served=served,
        no_room=no_room,
        over_share=over_share,
    )
    context.leader.on_uses("host-1", [use], context.now)


@when("for {s:d} s hosts report {rate:d} requests a second of which {part:g} lack room")
def step_lack(context, s, rate, part):
    each = rate * REPORT_S
    for _ in range(round(s / REPORT_S)):
        no_room = round(each * part)
        report(context, served=round(each) - no_room, no_room=no_room, over_share=0)


@when("for {s:d} s hosts report what the share admits as served")
def step_recover(context, s):
    each = round(RATE * REPORT_S)
    for _ in range(round(s / REPORT_S)):
        served = round(each * context.leader.room_share("acme", context.now))
        report(context, served=served, no_room=0, over_share=each - served)


@then("the leader's share of the account is 1")
def step_leader_one(context):
    assert context.leader.room_share("acme", context.now) == 1.0


@then("the leader's share of the account is below {limit:g}")
def step_leader_below(context, limit):
    share = context.leader.room_share("acme", context.now)
    assert 0 < share < limit, share


# ---- Totals ---------------------------------------------------------------------------


@given("totals by account")
def step_totals(context):
    context.totals = AccountTotals()


@when("{hosts:d} hosts report {accounts:d} accounts at second {now:d}")
def step_totals_report(context, hosts, accounts, now):
    context.now = float(now)
    uses = [AccountUse(account=f"a{n}", asked=1, served=1) for n in range(accounts)]
    for host in range(hosts):
        context.totals.record(f"host-{host}", uses, context.now)


@then("the totals have {accounts:d} accounts with {hosts:d} hosts each")
def step_totals_count(context, accounts, hosts):
    totals = context.totals.totals(context.now)
    assert len(totals) == accounts, len(totals)
    assert {total.hosts for total in totals} == {hosts}, totals[0]


@then("the totals know {hosts:d} hosts")
def step_totals_hosts(context, hosts):
    assert len(context.totals.host_bits) == hosts, context.totals.host_bits


# ---- Admission ------------------------------------------------------------------------


@when("a host decides on {n:d} requests of one priority at the share {share:g}")
def step_credit(context, n, share):
    credit = AdmissionCredit()
    context.admitted = [credit.admit("acme", 1, share=share) for _ in range(4 * n)]


@then(
    "{low:d} to {high:d} of any 100 in a row are admitted and never {n:d} in a row refused"
)
def step_credit_even(context, low, high, n):
    admitted = context.admitted
    for first in range(len(admitted) - WINDOW):
        count = sum(admitted[first : first + WINDOW])
        assert low <= count <= high, (first, count)
    for first in range(len(admitted) - n):
        assert any(admitted[first : first + n]), first


@when(
    "a host decides on {n:d} requests of each of {kinds:d} priorities at the share {share:g}"
)
def step_credit_priorities(context, n, kinds, share):
    credit = AdmissionCredit()
    context.admitted = [0] * kinds
    for _ in range(n):
        for priority in range(kinds):
            context.admitted[priority] += credit.admit("acme", priority, share=share)


@then("the urgent ones are admitted most and each priority at least {n:d} times")
def step_credit_urgent(context, n):
    urgent, *others = context.admitted
    assert urgent > 2 * max(others), context.admitted
    assert min(others) >= n, context.admitted


@when("{n:d} callers of accounts at the shares 1, 0.5 and 0.1 are refused")
def step_refused(context, n):
    spread = RetrySpread()
    context.told = [
        [retry_after_s(share=share, spread=spread.next()) for _ in range(n)]
        for share in (1.0, 0.5, 0.1)
    ]


@then("each account is told to come later than the one before")
def step_told_later(context):
    within, over, far_over = context.told
    assert max(within) < min(over) and max(over) < min(far_over), context.told


@then("no two callers of an account are told the same time")
def step_told_spread(context):
    for told in context.told:
        assert len({round(each_s, 4) for each_s in told}) == len(told), told


@then("a caller that has waited is told to come earlier")
def step_told_waited(context):
    assert retry_after_s(share=0.1, spread=0.5, waited_s=1.0) < retry_after_s(
        share=0.1, spread=0.5
    )


# ---- Model ----------------------------------------------------------------------------


def play(context, load, seconds, seed, *, with_leader):
    """Runs a load with sharing and without, each run once for all scenarios."""
    context.shared = played(load, seconds, seed, shares=True, with_leader=with_leader)
    context.unshared = played(load, seconds, seed, shares=False, with_leader=True)


def played(load, seconds, seed, **options):
    key = (load, seconds, seed, *options.values())
    if key not in measured:
        measured[key] = run_accounts(
            load=load,
            deployment=SHARED,
            seed=seed,
            seconds=float(seconds),
            **options,
        )
    return measured[key]


@when(
    'callers of 71 accounts send the load "{load}" for {seconds:d} s, seed {seed:d}, with '
    "sharing and without"
)
def step_model(context, load, seconds, seed):
    play(context, load, seconds, seed, with_leader=True)


@when(
    'callers of 71 accounts send the load "{load}" for {seconds:d} s, seed {seed:d}, '
    "without a leader"
)
def step_model_without_leader(context, load, seconds, seed):
    play(context, load, seconds, seed, with_leader=False)


@then("every account is served at least a quarter as often as all requests")
def step_accounts_served(context):
    shared = context.shared
    assert shared.worst_account >= LEAST_PART * shared.served, shared


@then("no account below its fair share is refused for its share")
def step_below_fair(context):
    assert context.shared.below_fair == 0.0, context.shared


@then("every priority is served at least a quarter as often as all requests")
def step_priorities_not_starved(context):
    shared = context.shared
    least = min(shared.by_priority.values())
    assert least >= LEAST_PART * shared.served, shared


@then("at least as much is served as without sharing, within {tolerance:g}")
def step_whole(context, tolerance):
    assert context.shared.served >= context.unshared.served - tolerance, (
        context.shared,
        context.unshared,
    )


@then(
    "the worst tenth of the accounts is served at least {factor:g} times as often as "
    "without sharing"
)
def step_worst_tenth(context, factor):
    shared, unshared = context.shared, context.unshared
    assert shared.worst_tenth >= factor * unshared.worst_tenth, (shared, unshared)
