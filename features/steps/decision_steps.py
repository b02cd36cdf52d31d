"""Steps for randomised runs of routing and queueing decisions."""

from behave import given, then, when

from support.budget_run import BudgetRun
from support.decision_simulation import DecisionSimulation


@given("simulated entry hosts and searchers with seed {seed:d}")
def simulate_decisions(context, seed):
    context.simulation = DecisionSimulation(seed=seed)


@when("they serve {steps:d} random requests and faults")
def run_decisions(context, steps):
    context.simulation.run(steps)


@then(
    "every decision check held and the run had crashes, hedges and non-idempotent runs"
)
def finish_decisions(context):
    # Violated invariants raise during the run, failed checks in finish().
    context.simulation.finish()
    report = context.simulation.report()
    for name in ("answers", "crashed searchers", "hedges", "non-idempotent runs"):
        assert report[name] > 0, f"{name} did not happen: {report}"


@given("an extra-load budget of 5% with seed {seed:d}")
def make_budget(context, seed):
    context.budget_run = BudgetRun(seed=seed)


@when("it is used in {steps:d} bursts")
def use_budget(context, steps):
    context.budget_run.run(steps)


@then("no exact window that ends with an extra sub-request exceeds the limit")
def check_budget(context):
    assert len(context.budget_run.extra) > 100
    assert context.budget_run.worst_excess() <= 1e-9
