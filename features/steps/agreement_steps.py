"""Steps for randomised runs of the replicated log."""

from behave import given, then, when

from plantainstage._agreement.log import Log
from plantainstage._messages.agreement import Entry, EntryKind
from support.agreement_simulation import AgreementSimulation
from support.simulation_self_repair import DisturbedJoins, SelfRepair


@given("a simulated group of control replicas with seed {seed:d}")
def simulate_group(context, seed):
    context.simulation = AgreementSimulation(seed=seed)


@given("a simulated group that repairs itself with seed {seed:d}")
def simulate_self_repair(context, seed):
    context.simulation = AgreementSimulation(seed=seed, operator_class=SelfRepair)


@given("a simulated group whose joining replicas are disturbed, with seed {seed:d}")
def simulate_disturbed_joins(context, seed):
    context.simulation = AgreementSimulation(seed=seed, operator_class=DisturbedJoins)


@when("it runs {steps:d} steps with faults")
def run_simulation(context, steps):
    context.simulation.run(steps)
    assert context.simulation.steps >= steps


@then("every check held and the group makes progress after the faults")
def finish_simulation(context):
    # A failed check raises InvariantViolation during the run.
    context.simulation.finish()
    assert context.simulation.report()["committed"] > 0


@given("a log of {count:d} entries of {size:d} bytes each")
def make_log(context, count, size):
    entries = [
        Entry(term=1, index=index, kind=EntryKind.COMMAND, data=bytes(size))
        for index in range(1, count + 1)
    ]
    context.log = Log(snapshot=None, entries=entries)


@then(
    "the tail of at most {count:d} entries and {size:d} bytes follows entry {index:d}"
)
def check_tail(context, count, size, index):
    found = context.log.index_before_tail(entries=count, data_bytes=size)
    assert found == index, found
