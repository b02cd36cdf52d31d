"""Steps for host admission under the load of two profiles."""

import random
from collections import Counter

from behave import given, then, when

from plantainstage._limits.admission import HostAdmission
from plantainstage._messages.configuration import Profile
from plantainstage._routing.view import PartitionView

REMAINING_S = 0.1
STEP_S = 0.001
CYCLE_S = 0.3  # queues fill and drain within a few deadlines


class Wait:
    """A partition wait that is long while ``full(now)`` is true, and zero otherwise."""

    def __init__(self, full):
        self.full = full

    def at(self, now):
        return REMAINING_S if self.full(now) else 0.0


def make_admission(context, full):
    context.random = random.Random(3)
    context.admission = HostAdmission(random=context.random.random)
    context.partition = PartitionView(
        name="p1", documents=10, replicas=(), latency=None, wait=Wait(full)
    )


@given("host admission with queues that alternate between empty and full")
def make_alternating(context):
    make_admission(context, lambda now: now % CYCLE_S > CYCLE_S / 2)


@given("host admission with queues that stay full")
def make_full(context):
    make_admission(context, lambda now: True)


@when(
    '"{one}" sends {ratio:d} requests for each one of "{other}" during {span:d} seconds'
)
def send_two_profiles(context, one, ratio, other, span):
    profiles = [Profile(name=name, index="i", deadline_ms=100) for name in (one, other)]
    context.sent, context.admitted = Counter(), Counter()
    for step in range(round(span / STEP_S)):
        profile = profiles[context.random.random() < 1 / (ratio + 1)]
        context.sent[profile.name] += 1
        context.admitted[profile.name] += context.admission.admits(
            profile=profile,
            partitions=(context.partition,),
            needed=10,
            remaining_s=REMAINING_S,
            now=step * STEP_S,
        )


@then('at least {percent:d}% of the requests of "{name}" are admitted')
def check_admitted(context, percent, name):
    share = context.admitted[name] / context.sent[name]
    assert share >= percent / 100, share


@then('at most {percent:d}% of the requests of "{name}" are admitted')
def check_refused(context, percent, name):
    share = context.admitted[name] / context.sent[name]
    assert share <= percent / 100, share
