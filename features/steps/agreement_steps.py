"""Steps for randomised runs of the agreement."""

from behave import given, then, when

from support.agreement_simulation import AgreementSimulation


@given("a simulated group of control replicas with seed {seed:d}")
def simulate_group(context, seed):
    context.simulation = AgreementSimulation(seed=seed)


@when("it runs {steps:d} steps with faults")
def run_simulation(context, steps):
    context.simulation.run(steps)
    assert context.simulation.steps >= steps


@then("every check held and the group makes progress after the faults")
def finish_simulation(context):
    # The checks raise InvariantViolation inside the run.
    context.simulation.finish()
    assert context.simulation.report()["committed"] > 0
