"""Measures latency and throughput of proposals with and without group commit.

Three replicas run as tasks of this process with real files, syncs and loopback
links. They share one core, so the measured costs are upper bounds for a group on
three hosts. The baseline handles one event at a time, with a sync for
each. Prints JSON lines. For example::

    python bench/commit_cost.py --concurrency 1,16,128 --proposals 2000
"""

import asyncio
import json
import tempfile
import time

import click
from loguru import logger

from local_replicas import initial_members, start_replica, wait_for_leader

COMMAND = b"c" * 200  # approximate size of a claim
MILLISECONDS_PER_S = 1000


class CountingMachine:
    """A state machine with negligible cost."""

    def __init__(self):
        self.count = 0

    def apply(self, *, index, command):
        """Counts the command and returns the count."""
        self.count += 1
        return self.count

    def take_snapshot(self):
        """Returns the count."""
        return str(self.count).encode()

    def restore(self, *, snapshot):
        """Restores the count."""
        self.count = int(snapshot or b"0")


async def run_clients(leader, *, concurrency, proposals):
    """Returns the sorted latencies of all proposals and the total time."""
    latencies = []

    async def client(count):
        for _ in range(count):
            started = time.perf_counter()
            await leader.propose(COMMAND)
            latencies.append(time.perf_counter() - started)

    started = time.perf_counter()
    share = proposals // concurrency
    await asyncio.gather(*(client(share) for _ in range(concurrency)))
    return sorted(latencies), time.perf_counter() - started


async def measure(*, group_commit, concurrency, proposals):
    """Returns the report of a run on a new group."""
    members = initial_members(3)
    with tempfile.TemporaryDirectory(prefix="commit-") as folder:
        replicas = [
            await start_replica(
                member=member,
                members=members,
                folder=folder,
                make_machine=CountingMachine,
                group_commit=group_commit,
            )
            for member in members
        ]
        leader = await wait_for_leader(replicas)
        await leader.confirm_leadership()
        latencies, elapsed = await run_clients(
            leader, concurrency=concurrency, proposals=proposals
        )
        lost = not leader.is_leader
        for replica in replicas:
            await replica.stop()
    return {
        "per_second": round(len(latencies) / elapsed, 1),
        "p50_ms": round(latencies[len(latencies) // 2] * MILLISECONDS_PER_S, 2),
        "p99_ms": round(latencies[len(latencies) * 99 // 100] * MILLISECONDS_PER_S, 2),
        "leader_lost": lost,
    }


@click.command()
@click.option("--concurrency", default="1,16,128", show_default=True)
@click.option("--proposals", default=2000, show_default=True)
def main(concurrency, proposals):
    """Measure each number of concurrent clients."""
    logger.remove()
    for clients in map(int, concurrency.split(",")):
        reports = {
            group_commit: asyncio.run(
                measure(
                    group_commit=group_commit,
                    concurrency=clients,
                    proposals=max(proposals, clients),
                )
            )
            for group_commit in (False, True)
        }
        line = {
            "bench": "commit_cost",
            "clients": clients,
            "group_commit": reports[True],
            "baseline": reports[False],
            "throughput_ratio": round(
                reports[True]["per_second"] / reports[False]["per_second"], 2
            ),
        }
        click.echo(json.dumps(line))


if __name__ == "__main__":
    main()
