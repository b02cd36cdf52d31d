"""Runs the programs under random faults and checks the guarantees to callers.

Control replicas and entry hosts are separate processes; searchers, callers and the
operator run in this one. Faults overlap: processes are killed, suspended, stopped as
planned and reloaded, a replica loses its data folder, searchers crash and drain, and
their links are held, delayed, reset, silenced or interrupted in one direction. For
example::

    python tools/run_soak.py --seed 7 --faults 20

The seed determines the order of the faults; their effect also depends on timing. The
exit code is 1 if a guarantee was violated.
"""

import asyncio
import json
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "features"), str(ROOT / "src"), str(ROOT / "tools")]

from soak.callers import Caller, Operator, Prober  # noqa: E402
from soak.checks import Checks  # noqa: E402
from soak.contents import SHARDS  # noqa: E402
from soak.faults import Faults  # noqa: E402
from soak.http import call  # noqa: E402
from soak.processes import make_gateway, make_registry  # noqa: E402
from soak.record import Record  # noqa: E402
from soak.searchers import SoakSearcher  # noqa: E402

from support.processes import free_ports  # noqa: E402
from support.proxy import Network  # noqa: E402

READY_TIMEOUT_S = 30.0
SERVED_TIMEOUT_S = 30.0
REPLICAS = 3
REGRESSIONS = ROOT / "tools" / "soak" / "regressions.txt"
DRAIN_S = 3.6  # how long a draining searcher continues to serve
FAULT_PAUSE_S = (0.1, 1.0)
CONCURRENT_FAULTS = 2  # faults that may be active at a time


class SoakRun:
    """One run: processes, searchers, callers, faults and the record of the run."""

    def __init__(self, *, seed, gateways, searchers, callers, folder, other_build=""):
        self.seed = seed
        self.other_build = other_build
        self.random = random.Random(seed)
        self.record = Record()
        self.network = Network()
        self.drain_s = DRAIN_S
        self.started_at = time.monotonic()
        seed_ports = [free_ports(3) for _ in range(REPLICAS)]
        self.registries = [
            make_registry(folder, n, seed_ports) for n in range(REPLICAS)
        ]
        self.gateways = [make_gateway(folder, n, seed_ports) for n in range(gateways)]
        self.searchers = {
            service: [
                SoakSearcher(soak=self, searcher_id=f"{service}-{n}", service=service)
                for n in range(searchers)
            ]
            for service in ("cards", *SHARDS)
        }
        self.callers = [Caller(soak=self, number=n) for n in range(callers)]
        # Sends the requests that test readiness before and after the faults. It has
        # its own number, since request ids must be unique.
        self.readiness_caller = Caller(soak=self, number=callers)
        self.operator = Operator(soak=self)
        self.faults = Faults(soak=self)
        self.stopping = False
        self.tasks = []

    # ---- Queries ------------------------------------------------------------------

    def now(self):
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def shuffled(self, items):
        """Returns the items in a random order."""
        return self.random.sample(items, len(items))

    async def all_replicas_confirm_newest(self):
        """Whether each replica confirms the newest configuration."""
        path = "/v1/configuration/newest"
        for registry in self.registries:
            status, _ = await call(registry.address, "GET", path)
            if status != 200:
                return False
        return True

    # ---- Commands -----------------------------------------------------------------

    def add_log_line(self, text):
        """Adds a line with the current time to the log of the run."""
        self.record.log.append(f"{self.now():8.3f} {text}")

    def record_violation(self, text):
        """Logs and records a violated guarantee."""
        self.add_log_line(f"VIOLATION {text}")
        self.record.violations.append(text)

    async def start(self):
        """Starts everything and waits until requests of each kind are served."""
        for process in (*self.registries, *self.gateways):
            process.start()
        for searchers in self.searchers.values():
            for searcher in searchers:
                await searcher.start()
        self.operator.version = 1
        await self.operator.publish(1)
        for process in (*self.registries, *self.gateways):
            await self.wait_until_ready(process)
        await self.wait_until_served()
        workers = [*self.callers, self.operator]
        workers += [Prober(soak=self, gateway=gateway) for gateway in self.gateways]
        self.tasks = [asyncio.create_task(worker.run()) for worker in workers]

    async def wait_until_ready(self, process):
        """Waits until a process serves; records a violation after the limit."""
        limit = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit:
            address, path = process.probe
            status, _ = await call(address, "GET", path)
            if status in (200, 404):  # a replica answers 404 for its root path
                return
            await asyncio.sleep(0.05)
        self.record_violation(f"{process.name} did not become ready in time")

    async def wait_until_served(self):
        """Waits until each entry host serves each kind of request."""
        caller = self.readiness_caller
        for gateway in self.gateways:
            for method, path in (("GET", "/all/x"), ("GET", "/read/x")):
                limit = time.monotonic() + SERVED_TIMEOUT_S
                attempt = await caller.send(method, path, gateway)
                while attempt.status != 200 and time.monotonic() < limit:
                    await asyncio.sleep(0.1)
                    attempt = await caller.send(method, path, gateway)
                if attempt.status != 200:
                    self.record_violation(
                        f"{gateway.name} did not serve {path} in time"
                    )

    async def run(self, faults):
        """Injects the faults in concurrent sequences."""
        counts = [
            faults // CONCURRENT_FAULTS + (n < faults % CONCURRENT_FAULTS)
            for n in range(CONCURRENT_FAULTS)
        ]
        await asyncio.gather(*(self._run_faults(count) for count in counts))

    async def _run_faults(self, count):
        for _ in range(count):
            await self.faults.run_one()
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE_S))

    async def stop_and_check(self):
        """Waits for recovery, ends the load and checks the record."""
        self.add_log_line("recovering")
        for process in (*self.registries, *self.gateways):
            if process.has_exited():
                self.record_violation(f"{process.name} has exited unexpectedly")
        await self.wait_until_served()
        self.stopping = True
        await asyncio.gather(*self.tasks)
        await self._read_final_configuration()
        self._check_logs()
        Checks(record=self.record).run_all()

    async def _read_final_configuration(self):
        limit = time.monotonic() + READY_TIMEOUT_S
        path = "/v1/configuration/newest"
        while self.record.final_document is None and time.monotonic() < limit:
            registry = self.random.choice(self.registries)
            status, body = await call(registry.address, "GET", path)
            if status == 200:
                self.record.final_document = json.loads(body)
            else:
                await asyncio.sleep(0.1)

    def _check_logs(self):
        for process in (*self.registries, *self.gateways):
            text = process.log_path.read_text(encoding="utf-8")
            if '"event":"task_failed"' in text or "Traceback" in text:
                self.record_violation(f"{process.name} has logged an internal error")

    def close(self):
        """Ends the processes, searchers and links of this run."""
        for process in (*self.registries, *self.gateways):
            if process.program is not None:
                process.program.close()
        for searchers in self.searchers.values():
            for searcher in searchers:
                if searcher.server is not None:
                    searcher.crash()
        self.network.close()


def summary_lines(record):
    """Returns the summary lines of a run."""
    statuses = Counter(attempt.status for attempt in record.attempts)
    kinds = Counter(item.kind for item in record.fault_periods)
    return [
        f"requests: {len(record.attempts)} {dict(sorted(statuses.items()))}",
        f"runs: {len(record.runs)}, versions: {len(record.acknowledged)}, "
        f"probes: {len(record.probes)}",
        f"faults: {sum(kinds.values())} {dict(sorted(kinds.items()))}",
        f"violations: {len(record.violations)}",
        *(f"  {text}" for text in record.violations[:20]),
    ]


async def run_soak(
    *, seed, faults, gateways, searchers, callers, folder, other_build=""
) -> Record:
    """Runs one seed and returns its record."""
    soak = SoakRun(
        seed=seed,
        gateways=gateways,
        searchers=searchers,
        callers=callers,
        folder=folder,
        other_build=other_build,
    )
    try:
        await soak.start()
        await soak.run(faults)
        await soak.stop_and_check()
    finally:
        soak.close()
    return soak.record


def read_regressions():
    """Returns seed and number of faults of each run in regressions.txt."""
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    fields = [line.split(" ") for line in lines if not line.startswith("#")]
    return [(int(seed), int(faults)) for seed, faults, *_ in fields]


def run_seed(*, seed, faults, story, keep, **sizes) -> bool:
    """Runs one seed and prints its summary; returns whether no violation was found."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        work = run_soak(seed=seed, faults=faults, folder=Path(folder), **sizes)
        record = asyncio.run(work)
        if keep:
            for log in Path(folder).glob("*.log"):
                shutil.copy(log, keep)
    print(f"seed: {seed}, faults: {faults}")
    print(
        "\n".join([*(record.log if story else []), *summary_lines(record)]), flush=True
    )
    return not record.violations


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--faults", default=10, show_default=True, help="Number of faults.")
@click.option("--gateways", default=3, show_default=True)
@click.option(
    "--searchers", default=3, show_default=True, help="Searchers of each service."
)
@click.option("--callers", default=8, show_default=True)
@click.option(
    "--story",
    is_flag=True,
    help="Print the log of the run, with the time of each fault.",
)
@click.option("--keep", default="", help="Folder to which the logs are copied.")
@click.option(
    "--other-build",
    default="",
    help="Checkout of another release, which replaces processes as one more fault.",
)
@click.option("--regressions", is_flag=True, help="Run the seeds in regressions.txt.")
def main(seed, faults, story, keep, regressions, **sizes):
    """Run the faults of one seed, or of all seeds in regressions.txt."""
    runs = read_regressions() if regressions else [(seed, faults)]
    passed = [
        run_seed(seed=seed, faults=faults, story=story, keep=keep, **sizes)
        for seed, faults in runs
    ]
    raise SystemExit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
