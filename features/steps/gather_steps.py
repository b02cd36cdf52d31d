"""Steps for one request at the entry host that received it."""

import random
from collections import Counter

from behave import given, then, when

from plantainstage._limits.extra_load import ExtraLoadBudget
from plantainstage._messages.callers import QueryBody
from plantainstage._messages.configuration import (
    Configuration,
    Manifest,
    Ownership,
    Profile,
    SnapshotHolding,
    Upstream,
    UpstreamState,
)
from plantainstage._messages.forward import SubOutcome, SubResult
from plantainstage._routing.estimates import RoutingState
from plantainstage._routing.gather import FinishRequest, Gather, SendSubRequest
from plantainstage._routing.view import ConfigurationView, start_ramps

PARTITIONS = ("p1", "p2")
REPLICAS = 3
DOCUMENTS = 100
LIMIT = 0.05
HEDGES_DUE_S = 0.09  # of a deadline of 0.1 s
PROFILE = Profile(
    name="gate",
    index="i",
    deadline_ms=100,
    minimum_coverage=1.0,
    extra_load_limit=LIMIT,
)


def configuration_of(*, version, incarnations):
    names = [f"{part}-{number}" for part in PARTITIONS for number in range(REPLICAS)]
    return Configuration(
        version=version,
        profiles=(PROFILE,),
        upstreams=tuple(
            Upstream(
                upstream_id=name,
                incarnation=incarnations.get(name, "1"),
                address="",
                data_centre="zone",
                index="i",
                slots=3,
                connections=30,
                holdings=(
                    SnapshotHolding(snapshot="s1", partitions=(name.split("-")[0],)),
                ),
                state=UpstreamState.SERVING,
            )
            for name in names
        ),
        manifests=(
            Manifest(
                index="i",
                snapshot="s1",
                sequence=1,
                documents={part: DOCUMENTS for part in PARTITIONS},
            ),
        ),
        entry_hosts=(),
        ownerships=tuple(
            Ownership(upstream_id=name, entry_id="e1", epoch=1, active=True)
            for name in names
        ),
    )


def make_routing():
    return RoutingState(
        entry_id="e1", incarnation="1", data_centre="zone", random=random.Random(5)
    )


def take(context, actions):
    for action in actions:
        if isinstance(action, SendSubRequest):
            context.outstanding.append(action.sub_request)
        elif isinstance(action, FinishRequest):
            context.finish = action


def deliver(context, sub_request, outcome, times=1):
    result = SubResult(
        sub_request_id=sub_request.sub_request_id,
        upstream_id=sub_request.upstream_id,
        partition=sub_request.partition,
        outcome=outcome,
        snapshot="s1",
        documents=DOCUMENTS if outcome is SubOutcome.ANSWERED else 0,
    )
    for _ in range(times):
        take(context, context.gather.on_result(result, context.now))


def answer_all(context):
    while context.outstanding:
        deliver(context, context.outstanding.pop(0), SubOutcome.ANSWERED)


def allow_extra(context, count):
    context.budget.record_first(round(count / LIMIT), sent_at=0.0, now=0.0)


def wait_for_hedges(context):
    context.now = HEDGES_DUE_S
    before = len(context.outstanding)
    take(context, context.gather.on_timer(context.now))
    context.hedges = context.outstanding[before:]


@given('a request for partitions "{names}" of searchers with 3 replicas')
def make_request(context, names):
    context.routing = make_routing()
    context.budget = ExtraLoadBudget(limit=LIMIT)
    context.now, context.finish, context.outstanding = 0.0, None, []
    view = ConfigurationView(
        configuration=configuration_of(version=1, incarnations={}),
        routing=context.routing,
    )
    context.gather = Gather(
        request_id="r1",
        profile=PROFILE,
        body=QueryBody(profile="gate", query=b"1", partitions=tuple(names.split())),
        view=view,
        routing=context.routing,
        budget=context.budget,
        now=0.0,
    )
    take(context, context.gather.start(0.0))


@when("every outstanding sub-request is answered")
def answer_outstanding(context):
    answer_all(context)


@when("the reset of one sub-request is delivered {times:d} times")
def reset_repeatedly(context, times):
    allow_extra(context, 10)
    context.now = 0.01
    deliver(context, context.outstanding.pop(0), SubOutcome.RESET, times)


@when('a hedge for partition "{name}" is sent with room for {count:d}')
def send_hedge(context, name, count):
    allow_extra(context, count)
    others = [item for item in context.outstanding if item.partition != name]
    for item in others:
        context.outstanding.remove(item)
        deliver(context, item, SubOutcome.ANSWERED)
    wait_for_hedges(context)
    assert [item.partition for item in context.hedges] == [name], context.hedges


@when("the first sub-requests are answered and the hedge comes back as not sent")
def answer_first(context):
    (hedge,) = context.hedges
    context.outstanding.remove(hedge)
    answer_all(context)
    deliver(context, hedge, SubOutcome.NOT_SENT)


@when("the hedges of both partitions are due with room for {count:d}")
def wait_for_both(context, count):
    allow_extra(context, count)
    wait_for_hedges(context)


@then("no hedge is sent")
def check_no_hedge(context):
    assert not context.hedges, context.hedges


@then("the budget has room for {count:d}")
def check_room(context, count):
    for _ in range(count):
        assert context.budget.take(context.now) is not None
    assert context.budget.take(context.now) is None


@then("the answer covers {answered:d} partitions of {total:d}")
def check_coverage(context, answered, total):
    answer = context.finish.answer
    assert len(answer.hits) == answered, answer
    assert answer.coverage.documents_answered == answered * DOCUMENTS, answer
    assert answer.coverage.documents_total == total * DOCUMENTS, answer


@then("one searcher of the partition was reset")
def check_resets(context):
    resets = sorted(part.resets for part in context.gather.parts)
    assert resets == [0, 1], resets


# ---- Cold starts --------------------------------------------------------------


def chosen(context, now):
    """Returns how often each replica of a partition is chosen."""
    snapshot = context.view.snapshots["i"][0]
    replicas = snapshot.by_name["p1"].replicas
    for replica in replicas:
        replica.estimate.updated = now
    counts = Counter(
        context.routing.choose(replicas, (), now).upstream_id for _ in range(600)
    )
    return [counts[f"p1-{number}"] for number in range(REPLICAS)]


@given("a host that knows 3 warm replicas of a partition")
def know_replicas(context):
    context.routing = make_routing()
    context.configuration = configuration_of(version=1, incarnations={})
    context.view = ConfigurationView(
        configuration=context.configuration, routing=context.routing
    )


@when("one of them starts again with a new incarnation")
def start_again(context):
    configuration = configuration_of(version=2, incarnations={"p1-0": "2"})
    context.view = ConfigurationView(
        configuration=configuration, routing=context.routing
    )
    start_ramps(
        before=context.configuration,
        after=configuration,
        routing=context.routing,
        now=0.0,
    )


@then("it is chosen least often for the next second")
def check_chosen_least(context):
    for now in (0.0, 0.5, 1.0):
        counts = chosen(context, now)
        assert counts[0] < min(counts[1:]) / 2, counts


@then("it is chosen as often as the others after 10 seconds")
def check_full_share(context):
    counts = chosen(context, 10.0)
    assert min(counts) > 120, counts
