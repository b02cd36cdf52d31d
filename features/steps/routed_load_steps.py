"""Steps that simulate load and searcher faults on the decisions of entry hosts."""

import sys
from pathlib import Path

from behave import given, then, when

sys.path.append(str(Path(__file__).resolve().parents[2] / "bench"))

from routed_model.deployment import DEPLOYMENTS  # noqa: E402
from routed_model.scenarios import run_scenario  # noqa: E402

BUDGET_WINDOW_S = 10.0
# By the users' rules a less urgent kind may be served more often by 5 in 100.
PRIORITY_TOLERANCE = 0.05


@given('the deployment "{name}" with its usual load')
def step_deployment(context, name):
    context.deployment = DEPLOYMENTS[name]


@when(
    'it runs for {seconds:d} s of virtual time with seed {seed:d} and the fault scenario "{fault}"'
)
def step_run(context, seconds, seed, fault):
    context.seconds = seconds
    context.measures = run_scenario(
        name=fault,
        deployment=context.deployment,
        seed=seed,
        seconds=float(seconds),
        load=1.0,
    )


@then("at most 1 in 100 answers is late and none fails")
def step_in_time(context):
    assert context.measures.late <= 0.01, context.measures
    assert context.measures.failed == 0, context.measures


@then("callers get at least {share:f} of the possible credit")
def step_credit(context, share):
    assert context.measures.credit >= share, context.measures


@then("extra arrivals stay within the budget of the deployment")
def step_budget(context):
    deployment = context.deployment
    # The slack is granted once for each window; this run lies within one window.
    slack = deployment.retry_slack / (deployment.gathers_per_s * context.seconds)
    assert context.seconds <= BUDGET_WINDOW_S
    allowed = deployment.retry_ratio + slack
    assert context.measures.extra <= allowed, (context.measures, allowed)


@then("every limited searcher stays within what its limit allows")
def step_limits(context):
    assert 0 < context.measures.limit_use <= 1, context.measures


@then("more urgent requests are served as often as less urgent ones")
def step_priority(context):
    kinds = [k for k in context.deployment.kinds if k.required_coverage]
    urgent, other = sorted(kinds, key=lambda kind: kind.priority)
    shares = context.measures.answered_by_kind
    assert shares[urgent.name] >= shares[other.name] - PRIORITY_TOLERANCE, shares


@then("at least {count:d} searchers have ended")
def step_ended(context, count):
    assert context.measures.ended >= count, context.measures


@then(
    "such a request arrives at most {count:d} times later than 4 s after the third end"
)
def step_ending_late(context, count):
    assert context.measures.ending_late <= count, context.measures
