"""Steps for metrics by client account."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from prometheus_client import generate_latest

from plantainstage._gateway import ingress
from plantainstage._reports.account_counters import (
    OTHER,
    AccountCounters,
    AccountOutcome,
    account_outcome,
)

ROTATING = 25


@given("counters by account")
def step_counters(context):
    context.now = 0.0
    context.counters = AccountCounters(clock=lambda: context.now)
    context.increases = Counter()
    context.before = {}
    context.counted = 0


def series(context):
    return {(label, outcome): n for label, outcome, n in context.counters.series()}


def count(context, account, outcome, times=1):
    for _ in range(times):
        context.counters.count(account, outcome)
    context.counted += times


def observe(context):
    """Adds what each series has grown by, as a scraper does."""
    now = series(context)
    for key, value in now.items():
        before = context.before.get(key, 0)
        context.increases[key] += value - before if value >= before else value
    context.before = now


@when(
    "{accounts:d} accounts each have a request of every outcome, in {rounds:d} rounds of "
    "10 s"
)
def step_all_outcomes(context, accounts, rounds):
    for _ in range(rounds):
        observe(context)
        context.now += 10.0
        # The first request of a round ranks anew; what it drops was observed before.
        for number in range(accounts):
            for outcome in AccountOutcome:
                count(context, f"account-{number}", outcome)
    observe(context)


@then(
    "there are at most {limit:d} series, and at most {named:d} accounts have their own"
)
def step_bounded(context, limit, named):
    assert len(series(context)) <= limit, len(series(context))
    labels = {label for label, _ in series(context)} - {OTHER}
    assert 0 < len(labels) <= named, labels


@then("no request is lost from the sum of all increases")
def step_sum(context):
    assert sum(context.increases.values()) == context.counted, context.increases


@when("{accounts:d} accounts have {times:d} request each that is served")
def step_small(context, accounts, times):
    for number in range(accounts):
        count(context, f"small-{number}", AccountOutcome.SERVED, times)


@when('{accounts:d} accounts "{name}" have {times:d} requests each that are {outcome}')
def step_requests(context, accounts, name, times, outcome):
    kind = AccountOutcome(outcome.replace(" ", "_"))
    for number in range(accounts):
        account = name if accounts == 1 else f"{name}-{number}"
        count(context, account, kind, times)


@when("the counters are {seconds:d} s older")
def step_pass(context, seconds):
    # Hosts have requests all the time; each interval is ranked by one of them.
    for _ in range(seconds // 10):
        context.now += 10.0
        count(context, "steady", AccountOutcome.SERVED)


def own_labels(context):
    return {label for label, _ in series(context)} - {OTHER, "steady"}


@then('exactly the accounts "{one}" and "{other}" have series of their own')
def step_exactly(context, one, other):
    expected = {f"{name}-{number}" for name in (one, other) for number in range(10)}
    assert own_labels(context) == expected, own_labels(context) ^ expected


@then('each account "{name}" counts {times:d} {outcome} requests')
@then('each account "{name}" counts {times:d} requests {outcome}')
def step_each_counts(context, name, times, outcome):
    kind = AccountOutcome(outcome.replace(" ", "_"))
    counts = [series(context)[f"{name}-{number}", kind] for number in range(10)]
    assert all(n >= times for n in counts), counts


@then('{number:d} accounts "{name}" and no account "{gone}" have series of their own')
def step_replaced(context, number, name, gone):
    labels = own_labels(context)
    assert sum(label.startswith(f"{name}-") for label in labels) >= number, labels
    assert not any(label.startswith(f"{gone}-") for label in labels), labels


@when("accounts take turns at being the largest ones for {rounds:d} rounds of 10 s")
def step_turns(context, rounds):
    context.decreases = []
    before = {}
    for number in range(rounds):
        context.now += 10.0
        for offset in range(ROTATING):
            account = f"account-{(7 * number + offset) % (3 * ROTATING)}"
            count(context, account, AccountOutcome.SERVED, 10 + offset)
        now = series(context)
        context.decreases += [k for k in now if k in before and now[k] < before[k]]
        before = now


@then("no series has decreased from one round to the next")
def step_no_decrease(context):
    assert not context.decreases, context.decreases


@then('there is one series for "{label}"')
def step_one_series(context, label):
    keys = [key for key in context.counters.series() if key[0] == label]
    assert len(keys) == 1, keys
    assert label not in context.counters.named


@then(
    "an answer with status {status:d} for the reason {reason} has the outcome {outcome}"
)
def step_outcome(context, status, reason, outcome):
    assert account_outcome(reason=reason, status=status).value == outcome


# ---- At an entry host -----------------------------------------------------------------


@when(
    '{own:d} callers of the account "{account}" and {others:d} callers of none send '
    'GET "{target}"'
)
def step_callers(context, own, account, others, target):
    start = ingress.start_request
    context.resources.callback(setattr, ingress, "start_request", start)
    for name, number in ((account, own), ("", others)):

        def start_of_account(*, request, name=name, **others):
            return start(request=replace(request, account=name), **others)

        ingress.start_request = start_of_account
        for _ in range(number):
            reply = context.tier.run(context.tier.request(target=target))
            assert reply.status == 200, reply


@then(
    'the metrics of the entry host count {number:d} served requests of "{account}" and '
    "no others"
)
def step_host_metrics(context, number, account):
    text = generate_latest(context.gateway.router.metrics.registry).decode()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith("plantainstage_account_requests_total{")
    ]
    labels = f'{{account="{account}",outcome="served"}}'
    assert lines == [f"plantainstage_account_requests_total{labels} {number}.0"], text
