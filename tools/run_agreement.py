"""Runs the randomised simulation of the replicated log with a seed and length.

For example ``python tools/run_agreement.py --seed 7 --steps 1000000``. The output is
one JSON line with counts of steps, faults and membership changes. A failed check ends
the run with InvariantViolation; the same seed reproduces it.
"""

import json
import sys
import time
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "features")]

from support.agreement_simulation import AgreementSimulation  # noqa: E402
from support.simulation_operator import SimulatedOperator  # noqa: E402
from support.simulation_self_repair import DisturbedJoins, SelfRepair  # noqa: E402


@click.command()
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--steps", default=100_000, show_default=True, type=int)
@click.option(
    "--no-faults",
    is_flag=True,
    help="Inject no faults; the network still loses and delays.",
)
@click.option(
    "--self-repair",
    is_flag=True,
    help="Let the group change its members without an operator.",
)
@click.option(
    "--disturbed-joins",
    is_flag=True,
    help="As --self-repair, with replicas that are disturbed while they join.",
)
def main(seed, steps, no_faults, self_repair, disturbed_joins):
    """Run the simulation once."""
    operator_class = SelfRepair if self_repair else SimulatedOperator
    if disturbed_joins:
        operator_class = DisturbedJoins
    simulation = AgreementSimulation(
        seed=seed,
        faults=not no_faults,
        operator_class=operator_class,
    )
    started = time.monotonic()
    try:
        simulation.run(steps)
        simulation.finish()
    finally:
        report = simulation.report()
        report["seed"] = seed
        report["elapsed_s"] = round(time.monotonic() - started, 1)
        click.echo(json.dumps(report))


if __name__ == "__main__":
    main()
