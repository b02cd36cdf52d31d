"""Injects random faults into a tier of real processes and checks every reply.

Faults overlap: processes are killed, suspended and stopped as planned, hosts are
partitioned, connections go silent, a control replica loses its data folder,
searchers crash, drain, slow down and change snapshots, and operators submit
conflicting changes. For example::

    python tools/run_chaos.py --seed 7 --steps 40

The seed determines the order of the faults; their effect also depends on timing.
The exit code is 1 if a guarantee was violated or the tier did not start.
"""

import random
import sys
import time
from contextlib import ExitStack
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "features"), str(ROOT / "src"), str(ROOT / "tools")]

from chaos.callers import BOOKING_PROFILE, QUERY_PROFILE, Caller  # noqa: E402
from chaos.checks import Checks, check_logs, summary_lines  # noqa: E402
from chaos.faults import CONTROL, DATA_FAULTS, Faults  # noqa: E402
from chaos.history import History  # noqa: E402
from chaos.operators import Operators, publish_change  # noqa: E402

from plantainstage.messages import control  # noqa: E402
from support.linked_tier import LinkedTier  # noqa: E402
from support.processes import wait_until  # noqa: E402

MAX_ACTIVE_FAULTS = 2
FAULT_DURATION_S = (0.3, 3.5)  # includes less and more than a lease and an election


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--steps", default=6, show_default=True, help="Number of faults.")
@click.option("--controls", default=3, show_default=True)
@click.option("--entries", default=3, show_default=True)
@click.option("--partitions", default=3, show_default=True)
@click.option("--replicas", default=3, show_default=True)
@click.option("--callers", default=6, show_default=True)
@click.option("--keep", default="", help="Folder to which the logs are copied.")
def main(seed, steps, controls, entries, partitions, replicas, callers, keep):
    """Run the faults of one seed."""
    history = History()
    with ExitStack() as resources:
        tier = LinkedTier(
            resources,
            controls=controls,
            entries=entries,
            partitions=partitions,
            replicas=replicas,
        )
        chaos = ChaosRun(tier=tier, history=history, seed=seed)
        chaos.start(callers)
        try:
            chaos.run(steps)
            chaos.wait_for_recovery()
        except AssertionError as error:
            history.record_violation(f"not recovered: {error}")
        chaos.stop_and_check()
        if keep:
            copy_logs(tier, Path(keep))
    for line in [f"seed: {seed}, steps: {steps}", *summary_lines(history)]:
        print(line)
    raise SystemExit(1 if history.violations else 0)


class ChaosRun:
    """One run of a tier with callers, operators and faults."""

    def __init__(self, *, tier, history, seed):
        self.tier = tier
        self.history = history
        self.seed = seed
        self.random = random.Random(seed)
        self.faults = Faults(random_source=self.random, tier=tier, history=history)
        self.threads = []

    def start(self, callers):
        """Starts the tier, publishes the profiles and starts callers and operators."""
        tier = self.tier
        tier.start()
        tier.wait_until_ready()
        tier.submit(
            publish_change(BOOKING_PROFILE, deadline_ms=2000, minimum_coverage=1.0)
        )
        verdict = tier.submit(publish_change(QUERY_PROFILE, deadline_ms=1000))
        tier.wait_until_in_force(verdict.version)
        for name in tier.entries:
            tier.wait_until_answered(name, QUERY_PROFILE)
        self.history.print_step("the tier answers with full coverage")
        self.history.attempts.clear()
        names = sorted({item["partition"] for item in tier.searchers()})
        self.threads = [
            Caller(
                name=f"caller-{number + 1}",
                seed=self.seed,
                tier=tier,
                history=self.history,
                partitions=names,
            )
            for number in range(callers)
        ]
        self.threads.append(Operators(seed=self.seed, tier=tier, history=self.history))
        for thread in self.threads:
            thread.start()

    def run(self, steps):
        """Applies faults; at most two are active at a time."""
        active = []
        for _ in range(steps):
            fault = self.faults.apply_next(active)
            if fault is not None:
                active.append(fault)
            time.sleep(self.random.uniform(*FAULT_DURATION_S))
            while active and (
                len(active) >= MAX_ACTIVE_FAULTS or self.random.random() < 0.5
            ):
                self._repair(self._take_fault_to_repair(active))
        while active:
            self._repair(self._take_fault_to_repair(active))

    def _take_fault_to_repair(self, active):
        """Removes the next fault to repair from ``active`` and returns it.

        A lost data folder is repaired by membership changes, which need a majority;
        a fault of another control replica is therefore repaired first.
        """
        fault = active.pop(self.random.randrange(len(active)))
        others = [other for other in active if other.kind == CONTROL]
        if fault.name in DATA_FAULTS and others:
            active.remove(others[0])
            active.append(fault)
            return others[0]
        return fault

    def _repair(self, fault):
        self.history.print_step(f"repair {fault.name} on {fault.host}")
        fault.repair()

    def wait_for_recovery(self):
        """Ends the load and waits until the repaired tier works in full."""
        for thread in self.threads:
            thread.stopping.set()
        for thread in self.threads:
            thread.join()
        tier = self.tier
        for item in tier.searchers():
            self._put_searcher_in(item["upstream_id"])
        tier.wait_until_ready()
        for name in tier.entries:
            tier.wait_until_answered(name, QUERY_PROFILE)
        wait_until(self._replicas_agree, what="all control replicas hold the same log")
        self._check_verdicts()
        self.history.print_step("the tier has recovered")

    def _put_searcher_in(self, upstream_id):
        self.tier.submit(control.PutUpstreamIn(upstream_id=upstream_id))

    def _replicas_agree(self):
        status = self.tier.call(control.QueryStatus())
        return len(status.replicas) == len(self.tier.controls) and all(
            item.match_index >= status.commit_index and item.voter
            for item in status.replicas
        )

    def _check_verdicts(self):
        """Checks that changes keep their first verdict, and conflicts their winner."""
        for verdict in self.history.verdicts:
            reply = self.tier.call(control.SubmitChange(change=verdict.change))
            if reply != control.ChangeVerdict(verdict=verdict):
                self.history.record_violation(f"{verdict} became {reply}")
        for change, winner in self.history.conflicts:
            reply = self.tier.call(control.SubmitChange(change=change))
            if reply != control.ChangeConflict(winner=winner):
                self.history.record_violation(f"winner {winner} became {reply}")

    def stop_and_check(self):
        """Ends callers and operators and checks the run against all records."""
        for thread in self.threads:
            thread.stopping.set()
        for thread in self.threads:
            thread.join()
        tier = self.tier
        names = sorted({item["partition"] for item in tier.searchers()})
        manifests = {
            f"s{number}": self.faults.manifest(number)
            for number in range(2, self.faults.snapshot_number + 1)
        }
        manifests["s1"] = {
            name: 1000 + 10 * position for position, name in enumerate(names)
        }
        self.history.print_step("checking")
        Checks(
            history=self.history,
            runs=tier.runs(),
            searchers=tier.searchers(),
            manifests=manifests,
        ).run_all()
        check_logs(tier, self.history)


def copy_logs(tier, folder):
    """Copies the logs of all hosts to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for path in tier.folder.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())


if __name__ == "__main__":
    main()
