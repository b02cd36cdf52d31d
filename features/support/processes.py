"""Starts programs on loopback and waits for conditions instead of fixed times."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 30
CONDITION_TIMEOUT_S = 60  # limits hangs only; no test checks this bound


# Below the ports that the kernel assigns to outgoing connections (32768 and up on
# Linux), since such a connection could take a port between its choice and its use.
# The first port differs between test runs on the same machine.
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
_ports = itertools.count(os.getpid() * 211)


def free_port():
    """Returns a free loopback port that was not returned before."""
    for number in _ports:
        port = LOWEST_PORT + number % (HIGHEST_PORT - LOWEST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_ports(count):
    """Returns the first of ``count`` consecutive free ports."""
    ports = [free_port()]
    while len(ports) < count:
        port = free_port()
        ports = [*ports, port] if port == ports[-1] + 1 else [port]
    return ports[0]


def free_address():
    """Returns an ``IP:port`` on loopback."""
    return f"127.0.0.1:{free_port()}"


def wait_until(condition, *, what):
    """Polls ``condition`` until it is true; returns its value."""
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not reached within {CONDITION_TIMEOUT_S} s: {what}")


def post_json(address, path, body):
    """Posts a value as JSON, or bytes; returns the status and decoded reply."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(request, timeout=CONDITION_TIMEOUT_S) as reply:
            return reply.status, json.loads(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def get_json(address, path):
    """Returns the decoded JSON body of a GET."""
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=CONDITION_TIMEOUT_S) as reply:
        return json.loads(reply.read())


def get_status(address, path):
    """Returns the HTTP status of a GET, or 0 when nothing listens."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


class Program:
    """A started program that logs to a file."""

    def __init__(self, *, module, arguments, log_path, variables=None):
        source = {"PYTHONPATH": str(ROOT / "src")}
        environment = os.environ | source | (variables or {})
        self.log_path = Path(log_path)
        with open(log_path, "ab") as log:
            self.log_start = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, *module, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal to this process only."""
        self.process.send_signal(number)

    def freeze(self):
        """Suspends the process (SIGSTOP)."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resumes the suspended process (SIGCONT)."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """Kills the process without a planned stop (SIGKILL)."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def stop(self):
        """Requests a planned stop (SIGTERM) and returns the exit code."""
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)

    def close(self):
        """Kills the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(STOP_TIMEOUT_S)

    def has_logged(self):
        """Whether this process has logged; an earlier signal kills it without a stop."""
        return self.log_path.stat().st_size > self.log_start

    def log_lines(self):
        """Returns the JSON lines that the program has logged so far."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]
