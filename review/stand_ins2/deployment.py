"""A small deployment on loopback: the programs that the deploy file names.

Each machine has a loopback address of its own, so that all of them use the same ports,
as on the platform.
"""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = 20  # in a row, below those that the kernel gives to outgoing connections
FIRST_PORTS = range(20_000, 30_000, PORTS)
PROGRAMS = {"front": "platform/front.py", "core": "platform/core.py"}
# As the deployment etain-search has them.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 12000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "recoveryS": 12,
}


class CannotRun(Exception):
    """The case could not be set up, which says nothing of the rule."""


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _first_free_port():
    """Returns the first of ``PORTS`` ports in a row that are free on loopback."""
    choices = random.SystemRandom().sample(FIRST_PORTS, len(FIRST_PORTS))
    for first in choices:
        if all(map(_is_free, range(first, first + PORTS))):
            return first
    raise CannotRun("no free ports")


FRONT_PORT = _first_free_port()
READY_PORT, CONTROL_PORT = FRONT_PORT + 1, FRONT_PORT + 2
INTERNAL_PORTS = (FRONT_PORT + 3, FRONT_PORT + 18)


class Machine:
    """One machine with one program; it can be started again after its end."""

    def __init__(self, *, deployment, kind, number, zone, ip):
        self.deployment = deployment
        self.kind = kind
        self.node = f"{kind}-{zone}-{number}"
        self.zone = zone
        self.ip = ip
        self.folder = deployment.folder / self.node
        (self.folder / "data").mkdir(parents=True)
        self.settings = self.folder / "local.toml"
        self.log = self.folder / "log"
        self.process = None
        self.seeds = None  # other than those of the deployment

    @property
    def front(self):
        """Where clients connect."""
        return (self.ip, FRONT_PORT)

    @property
    def control(self):
        """Where searchers and the operator call, as text."""
        return f"{self.ip}:{CONTROL_PORT}"

    def write_settings(self, *, bootstrap=False):
        """Writes the settings file as the platform does."""
        seeds = self.seeds or self.deployment.seeds
        listed = ",".join(f'"{seed}"' for seed in seeds)
        zones = "\n".join(f'{zone} = "region-1"' for zone in self.deployment.zones)
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        if self.kind == "front":
            listen = (
                f'front = "{self.ip}:{FRONT_PORT}"\nready = "{self.ip}:{READY_PORT}"'
            )
        else:
            listen = f'control = "{self.control}"'
        text = f"""node = "{self.node}"
role = "{self.kind}"
machineClass = "{self.kind}"
serves = ["{"front" if self.kind == "front" else "control"}"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
internalPorts = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]
seeds = [{listed}]
bootstrap = {str(bootstrap).lower()}
inFaultBudget = {str(self.kind == "core").lower()}
discovery = "registry"
entry = "vip"
heartbeatMs = 1200
{f'dataDir = "{self.folder / "data"}"' if self.kind == "core" else ""}
contracts = ["base","drain","config","cost","retry","recover","scatter"]
config_mode = "highest"
[zones]
{zones}
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
"""
        self.settings.write_text(text)

    def start(self, *, bootstrap=False):
        """Starts the program with the command of the deploy file."""
        self.write_settings(bootstrap=bootstrap)
        names = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in names if name in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PLANTAINSTAGE_BOOT"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", PROGRAMS[self.kind]],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.deployment.processes.append(self.process)

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def has_ended(self):
        """Whether the process has ended."""
        return self.process.poll() is not None


class Deployment:
    """Control machines and fronts with settings like those of a small deployment."""

    def __init__(self, *, zones=("zone-a",), cores, fronts):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.processes = []
        self.net = random.SystemRandom().randrange(2, 250)
        self.numbers = iter(range(1, 250))
        self.cores = [self._machine("core", zone) for zone in cores]
        self.fronts = [self._machine("front", zone) for zone in fronts]
        self.seeds = [core.control for core in self.cores[:3]]

    def address(self):
        """Returns a loopback address that nothing in this run uses yet."""
        number = next(self.numbers)
        return f"127.{self.net}.{number}.1"

    def _machine(self, kind, zone):
        number = 1 + sum(1 for _ in self.folder.glob(f"{kind}-{zone}-*"))
        return Machine(
            deployment=self, kind=kind, number=number, zone=zone, ip=self.address()
        )

    def start(self):
        """Starts all machines."""
        for machine in (*self.cores, *self.fronts):
            machine.start(bootstrap=True)

    def stop(self):
        """Ends all processes that were started, by their ids."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, fronts=None, timeout_s=30.0):
        """Waits until the readiness probes of fronts get 200."""
        give_up_at = time.monotonic() + timeout_s
        for front in self.fronts if fronts is None else fronts:
            while not await is_ready(front):
                if time.monotonic() > give_up_at:
                    raise CannotRun(f"{front.node} is not ready")
                await asyncio.sleep(0.1)


async def is_ready(front) -> bool:
    """Whether the readiness probe of a front gets 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(front.ip, READY_PORT)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: probe\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
