"""Measures how long an upstream that leaves still receives new sub-requests.

Three control replicas, three entry hosts and stand-in searchers run as processes
on this machine, with callers at each entry host. A searcher announces that it is
draining, or an operator takes it out; the control leader keeps running (the
baseline) or is killed at that moment. The time runs from the announcement or
command to the start of the last sub-request in the records of the searchers. The
bound is that of docs/design.md (P6: 3 s). Prints JSON lines. For example::

    python bench/leave_time.py --trials 10
"""

import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

import click
import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from plantainstage.messages import control
from support.callers import Callers
from support.control_processes import ControlProcesses
from support.processes import post_json, wait_until

ENTRIES = 3
PARTITIONS = 3
BOUND_MS = 3000.0  # docs/design.md, P6
OBSERVATION_S = 5.0  # longer than the bound, to detect a violation
MAX_HEARTBEAT_AGE_MS = 300
PROFILE = "bench"


class LeaveTime(msgspec.Struct, frozen=True, kw_only=True):
    """Times from the start of leaving to the last sub-request."""

    way: str
    leader: str
    trials: int
    median_ms: float
    longest_ms: float
    bound_ms: float
    ratio_to_bound: float


class LeaveBenchmark:
    """A deployment on which all trials run."""

    def __init__(self, resources, *, replicas):
        self.tier = ControlProcesses(resources)
        self.names = self.tier.start_group(3)
        for number in range(ENTRIES):
            self.tier.start_entry(f"entry-{number}")
        self.tier.start_searchers(partitions=PARTITIONS, replicas=replicas)
        self.tier.wait_until_ready()
        self.tier.publish(name=PROFILE, deadline_ms=1000)
        self.tier.wait_until_full(PROFILE)
        addresses = {str(n): a for n, a in enumerate(self.tier.entry_addresses)}
        self.callers = Callers(addresses, profile=PROFILE)
        resources.callback(self.callers.stop)
        self.left_ids = set()

    def configuration(self):
        """Returns the newest configuration."""
        return self.tier.control_call(control.QueryConfiguration()).configuration

    def next_upstream(self):
        """Returns a searcher that has not left, of each partition in turn."""
        staying = [
            item
            for item in self.configuration().upstreams
            if item.upstream_id not in self.left_ids
        ]
        found = min(staying, key=lambda item: item.upstream_id.rpartition("-")[::-1])
        self.left_ids.add(found.upstream_id)
        return found

    def trial(self, way, kill):
        """Returns the milliseconds from the leaving to the last sub-request."""
        upstream = self.next_upstream()
        leader = self.tier.leader()
        announcement = self.announcement(upstream) if way == "drain" else None
        number = self.tier.control_call(control.QueryNextNumber()).number
        if kill:
            self.tier.programs[leader].process.kill()
        started = time.monotonic()
        if way == "drain":
            self.drain(upstream.upstream_id, announcement)
        else:
            self.take_out(upstream.upstream_id, number)
        # The records are read only when no further sub-request is expected.
        time.sleep(max(0.0, started + OBSERVATION_S - time.monotonic()))
        times = [
            run["started"] - started
            for run in self.tier.runs()
            if run["upstream_id"] == upstream.upstream_id
        ]
        if kill:
            self.restart(leader)
        return max(0.0, *times) * 1000

    def drain(self, upstream_id, announcement):
        """Announces the draining at once; the searcher repeats the announcement."""
        address = self.tier.entry_addresses[0]
        thread = threading.Thread(
            target=post_json, args=(address, "/v1/upstreams", announcement)
        )
        thread.start()
        self.tier.order(upstream_ids=[upstream_id], behaviour={"state": "draining"})
        thread.join()

    def take_out(self, upstream_id, number):
        """Submits the operator's change to the current leader."""
        change = control.Change(
            number=number,
            operator="bench",
            body=control.TakeUpstreamOut(upstream_id=upstream_id),
        )
        self.tier.control_call(control.SubmitChange(change=change))

    def announcement(self, upstream):
        """Returns the draining announcement of a registered searcher."""
        manifests = {
            item.snapshot: item
            for item in self.configuration().manifests
            if item.index == upstream.index
        }
        return {
            "upstream_id": upstream.upstream_id,
            "incarnation": upstream.incarnation,
            "address": upstream.address,
            "data_centre": upstream.data_centre,
            "index": upstream.index,
            "slots": upstream.slots,
            "connections": upstream.connections,
            "snapshots": [
                {
                    "snapshot": item.snapshot,
                    "sequence": manifests[item.snapshot].sequence,
                    "partitions": item.partitions,
                    "manifest": manifests[item.snapshot].documents,
                }
                for item in upstream.holdings
            ],
            "state": "draining",
            "in_flight": 0,
        }

    def restart(self, name):
        """Restarts a killed replica and waits until all replicas are heard from."""
        self.tier.programs[name].process.wait()
        self.tier.start_replica(name, "--join")

        def all_heard():
            replicas = self.tier.status().replicas
            return all(
                0 <= item.last_heard_ms < MAX_HEARTBEAT_AGE_MS for item in replicas
            )

        wait_until(all_heard, what=f"{name} follows the leader again")
        self.tier.wait_until_full(PROFILE)


def summarise(way, leader, times):
    """Returns the LeaveTime line for measured times."""
    times = sorted(times)
    return LeaveTime(
        way=way,
        leader=leader,
        trials=len(times),
        median_ms=round(times[len(times) // 2], 1),
        longest_ms=round(times[-1], 1),
        bound_ms=BOUND_MS,
        ratio_to_bound=round(times[-1] / BOUND_MS, 3),
    )


def measure(trials, baseline_trials):
    """Measures both ways to leave, with the leader running and killed."""
    replicas = -(-2 * (trials + baseline_trials) // PARTITIONS) + 1
    with ExitStack() as resources:
        benchmark = LeaveBenchmark(resources, replicas=replicas)
        for kill in (False, True):
            for way in ("drain", "out"):
                count = trials if kill else baseline_trials
                times = [benchmark.trial(way, kill) for _ in range(count)]
                leader = "killed" if kill else "running"
                click.echo(msgspec.json.encode(summarise(way, leader, times)).decode())


def main(full=False):
    """Measures with 3 trials of each kind, or 10 in a full run."""
    measure(10 if full else 3, 3)


@click.command()
@click.option("--trials", default=10, show_default=True, help="With the kill.")
@click.option("--baseline-trials", default=3, show_default=True)
def command(trials, baseline_trials):
    """Measure the time until a leaving upstream receives no new sub-requests."""
    measure(trials, baseline_trials)


if __name__ == "__main__":
    command()
