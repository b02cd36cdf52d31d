"""A small deployment on loopback: the project's programs, an operator and clients.

The programs are started with the commands of ``deploy/system.toml``, each with a
settings file of its own. Searchers are in ``searchers.py``.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("upper-canal", "middle-canal", "lower-canal")
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
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRun(Exception):
    """The case could not be set up, which says nothing of the rule."""


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _free_network(rng):
    """Returns the first three numbers of loopback addresses that nobody uses."""
    for _ in range(100):
        prefix = f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}"
        ports = (7740, 7741, 7742, 8224, 8226, 8227, 9464)
        if all(_is_free(f"{prefix}.{n}", p) for n in (10, 50, 100) for p in ports):
            return prefix
    raise CannotRun("no free loopback network")


class Program:
    """One machine of the deployment with its process, as the platform runs it."""

    def __init__(self, *, node, role, settings, folder):
        self.node = node
        self.run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.run = self.run[role]["run"].split()
        self.settings = settings
        self.boot = folder / f"{node}.toml"
        self.log = folder / f"{node}.log"
        self.process = None

    def write_settings(self):
        """Writes the settings file."""
        lines = [
            f"{name} = {json.dumps(value)}"
            for name, value in self.settings.items()
            if not isinstance(value, dict)
        ]
        for name, table in self.settings.items():
            if isinstance(table, dict):
                lines.append(f"[{name}]")
                lines += [f"{key} = {json.dumps(v)}" for key, v in table.items()]
        self.boot.write_text("\n".join(lines) + "\n")

    def start(self):
        """Starts the process with the command of the deploy file."""
        self.write_settings()
        variables = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME")}
        variables["LANG"] = "C.UTF-8"
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["PLANTAINSTAGE_BOOT"] = str(self.boot)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.run, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def signal(self, number):
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Ends the process at once."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def events(self, name):
        """Returns the lines of the log with this event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if fields.get("event") == name:
                found.append(fields)
        return found


@dataclass
class Reply:
    """What a client got; ``status`` is 0 if the connection ended without an answer."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    why: str = ""


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class Connection:
    """A client's connection to an entry host."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self):
        """Connects within the second that clients allow."""
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port
            )
        return self

    async def ask(self, request: bytes, timeout_s: float) -> Reply:
        """Sends a request and reads its answer."""
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(request)
                line, headers, body = await read_message(self.reader)
                return Reply(int(line.split()[1]), headers, body)
        except TimeoutError:
            return Reply(why="no answer in time")
        except (OSError, EOFError, ValueError) as error:
            return Reply(why=type(error).__name__)

    def close(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()


class Site:
    """The machines, with an operator."""

    def __init__(self, *, cores=3, fronts=2, seed=None, bounds=None):
        self.random = random.Random(seed)
        self.prefix = _free_network(self.random)
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.cores = [self._core(number) for number in range(cores)]
        self.fronts = [self._front(number) for number in range(fronts)]
        self.bounds = {**BOUNDS, **(bounds or {})}
        for program in self.programs:
            program.settings["bounds"] = self.bounds
        self.record_lines = []
        self.began_at = time.monotonic()

    @property
    def programs(self):
        """All programs."""
        return [*self.cores, *self.fronts]

    def address(self, number, port):
        """Returns an address of this site's network."""
        return f"{self.prefix}.{number}:{port}"

    def control(self, number):
        """Returns the control address of a core machine."""
        return self.address(10 + number, 8224)

    def front(self, number):
        """Returns the address for clients of an entry host."""
        return self.address(50 + number, 8226)

    def ready(self, number):
        """Returns the address for readiness probes of an entry host."""
        return self.address(50 + number, 8227)

    def _common(self, node, machine_class, number):
        zone = ZONES[number % len(ZONES)]
        return {
            "node": node,
            "role": machine_class,
            "machineClass": machine_class,
            "zone": zone,
            "region": "kogi-basin",
            "internalPorts": [7740, 7755],
            "seeds": [self.control(n) for n in range(3)],
            "bootstrap": True,
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover", "scatter")
            ],
            "config_mode": "highest",
            "zones": dict.fromkeys(ZONES, "kogi-basin"),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
        }

    def _core(self, number):
        node = f"core-{ZONES[number % 3]}-{number // 3 + 1}"
        data = self.folder / f"data-{number}"
        data.mkdir()
        settings = self._common(node, "core", number) | {
            "ip": f"{self.prefix}.{10 + number}",
            "serves": ["control"],
            "inFaultBudget": True,
            "dataDir": str(data),
            "listen": {"control": self.control(number)},
        }
        return Program(node=node, role="control", settings=settings, folder=self.folder)

    def _front(self, number):
        node = f"front-{ZONES[number % 3]}-{number // 3 + 1}"
        settings = self._common(node, "front", number) | {
            "ip": f"{self.prefix}.{50 + number}",
            "serves": ["front"],
            "inFaultBudget": False,
            "listen": {"front": self.front(number), "ready": self.ready(number)},
        }
        return Program(node=node, role="entry", settings=settings, folder=self.folder)

    # ---- Running ------------------------------------------------------------------

    def note(self, **fields):
        """Adds a line to the record, with the time since the start."""
        fields = {"at_s": round(time.monotonic() - self.began_at, 3), **fields}
        self.record_lines.append(json.dumps(fields))

    def write_record(self, path):
        """Writes the record to a file."""
        Path(path).write_text("\n".join(self.record_lines) + "\n")

    def start(self):
        """Starts all programs; later starts are no first ones."""
        for program in self.programs:
            program.start()
            program.settings["bootstrap"] = False

    def stop(self):
        """Ends all programs and removes their files."""
        for program in self.programs:
            program.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    async def until_ready(self, limit_s=20.0):
        """Waits until all entry hosts report themselves ready."""
        give_up_at = time.monotonic() + limit_s
        for number in range(len(self.fronts)):
            while (await self.get(self.ready(number), "/api/ready")).status != 200:
                if time.monotonic() > give_up_at:
                    raise CannotRun("an entry host is not ready")
                await asyncio.sleep(0.1)

    # ---- Operator -----------------------------------------------------------------

    async def get(self, address, path, timeout_s=1.0):
        """Sends a GET request on a new connection."""
        return await self.call(address, "GET", path, b"", timeout_s)

    async def call(self, address, method, path, body, timeout_s=1.0):
        """Sends a request of the operator or a searcher, with two redirects."""
        for _ in range(3):
            connection = Connection(address)
            try:
                await connection.open()
            except (OSError, TimeoutError):
                return Reply(why="no connection")
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            if body:
                head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            reply = await connection.ask(head.encode() + body, timeout_s)
            connection.close()
            if reply.status != 307:
                return reply
            address = reply.headers["location"].split("/")[2]
        return reply

    async def put(self, configuration, limit_s=20.0, first=0):
        """Sends a configuration until it is acknowledged, as the operator does."""
        give_up_at = time.monotonic() + limit_s
        number = first
        while time.monotonic() < give_up_at:
            if await self.try_put(configuration, number):
                return
            number += 1
            await asyncio.sleep(0.2)
        raise CannotRun("configuration not acknowledged")

    async def try_put(self, configuration, number):
        """Sends a configuration once; returns whether it was acknowledged."""
        body = json.dumps(configuration).encode()
        address = self.control(number % len(self.cores))
        reply = await self.call(address, "POST", "/api/config/put", body)
        version = configuration["version"]
        self.note(event="put", node=address, version=version, status=reply.status)
        if 400 <= reply.status < 500 and reply.status not in (408, 429):
            raise CannotRun(f"configuration refused: {reply.body[:300]}")
        return reply.status == 200


def service(name, connections=31):
    """Returns a service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": connections,
        "protocol": "h1",
        "tls": False,
    }


def route(name, prefix, **fields):
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": "hufi27.example",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 6000,
        "targetLatencyMs": 544,
        "priority": 2,
        "maxAttempts": 2,
        **fields,
    }


def configuration(version, routes, services, limits=None):
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {**LIMITS, **(limits or {})},
    }


def request(method, path, request_id, *, deadline_ms=6000, body=b"", headers=()):
    """Formats a request of a client."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: hufi27.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
