"""Steps for violated invariants within one request."""

import asyncio

from behave import given, then, when

from plantainstage._entry.gathers import GatherRun, GatherRunner
from plantainstage._limits.owner_queue import HostLease
from plantainstage._routing.gather import FinishRequest
from plantainstage.errors import InvariantViolation


class FaultyGather:
    """Violates an invariant when its timer fires."""

    def on_timer(self, now):
        raise InvariantViolation(invariant="test", detail="the timer fired")


class WorkingGather:
    """Finishes when its timer fires."""

    def on_timer(self, now):
        return [FinishRequest()]


@given("two requests, the first of which violates an invariant when its timer fires")
def make_requests(context):
    context.gathers = (FaultyGather(), WorkingGather())


@when("their timers fire")
def fire_timers(context):
    async def run():
        gathers = GatherRunner(
            lease=HostLease(),
            routing=None,
            budgets=None,
            send=None,
            cancel=None,
            report_crashes=None,
        )
        runs = [GatherRun(gather=item, gathers=gathers) for item in context.gathers]
        for item in runs:
            item.wake_at(gathers.loop.time())
        async with asyncio.timeout(60):
            return await asyncio.gather(
                *(item.outcome for item in runs), return_exceptions=True
            )

    context.outcomes = asyncio.run(run())


@then("the first request fails with the violation and the second one finishes")
def check_outcomes(context):
    assert isinstance(context.outcomes[0], InvariantViolation), context.outcomes
    assert context.outcomes[1] == FinishRequest(), context.outcomes
