"""Runs the randomised simulation of routing decisions with any seed and length.

Prints the event counts at the end, and each fault with ``--verbose``. A violated
invariant or a failed check ends the run with a traceback and the seed.
"""

import sys
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "features")]


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seeds", default=1, show_default=True, help="Number of seeds, from --seed on."
)
@click.option("--steps", default=3000, show_default=True)
@click.option("--verbose", is_flag=True, help="Print each fault.")
def main(seed, seeds, steps, verbose):
    """Run the randomised simulation of routing decisions."""
    from support.decision_simulation import DecisionSimulation

    for number in range(seed, seed + seeds):
        simulation = DecisionSimulation(seed=number, log=print if verbose else None)
        try:
            simulation.run(steps)
            simulation.finish()
        except Exception:
            print(f"seed {number} failed in step {simulation.steps}", file=sys.stderr)
            raise
        print(f"seed {number}: {simulation.steps} steps, {simulation.report()}")


if __name__ == "__main__":
    main()
