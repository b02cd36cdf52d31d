"""Runs the simulation of the control service with any seed and step count.

For example ``python tools/run_membership.py --seed 7 --steps 100000``. Prints how
often each event and fault took place, and fails at the first violation.
"""

import sys
import time
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "features")]

from support.membership_simulation import run_simulation  # noqa: E402


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option("--steps", default=20_000, show_default=True, help="Events per seed.")
@click.option(
    "--no-faults",
    is_flag=True,
    help="Inject no faults of hosts and replicas; the network still loses and delays.",
)
def main(seed, seeds, steps, no_faults):
    """Simulate control replicas, entry hosts, operators and callers."""
    for number in range(seed, seed + seeds):
        started = time.perf_counter()
        try:
            counts = run_simulation(seed=number, steps=steps, faults=not no_faults)
        except Exception as error:
            click.echo(f"seed {number}: FAILED {type(error).__name__}: {error}")
            raise
        seconds = time.perf_counter() - started
        click.echo(f"seed {number}: {steps} steps in {seconds:.1f} s")
        for name, count in counts.items():
            click.echo(f"  {name}: {count}")


if __name__ == "__main__":
    main()
