"""Steps for the time until configurations are in force on hosts."""

import sys
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "bench"))

from control_model.run import ALL_FAULTS, run_with_faults


@when("control and 12 hosts run for 60 s with {faults}, seed {seed:d}")
def step_run(context, faults, seed):
    named = ALL_FAULTS if faults == "all faults" else tuple(faults.split(", "))
    context.run = run_with_faults(seed=seed, faults=named)


@then("no host in touch was more than 4 s behind an acknowledged version")
def step_in_time(context):
    run = context.run
    assert run.tier.acknowledged, run.story
    assert not run.late, [*map(str, run.late), *run.story]


@then("no task has failed")
def step_no_failures(context):
    tier = context.run.tier
    failures = [
        line
        for machine in (*tier.replicas, *tier.hosts)
        for line in machine.events.lines
        if line[1] == "task_failed"
    ]
    assert not failures, failures[:3]
