"""Runs the model of control and its entry hosts with any seeds and faults.

For example ``python tools/run_control_model.py --seed 7 --seeds 50``. Prints for each
seed how long a host in touch was behind at most, and fails if one was for too long.
"""

import sys
import time
from pathlib import Path

import click
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / name) for name in ("src", "bench")]

from control_model.run import (  # noqa: E402
    ALL_FAULTS,
    EXTRA_FAULTS,
    run_with_faults,
)


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice((*ALL_FAULTS, *EXTRA_FAULTS)),
    help="Only faults of this kind; may be given several times.",
)
@click.option("--story", is_flag=True, help="Print each fault with its time.")
def main(seed, seeds, faults, story):
    """Run control replicas and entry hosts under faults, in virtual time."""
    logger.remove()
    broken = 0
    for number in range(seed, seed + seeds):
        started = time.perf_counter()
        run = run_with_faults(seed=number, faults=faults or ALL_FAULTS)
        seconds = time.perf_counter() - started
        click.echo(
            f"seed {number}: {len(run.tier.acknowledged)} changes, behind for "
            f"{run.longest_s:.2f} s at most, {seconds:.1f} s"
        )
        if story:
            for at, text in run.story:
                click.echo(f"  {at:6.2f} {text}")
        for late in run.late:
            click.echo(f"  LATE {late}")
        broken += bool(run.late)
    click.echo(f"{seeds - broken} seeds held, {broken} did not")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
