"""Steps for the replicated state of evacuations."""

from behave import given, then, when

from plantainstage._errors import InvalidDataCentreError
from plantainstage._registry.machine import ConfigurationMachine
from plantainstage._serving.evacuations import (
    EvacuationState,
    RunningEvacuation,
    check_data_centre,
)

EARLIER = EvacuationState(number=2)
LATER = EvacuationState(
    number=9, running=(RunningEvacuation(data_centre="dc-2", started_at_ms=1),)
)


def apply_order(context, machine, order, index, proposer=None):
    verb, name = order.split(" ")
    command = (proposer or machine).evacuation_command(
        name, starts=verb == "start", at_ms=1000 + index
    )
    context.log.append((index, command))
    context.carried_out.append(machine.apply(index=index, command=command))


@given("a control machine")
def step_machine(context):
    context.machine = ConfigurationMachine()
    context.log = []
    context.carried_out = []


@when('it applies "{first}" at {at:d} and "{second}" at {then:d}')
def step_apply_two(context, first, at, second, then):
    apply_order(context, context.machine, first, at)
    apply_order(context, context.machine, second, then)


@when('it applies "{order}" at {index:d}')
def step_apply(context, order, index):
    apply_order(context, context.machine, order, index)


@when("it applies the start of {count:d} evacuations")
def step_apply_many(context, count):
    for number in range(count):
        apply_order(context, context.machine, f"start dc-{number}", number + 1)


@when("another machine with its state replays the same log")
def step_replay(context):
    context.other = ConfigurationMachine()
    context.other.restore_evacuations(context.machine.evacuations)
    context.told = []
    context.other.on_change = lambda: context.told.append(context.other.evacuations)
    for index, command in context.log:
        context.other.apply(index=index, command=command)


@when("an earlier and a later state are restored")
def step_restore_both(context):
    context.machine.restore_evacuations(EARLIER)
    assert context.machine.evacuations.number > EARLIER.number
    context.machine.restore_evacuations(LATER)


@when("the earlier state is restored")
def step_restore_earlier(context):
    context.machine.restore_evacuations(EARLIER)


@when('another machine restores its snapshot and applies "{order}" at {index:d}')
def step_restore_snapshot(context, order, index):
    snapshot = context.machine.take_snapshot()
    context.machine = ConfigurationMachine()
    context.machine.restore(snapshot=snapshot)
    apply_order(context, context.machine, order, index)


@when(
    'another machine without that state applies its next order, "{order}" at {index:d}'
)
def step_lost_state(context, order, index):
    other = ConfigurationMachine()
    apply_order(context, other, order, index, proposer=context.machine)
    context.machine = other


@then("all orders were carried out")
def step_all_carried_out(context):
    assert all(context.carried_out), context.carried_out


@then("all orders but the last one were carried out")
def step_all_but_last(context):
    *others, last = context.carried_out
    assert all(others), context.carried_out
    assert last is False, last


@then('the evacuations are "{names}" with number {number:d}')
def step_evacuations(context, names, number):
    state = context.machine.evacuations
    found = (" ".join(state.data_centres), state.number)
    assert found == (names, number), found


@then('the evacuations are "" with number {number:d}')
def step_no_evacuations(context, number):
    step_evacuations(context, "", number)


@then("the other machine has told of no other state")
def step_told_nothing(context):
    assert context.told == [], context.told
    assert context.other.evacuations == context.machine.evacuations


@then('the name "{name}" of a data centre is {verdict}')
def step_name(context, name, verdict):
    try:
        check_data_centre(name)
    except InvalidDataCentreError:
        assert verdict == "refused"
    else:
        assert verdict == "taken"


@then('the name "" of a data centre is {verdict}')
def step_no_name(context, verdict):
    step_name(context, "", verdict)
