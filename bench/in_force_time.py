"""Measures how long a change takes until it is in force everywhere.

Three control replicas and 9 entry hosts, the present size of a deployment, run as
processes on this machine. Changes are submitted as ``plantainstage-ctl`` submits
them, first with all processes running, then right after the control leader was
killed. The bound is that of docs/design.md (P8: 5 s). Prints JSON lines. For example::

    python bench/in_force_time.py --changes 30
"""

import asyncio
import contextlib
import os
import subprocess
import sys
import time

import click
import msgspec

from claim_cost import ROOT, control_processes, end_process, free_address, print_line
from plantainstage._operator.changes import ChangeOptions, submit_change
from plantainstage._operator.outcomes import Outcome
from plantainstage._operator.session import open_session
from plantainstage.messages import configuration, control

ENTRIES = 9
BOUND_MS = 5000.0  # docs/design.md, P8, at the present size
TIMEOUT_S = 60.0
ENTRY = (sys.executable, "-m", "plantainstage._programs.entry")


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """Times from the submission to the reply "in force everywhere"."""

    situation: str
    entries: int
    changes: int
    median_ms: float
    longest_ms: float
    bound_ms: float
    ratio_to_bound: float


@contextlib.contextmanager
def entry_hosts(addresses):
    """Runs as many entry hosts as a present deployment has."""
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    flags = [part for address in addresses for part in ("--control", address)]
    with contextlib.ExitStack() as stack:
        for number in range(ENTRIES):
            process = subprocess.Popen(
                [
                    *(*ENTRY, "--entry-id", f"entry-{number}", "--data-centre", "a"),
                    *("--listen", free_address(), "--forward-listen", free_address()),
                    *("--log-level", "ERROR", *flags),
                ],
                env=environment,
            )
            stack.callback(end_process, process)
        yield


async def wait_for_entries(session):
    """Waits until all entry hosts have applied a version."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            status = await session.status()
            if sum(item.applied_version > 0 for item in status.entries) == ENTRIES:
                return
            await asyncio.sleep(0.1)


async def time_change(session, deadline_ms):
    """Returns the time until a change is in force everywhere, in milliseconds."""
    profile = configuration.Profile(
        name="bench", index="ditch-turns", deadline_ms=deadline_ms
    )
    started = time.perf_counter()
    report = await submit_change(
        session,
        control.PublishProfile(profile=profile),
        ChangeOptions(operator="bench"),
    )
    if report.outcome is not Outcome.IN_FORCE:
        raise click.ClickException(f"change not in force: {report}")
    return (time.perf_counter() - started) * 1000


def summarise(situation, times):
    """Returns the InForce line for measured times."""
    times = sorted(times)
    return InForce(
        situation=situation,
        entries=ENTRIES,
        changes=len(times),
        median_ms=round(times[len(times) // 2], 1),
        longest_ms=round(times[-1], 1),
        bound_ms=BOUND_MS,
        ratio_to_bound=round(times[-1] / BOUND_MS, 3),
    )


async def run(addresses, processes, changes):
    """Measures with all processes running and after the leader was killed."""
    with open_session(addresses=addresses, timeout_s=TIMEOUT_S) as session:
        await wait_for_entries(session)
        times = [await time_change(session, 100 + n) for n in range(changes)]
        print_line(summarise("all running", times))
        status = await session.status()
        leader = next(item.replica_id for item in status.replicas if item.leader)
        processes[leader].kill()
        processes[leader].wait()
        times = [await time_change(session, 5000)]
        print_line(summarise("leader just killed", times))


def main(full=False):
    """Measures with 10 changes, or 100 in a full run."""
    measure(100 if full else 10)


def measure(changes):
    """Starts the deployment and runs the measurement."""
    with control_processes() as group, entry_hosts(group.addresses):
        asyncio.run(run(group.addresses, group.processes, changes))


@click.command()
@click.option("--changes", default=30, show_default=True)
def command(changes):
    """Measure the time until a change is in force everywhere."""
    measure(changes)


if __name__ == "__main__":
    command()
