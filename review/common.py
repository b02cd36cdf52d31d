"""What the scripts of the review share: processes, an operator and the record.

The programs are started with the commands of the deploy file. Each machine has a
loopback address of its own, and the ports are the same on all machines.
"""

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONTROL_PORT, FRONT_PORT, READY_PORT, FIRST_PORT = 8224, 8226, 8227, 7740
METRICS_PORT = 9464
SEARCHER_PORT = 8080
# The bounds of the site file that claim.txt names.
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
    "retrySlack": 56,
    "recoveryS": 12,
}
RESTART_DELAY_S = 0.3  # of the platform
CALL_TIMEOUT_S = 1.0


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self.path = Path(folder) / "record.txt"
        self.path.write_text("")

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, text):
        """Writes a line to the record and to standard output."""
        line = f"{self.now():8.3f} {text}"
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")
        print(line, flush=True)


class Machine:
    """One machine with one program of the deploy file."""

    def __init__(self, deployment, *, name, role, ip, zone):
        self.deployment = deployment
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process = None

    @property
    def control(self):
        """The address at which it serves control."""
        return f"{self.ip}:{CONTROL_PORT}"

    def write_settings(self, *, seeds, bootstrap):
        """Writes the settings file of DEPLOY.md."""
        listen = {"control": self.control}
        limits = {"cpuShare": 0.645, "cores": 1, "memoryMb": 296, "diskMb": 128}
        if self.role == "front":
            listen = {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            }
            limits = {"cpuShare": 1.07, "cores": 1, "memoryMb": 300, "diskMb": 0}
        zones = sorted({m.zone for m in self.deployment.machines} | {self.zone})
        fields = {
            "node": self.name,
            "role": {"core": "control", "front": "entry"}[self.role],
            "machineClass": self.role,
            "serves": ["control" if self.role == "core" else "front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "kogi-basin",
            "internalPorts": [FIRST_PORT, FIRST_PORT + 15],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "inFaultBudget": self.role == "core",
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "scatter",
            ],
            "config_mode": "highest",
        }
        if self.role == "core":
            self.data.mkdir(exist_ok=True)
            fields["dataDir"] = str(self.data)
        tables = {
            "zones": {zone: "kogi-basin" for zone in zones},
            "listen": listen,
            "limits": {**limits, "maxFds": 4096, "linkMbps": 1000.0},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        (self.folder / "local.toml").write_text("\n".join(lines) + "\n")

    def start(self):
        """Starts the program with the command of the deploy file."""
        program = {"core": "platform/core.py", "front": "platform/front.py"}[self.role]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PLANTAINSTAGE_BOOT"] = str(self.folder / "local.toml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", program],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def lose_disk(self):
        """Kills the process and empties the data folder, as with a lost disk."""
        self.kill()
        shutil.rmtree(self.data, ignore_errors=True)
        self.data.mkdir()

    def port(self):
        """Returns the port that shows that the program serves."""
        return CONTROL_PORT if self.role == "core" else READY_PORT

    def wait_listening(self, *, within_s=30.0):
        """Waits until the program listens."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                socket.create_connection((self.ip, self.port()), 0.2).close()
                return
            time.sleep(0.02)
        raise CannotRunError(f"{self.name} does not listen after {within_s} s")

    def log_events(self):
        """Returns the lines of the log as objects."""
        events = []
        for line in (self.folder / "log").read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events


class Deployment:
    """All machines of a case, in a temporary folder, on loopback addresses."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = self._free_net()
        self.machines = []
        self.searchers = {}
        self.journal = self.folder / "searchers"

    def _free_net(self):
        """Returns the first two bytes after 127 of addresses that nobody uses."""
        source = random.SystemRandom()
        for _ in range(50):
            net = f"127.{source.randrange(1, 255)}.{source.randrange(1, 255)}"
            with contextlib.suppress(OSError):
                for number in range(1, 40):
                    for port in (CONTROL_PORT, FRONT_PORT, FIRST_PORT, METRICS_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{number}", port))
                return net
        raise CannotRunError("no free loopback addresses")

    def add(self, *, name, role, number, zone):
        """Adds a machine with an address of its own."""
        ip = f"{self.net}.{number}"
        machine = Machine(self, name=name, role=role, ip=ip, zone=zone)
        self.machines.append(machine)
        return machine

    def start_searcher(self, *, name, service, address, control, zone, crash_path=""):
        """Starts a stand-in searcher as a process of its own."""
        words = ["--id", name, "--service", service, "--address", address]
        words += ["--zone", zone, "--control", ",".join(control)]
        words += ["--journal", str(self.journal), "--crash-path", crash_path]
        program = str(ROOT / "review" / "searcher.py")
        self.searchers[name] = subprocess.Popen(["python3", program, *words])

    def journal_lines(self):
        """Returns what the searchers have noted."""
        return self.journal.read_text().splitlines() if self.journal.exists() else []

    def close(self):
        """Ends all processes and removes the folder."""
        for machine in self.machines:
            machine.kill()
        for process in self.searchers.values():
            process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def http_call(address, method, path, *, body=b"", headers=(), timeout_s=CALL_TIMEOUT_S):
    """Returns (status, headers, body), or None without a whole answer in time."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    given = dict(headers)
    given.setdefault("Host", address)
    if body or method != "GET":
        given["Content-Length"] = str(len(body))
    given["Connection"] = "close"
    lines += [f"{name}: {value}" for name, value in given.items()]
    request = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    until = time.monotonic() + timeout_s
    data = b""
    try:
        with socket.create_connection((host, int(port)), timeout_s) as connection:
            connection.sendall(request)
            while True:
                connection.settimeout(max(0.01, until - time.monotonic()))
                part = connection.recv(65536)
                if not part:
                    break
                data += part
    except OSError:
        return None
    head, found, content = data.partition(b"\r\n\r\n")
    if not found:
        return None
    first, *rest = head.decode("latin1").split("\r\n")
    answered = {}
    for line in rest:
        name, _, value = line.partition(":")
        answered[name.strip().lower()] = value.strip()
    length = answered.get("content-length")
    if length is not None and len(content) != int(length):
        return None
    return int(first.split()[1]), answered, content


class Operator:
    """The operator of PROTOCOL.md: any node, two redirects, on to the next node."""

    def __init__(self, record, nodes):
        self.record = record
        self.nodes = nodes
        self.turn = 0

    def call_node(self, machine, method, path, body=b""):
        """Calls one node and follows its redirects; returns the answer or None."""
        address, target = machine.control, path
        answer = None
        for _ in range(3):
            answer = http_call(
                address,
                method,
                target,
                body=body,
                headers={"Content-Type": "application/json"},
            )
            if answer is None or answer[0] != 307:
                return answer
            location = answer[1].get("location", "").removeprefix("http://")
            address, _, rest = location.partition("/")
            target = "/" + rest
        return answer

    def call(self, method, path, body=b"", *, within_s):
        """Calls nodes in turn until one answers 200; returns the answer or None."""
        until = time.monotonic() + within_s
        pause_s = 0.1
        seen = {}
        while time.monotonic() < until:
            machine = self.nodes[self.turn % len(self.nodes)]
            self.turn += 1
            answer = self.call_node(machine, method, path, body)
            outcome = "no answer" if answer is None else str(answer[0])
            seen[outcome] = seen.get(outcome, 0) + 1
            if answer is not None and answer[0] == 200:
                self.record.add(f"operator: {method} {path}: 200 of {machine.name}")
                return answer
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        self.record.add(f"operator: {method} {path}: none in {within_s} s, {seen}")
        return None

    def put(self, configuration, *, within_s):
        """Sends a configuration until it is acknowledged; returns whether it was."""
        body = json.dumps(configuration).encode()
        self.record.add(f"operator: sends version {configuration['version']}")
        path = "/api/config/put"
        return self.call("POST", path, body, within_s=within_s) is not None

    def read(self, *, within_s):
        """Returns the configuration that is read back, or None."""
        answer = self.call("GET", "/api/config/get", within_s=within_s)
        return None if answer is None else json.loads(answer[2])

    def leader(self):
        """Returns the machine to which another one redirects, or None."""
        for machine in self.nodes:
            answer = http_call(machine.control, "GET", "/api/config/get")
            if answer is not None and answer[0] == 307:
                location = answer[1].get("location", "")
                named = [m for m in self.nodes if f"//{m.control}/" in location]
                return named[0] if named else None
        return None

    def follower(self):
        """Returns a machine that redirects to another one, or None."""
        for machine in self.nodes:
            answer = http_call(machine.control, "GET", "/api/config/get")
            if answer is not None and answer[0] == 307:
                return machine
        return None


class Client:
    """Sends requests, each with its own id, and counts how they end."""

    def __init__(self, record):
        self.record = record
        self.outcomes = {}
        self.number = 0

    def send(self, address, path, *, deadline_ms, method="GET", body=b"", wait_s=None):
        """Sends one request; returns its id and the answer, which may be None."""
        self.number += 1
        request_id = f"{os.getpid():08x}{self.number:08x}"
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        answer = http_call(
            address,
            method,
            path,
            body=body,
            headers=headers,
            timeout_s=wait_s or deadline_ms / 1000,
        )
        outcome = "no answer" if answer is None else str(answer[0])
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.record.add(f"client: {method} {path} {request_id} at {address}: {outcome}")
        return request_id, answer


def configuration(version, *, routes=(), services=()):
    """Returns a configuration as PROTOCOL.md shows it."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def service(name, connections=52):
    """Returns a service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": connections,
        "protocol": "h1",
        "tls": False,
    }


def simple_document(version):
    """Returns a valid configuration with one route to one service."""
    route = {
        "name": "r-1",
        "host": "a.example",
        "pathPrefix": "/x/",
        "kind": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 100,
        "priority": 1,
        "service": "s-1",
        "maxAttempts": 2,
    }
    return configuration(version, routes=[route], services=[service("s-1")])


def start_control(deployment):
    """Starts three control machines for the first time; returns them and the seeds."""
    zones = ("upper-canal", "middle-canal", "lower-canal")
    machines = [
        deployment.add(name=f"core-{zone}-1", role="core", number=number, zone=zone)
        for number, zone in enumerate(zones, start=1)
    ]
    seeds = [machine.control for machine in machines]
    for machine in machines:
        machine.write_settings(seeds=seeds, bootstrap=True)
    for machine in machines:
        machine.start()
    return machines, seeds


def lose_disk(record, machine, seeds):
    """The machine loses its disk and is back after the platform's delay."""
    record.add(f"{machine.name} loses its disk")
    machine.lose_disk()
    time.sleep(RESTART_DELAY_S)
    machine.write_settings(seeds=seeds, bootstrap=False)
    machine.start()
    machine.wait_listening()
    record.add(f"{machine.name} is back with an empty disk")


def add_control_logs(record, deployment):
    """Adds what the control programs logged on changes of their group."""
    for machine in deployment.machines:
        put_off = 0
        for event in machine.log_events():
            if event.get("event") == "group_changed":
                change = f"{event['action']} {event['replica']}"
                record.add(f"log of {machine.name}: group_changed, {change}")
            put_off += event.get("event") == "member_step_put_off"
        if put_off:
            record.add(f"log of {machine.name}: member_step_put_off, {put_off} times")


def run_case(folder, play):
    """Runs ``play(record, deployment, trouble)``; it returns whether the rule held."""
    record = Record(folder)
    # So that the processes are ended as well if the script is.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    if not (ROOT / "target" / "deps").is_dir():
        record.add("cannot run: target/deps is missing, run the build first")
        return 2
    trouble = os.environ.get("TROUBLE", "1")
    deployment = None
    try:
        deployment = Deployment(record)
        held = play(record, deployment, trouble)
    except CannotRunError as error:
        record.add(f"cannot run: {error}")
        return 2
    finally:
        if deployment is not None:
            deployment.close()
    record.add("the rule held" if held else "the rule was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(2)
