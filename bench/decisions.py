"""Simulates decisions under load and faults, with two baselines for comparison.

Time is virtual; latencies and deadlines are not scaled. A minute (the extra-load
window and the worst minute) is scaled to ``minute_s`` virtual seconds: 4 s in the
quick run, and 20 s with ``--full``. Each event checks the searchers' caps, and the
coverage of each answer is recomputed from the records of the searcher models.

Prints one JSON line for each run, then a table of targets as ratios to the
random-replica baseline of the same scenario, seed and load.
"""

import dataclasses
import multiprocessing
import sys
from pathlib import Path

import click
import msgspec

# The sizes of the deployments are those of the stand-in searchers.
sys.path.append(str(Path(__file__).resolve().parent.parent / "examples"))

from tier_model.deployment import DEPLOYMENTS  # noqa: E402
from tier_model.policies import POLICIES  # noqa: E402
from tier_model.records import Measures, measure  # noqa: E402
from tier_model.scenarios import SCENARIOS, Plan, run_scenario  # noqa: E402
from tier_model.targets import evaluate_targets  # noqa: E402

BASE_LOAD = 0.35  # share of capacity, unless the scenario sets another
QUICK = Plan(warm_up_s=1.0, minutes=1, minute_s=4.0, load=BASE_LOAD)
QUICK_OVERLOAD = Plan(warm_up_s=0.7, minutes=1, minute_s=1.5, load=BASE_LOAD)
FULL = Plan(warm_up_s=3.0, minutes=2, minute_s=20.0, load=BASE_LOAD)
FULL_OVERLOAD = Plan(warm_up_s=2.0, minutes=2, minute_s=5.0, load=BASE_LOAD)
OVERLOAD_SCENARIOS = frozenset({"overload-1x", "overload-2x", "overload-5x", "flood"})
# The ramp only matters where searchers start cold.
RAMP_SCENARIOS = frozenset({"cold-starts"})
PROCESSES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Task:
    """One run of one policy."""

    scenario: str
    deployment: str
    policy: str
    seed: int
    plan: Plan


def run_task(task):
    """Runs one task and returns its Measures."""
    tier = run_scenario(
        name=task.scenario,
        deployment=DEPLOYMENTS[task.deployment],
        policy_class=POLICIES[task.policy],
        seed=task.seed,
        plan=task.plan,
    )
    return measure(
        tier,
        scenario=task.scenario,
        policy=task.policy,
        start=task.plan.warm_up_s,
        end=task.plan.end_s,
        window_s=task.plan.minute_s,
    )


def make_tasks(*, full, seed, scenarios, deployments):
    """Returns the tasks of a quick or a full run."""
    tasks = []
    for scenario in scenarios:
        overload = scenario in OVERLOAD_SCENARIOS
        if full:
            plan = FULL_OVERLOAD if overload else FULL
        else:
            plan = QUICK_OVERLOAD if overload else QUICK
        for deployment in deployments:
            for policy in POLICIES:
                if policy == "without-ramp" and scenario not in RAMP_SCENARIOS:
                    continue
                tasks.append(
                    Task(
                        scenario=scenario,
                        deployment=deployment,
                        policy=policy,
                        seed=seed,
                        plan=plan,
                    )
                )
    return tasks


def print_table(results):
    """Prints the measures of all runs, one line each."""
    print(
        f"{'scenario':20}{'deployment':13}{'policy':15}{'bad/min':>8}"
        f"{'cover':>8}{'cov err':>8}{'extra':>8}{'p50':>8}{'p99':>8}{'p99.9':>8}"
        f"{'good/s':>8}{'cpu us':>8}"
    )
    for item in results:
        print(
            f"{item.scenario:20}{item.deployment:13}{item.policy:15}"
            f"{item.bad_worst_minute:8.4f}{item.coverage_mean:8.4f}"
            f"{item.coverage_errors:8d}"
            f"{item.extra_load:8.4f}{item.p50_ms:8.1f}{item.p99_ms:8.1f}"
            f"{item.p999_ms:8.1f}{item.good_per_s:8.1f}"
            f"{item.cpu_us_per_sub_request:8.1f}"
        )


def print_targets(results):
    """Prints each target with its value; returns the number that is not met."""
    missed = 0
    print()
    for outcome in evaluate_targets(results):
        missed += not outcome.met
        print(
            f"target met {'yes' if outcome.met else 'NO ':3} {outcome.scenario:20}"
            f"{outcome.deployment:13}{outcome.target}: {outcome.figure}"
        )
    return missed


def main(
    *,
    full=False,
    seed=1,
    scenarios=tuple(SCENARIOS),
    deployments=tuple(DEPLOYMENTS),
):
    """Runs all scenarios; returns the number of targets that are not met."""
    tasks = make_tasks(
        full=full, seed=seed, scenarios=scenarios, deployments=deployments
    )
    results: list[Measures] = []
    with multiprocessing.get_context("spawn").Pool(PROCESSES) as pool:
        for result in pool.imap(run_task, tasks):
            results.append(result)
            print(msgspec.json.encode(dataclasses.asdict(result)).decode())
            sys.stdout.flush()
    print()
    print_table(results)
    return print_targets(results)


@click.command()
@click.option("--full", is_flag=True, help="Longer runs.")
@click.option("--seed", default=1, show_default=True)
@click.option("--scenario", "scenarios", multiple=True, default=tuple(SCENARIOS))
@click.option("--deployment", "deployments", multiple=True, default=tuple(DEPLOYMENTS))
def command(full, seed, scenarios, deployments):
    """Run the decision benchmark."""
    main(full=full, seed=seed, scenarios=scenarios, deployments=deployments)


if __name__ == "__main__":
    command()
