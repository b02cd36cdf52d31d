"""Steps for the owner queue of one searcher."""

from behave import given, then, when

from plantainstage._limits.extra_load import ExtraLoadBudgets
from plantainstage._limits.owner_queue import (
    HostLease,
    OwnerQueue,
    ReturnResult,
)
from plantainstage._limits.quarantine import QuarantineTable
from plantainstage._messages.forward import SubOutcome, SubResult
from support.owner_queue import started, sub_request, submit


def finish_running(context):
    context.now += 0.001
    key = next(iter(context.queue.running))
    result = SubResult(
        sub_request_id=key,
        upstream_id="r1",
        partition="p1",
        outcome=SubOutcome.ANSWERED,
    )
    context.actions += context.queue.finished(
        result, context.now, connection_usable=True
    )


@given('an owner queue with 1 slot and weights {one:d} for "a" and {other:d} for "b"')
def make_queue(context, one, other):
    context.now = 0.0
    context.actions = []
    context.queue = OwnerQueue(
        upstream_id="r1",
        slots=1,
        connections=10,
        lease=HostLease(until=float("inf")),
        quarantines=QuarantineTable(),
        budgets=ExtraLoadBudgets(),
        weights={"a": one, "b": other},
    )
    context.queue.begin_ownership(epoch=1)


@when('40 sub-requests of each of "a" and "b" wait and 40 exchanges finish')
def fill_queue(context):
    for number in range(40):
        submit(context, sub_request(f"a{number}", "a"))
        submit(context, sub_request(f"b{number}", "b"))
    context.actions.clear()
    for _ in range(40):
        finish_running(context)


@then('{low:d} to {high:d} of the started exchanges were for "a"')
def check_share(context, low, high):
    count = sum(item.profile == "a" for item in started(context))
    assert low <= count <= high, count


@when('20 non-idempotent sub-requests of "a" with falling deadlines are sent')
def send_non_idempotent(context):
    for number in range(20):
        remaining_ms = 60_000.0 - 100 * number
        submit(
            context,
            sub_request(f"a{number}", "a", idempotent=False, remaining_ms=remaining_ms),
        )
    for _ in range(19):
        finish_running(context)


@then("they start in the order of their arrival")
def check_order(context):
    keys = [item.sub_request_id for item in started(context)]
    assert keys == [f"a{number}" for number in range(20)], keys


@when("a sub-request for epoch 0 arrives")
def send_old_epoch(context):
    submit(context, sub_request("a0", "a", epoch=0))


@then('it is returned as not sent because of "{reason}"')
def check_returned(context, reason):
    (action,) = context.actions
    assert isinstance(action, ReturnResult), action
    assert action.result.outcome is SubOutcome.NOT_SENT
    assert action.result.reason == reason


@when("a running sub-request is cancelled while another one waits")
def cancel_running(context):
    submit(context, sub_request("a0", "a"))
    submit(context, sub_request("a1", "a"))
    context.actions += context.queue.cancel("a0", context.now)


@then("the other one starts only when the cancelled exchange has ended")
def check_slot_kept(context):
    assert [item.sub_request_id for item in started(context)] == ["a0"]
    result = SubResult(
        sub_request_id="a0",
        upstream_id="r1",
        partition="p1",
        outcome=SubOutcome.CANCELLED,
    )
    context.actions += context.queue.finished(
        result, context.now, connection_usable=True
    )
    assert [item.sub_request_id for item in started(context)] == ["a0", "a1"]
