"""Runs the whole tier on loopback and demonstrates it; used by ``make run``.

Starts three control replicas, three entry hosts and the stand-in searchers of
both deployments (with fewer partitions), sends requests, shows two client accounts of
routed requests, and stops all programs gracefully. The exit code is 1 when a step of
the demo fails.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from accounts_demo import show_accounts
from demo_support import (
    START_LIMIT_S,
    DemoFailedError,
    fetch,
    free_address,
    free_ports,
    wait_for,
)
from standin.deployments import KOGI, MAURITIUS

ROOT = Path(__file__).resolve().parent.parent
STOP_LIMIT_S = 10
PARTITIONS = 6
REPLICAS = 2
REMOVAL_WATCH_S = 1.0  # how long requests are sent after a searcher was taken out


class Demo:
    """The processes of the demo and their addresses."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.processes = {}
        self.controls = {}
        self.entries = {}
        self.standins = {}
        self.port_ranges = set()

    # ---- Processes -----------------------------------------------------------

    def start(self, name, *arguments):
        """Starts one program; its output goes to a log file."""
        environment = dict(os.environ)
        environment["PYTHONPATH"] = str(ROOT / "src")
        with open(self.folder / f"{name}.log", "wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_all(self):
        """Starts control, entry hosts and searchers, in this order."""
        names = [f"control-{number}" for number in (1, 2, 3)]
        addresses = {name: (free_address(), free_address()) for name in names}
        for name, (listen, peer_listen) in addresses.items():
            peers = [
                part
                for other in names
                if other != name
                for part in ("--peers", f"{other}={','.join(addresses[other])}")
            ]
            self.controls[name] = listen
            self.start(
                name,
                *("-m", "plantainstage._programs.control", "--replica-id", name),
                *("--listen", listen, "--peer-listen", peer_listen, "--bootstrap"),
                *("--data-folder", self.folder / name, *peers),
            )
        flags = [
            part for item in self.controls.values() for part in ("--control", item)
        ]
        for number, data_centre in enumerate(KOGI.data_centres, start=1):
            name = f"entry-{number}"
            self.entries[name] = free_address()
            self.start(
                name,
                *("-m", "plantainstage._programs.entry", "--entry-id", name),
                *("--data-centre", data_centre, "--listen", self.entries[name]),
                *("--forward-listen", free_address(), "--drain-delay", "0.3", *flags),
            )
        for deployment in (KOGI, MAURITIUS):
            self.start_searchers(deployment)

    def start_searchers(self, deployment):
        """Starts the searchers of one deployment in one process."""
        self.standins[deployment.name] = free_address()
        entries = [part for item in self.entries.values() for part in ("--entry", item)]
        self.start(
            f"searchers-{deployment.name}",
            *("examples/standin_searcher.py", "--deployment", deployment.name),
            *("--first-port", free_ports(PARTITIONS * REPLICAS, self.port_ranges)),
            *("--partitions", PARTITIONS, "--replicas", REPLICAS),
            *("--control-listen", self.standins[deployment.name], *entries),
        )

    def stop_all(self):
        """Requests a planned stop of every program; returns the exit codes."""
        codes = {}
        for kind in ("searchers", "entry", "gateway", "control", "registry"):
            group = {
                name: process
                for name, process in self.processes.items()
                if name.startswith(kind)
            }
            for process in group.values():
                process.send_signal(signal.SIGTERM)
            for name, process in group.items():
                try:
                    codes[name] = process.wait(STOP_LIMIT_S)
                except subprocess.TimeoutExpired:
                    codes[name] = "did not stop"
        return codes

    def kill_all(self):
        """Kills the processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    # ---- Control -------------------------------------------------------------

    def ctl(self, *arguments, controls=None):
        """Runs plantainstage-ctl, which waits until a change is in force."""
        addresses = controls or self.controls.values()
        flags = [part for item in addresses for part in ("--control", item)]
        command = [sys.executable, "-m", "plantainstage._programs.ctl"]
        result = subprocess.run(
            [*command, *map(str, arguments), *flags],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT / "src")),
            capture_output=True,
            text=True,
            check=False,
            timeout=START_LIMIT_S,
        )
        name = " ".join(map(str, arguments[:2]))
        output = result.stdout.strip().replace("\n", "\n    ")
        print(f"  ctl {name}: {output}")
        if result.returncode != 0:
            raise DemoFailedError(f"ctl exited with {result.returncode}")

    def publish(self, profile):
        """Publishes a profile."""
        self.ctl(
            *("profile", "publish", profile.name, "--index", profile.index),
            *("--deadline-ms", profile.deadline_ms),
            *("--minimum-coverage", profile.minimum_coverage),
        )

    # ---- Requests ------------------------------------------------------------

    def query(self, entry, body):
        """Sends a request through an entry host and prints the reply."""
        started = time.monotonic()
        status, reply = fetch(self.entries[entry], "/v1/query", body)
        took_ms = (time.monotonic() - started) * 1000
        if status == 200:
            coverage = reply["coverage"]
            print(
                f"  {entry} {reply['profile']}: snapshot {reply['snapshot']}, "
                f"{coverage['documents_answered']} of {coverage['documents_total']} "
                f"documents ({coverage['fraction']:.0%}), {reply['elapsed_ms']:.1f} ms "
                f"({took_ms:.1f} ms at the caller)"
            )
        else:
            print(f"  {entry}: refused with {reply.get('error')}, {reply.get('run')}")
        return status, reply

    def searcher(self, deployment, upstream_id):
        """Returns the record that a stand-in searcher keeps."""
        _, body = fetch(self.standins[deployment.name], "/control/searchers")
        return next(
            item for item in body["searchers"] if item["upstream_id"] == upstream_id
        )


def show_queries(demo):
    """Sends requests of both deployments through all entry hosts."""
    print("Requests of both deployments:")
    for deployment in (KOGI, MAURITIUS):
        for entry in demo.entries:
            body = {"profile": deployment.profiles[0].name, "query": {"from": entry}}
            status, _ = demo.query(entry, body)
            if status != 200:
                raise DemoFailedError("a request was not answered")


def show_removal(demo):
    """Takes a searcher out; its record shows that it receives no further request."""
    name = "rider-desk-01-1"
    print(f"Taking {name} out:")
    demo.ctl("upstream", "out", name)
    before = demo.searcher(KOGI, name)["received"]
    limit = time.monotonic() + REMOVAL_WATCH_S
    sent = 0
    while time.monotonic() < limit:
        for address in demo.entries.values():
            body = {"profile": KOGI.profiles[0].name, "query": sent}
            status, _ = fetch(address, "/v1/query", body)
            sent += status == 200
    after = demo.searcher(KOGI, name)["received"]
    print(f"  {sent} requests later {name} has received {after - before} of them")
    if after != before or not sent:
        raise DemoFailedError(
            "the searcher that was taken out received new sub-requests"
        )
    demo.ctl("upstream", "in", name)


def show_one_execution(demo):
    """Sends a non-idempotent request through two entry hosts; it runs once."""
    print("A non-idempotent request through two entry hosts:")
    request_id = f"{time.time_ns() // 1_000_000}-demo-booking"
    body = {
        "profile": KOGI.profiles[1].name,
        "query": {"book": "turn 7"},
        "request_id": request_id,
        "idempotent": False,
        "partitions": ["rider-desk-02"],
    }
    replies = [demo.query(entry, body) for entry in ("entry-1", "entry-2")]
    address = demo.standins[KOGI.name]
    _, record = fetch(address, f"/control/runs?request_id={request_id}")
    print(f"  executions that the searchers recorded: {len(record['runs'])}")
    if len(record["runs"]) != 1 or replies[0] != replies[1]:
        raise DemoFailedError("the request did not run exactly once")


def show(demo):
    """Starts the tier and runs the steps of the demo."""
    started = time.monotonic()
    print("Starting 3 control replicas, 3 entry hosts and the searchers.")
    demo.start_all()
    for name, address in demo.entries.items():
        wait_for(lambda a=address: fetch(a, "/readyz")[0] == 200, f"{name} is ready")
    print(f"  ready after {time.monotonic() - started:.1f} s")
    print("Publishing the profiles of both deployments:")
    for profile in (*KOGI.profiles, *MAURITIUS.profiles):
        demo.publish(profile)
    for deployment in (KOGI, MAURITIUS):
        body = {"profile": deployment.profiles[1].name, "query": "first"}
        wait_for(
            lambda b=body: all_entries_answer(demo, b),
            "every entry host answers with full coverage",
        )
    show_queries(demo)
    show_removal(demo)
    show_one_execution(demo)
    show_accounts(demo)


def all_entries_answer(demo, body):
    """Whether every entry host answers with full coverage."""
    replies = [fetch(a, "/v1/query", body) for a in demo.entries.values()]
    return all(
        status == 200 and reply["coverage"]["fraction"] == 1.0
        for status, reply in replies
    )


def main():
    """Runs the demo and returns the exit code."""
    sys.stdout.reconfigure(line_buffering=True)
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="plantainstage-demo-") as folder:
        demo = Demo(folder)
        try:
            show(demo)
            print("Stopping all programs gracefully:")
            codes = demo.stop_all()
            print(f"  exit codes: {codes}")
            if any(code != 0 for code in codes.values()):
                raise DemoFailedError("a program did not stop with exit code 0")
        except DemoFailedError as error:
            print(f"failed: {error}")
            for log in sorted(demo.folder.glob("*.log")):
                lines = log.read_text(encoding="utf-8").splitlines()[-3:]
                print(f"--- {log.name}", *lines, sep="\n")
            return 1
        finally:
            demo.kill_all()
    print(f"Done in {time.monotonic() - started:.1f} s.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
