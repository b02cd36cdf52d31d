"""Addresses, requests and waits of the demo programs."""

import contextlib
import json
import socket
import time
import urllib.error
import urllib.request

START_LIMIT_S = 20
FIRST_PORT, LAST_PORT = 20_000, 30_000  # below the ephemeral ports
_single_ports = iter(range(LAST_PORT, LAST_PORT + 2000))


class DemoFailedError(Exception):
    """A step of the demo failed."""


def free_address():
    """Returns a loopback address with a free port that was not returned before.

    Ports that the kernel assigns to outgoing connections are not used, since one
    could be taken before its use.
    """
    for port in _single_ports:
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise DemoFailedError("no free port")


def free_ports(count, taken):
    """Returns the first of ``count`` consecutive free ports; adds it to ``taken``."""
    for first in range(FIRST_PORT, LAST_PORT, count):
        if first in taken:
            continue
        with contextlib.ExitStack() as probes:
            try:
                for port in range(first, first + count):
                    probes.enter_context(socket.socket()).bind(("127.0.0.1", port))
            except OSError:
                continue
            taken.add(first)
            return first
    raise DemoFailedError(f"no {count} consecutive free ports")


def fetch(address, path, body=None):
    """Sends a request; returns status and decoded body, status 0 without a reply."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.status, json.loads(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())
    except OSError as error:
        return 0, {"error": str(error)}


def wait_for(condition, what):
    """Polls until ``condition`` returns a true value, and returns it."""
    limit = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise DemoFailedError(f"not reached within {START_LIMIT_S} s: {what}")
