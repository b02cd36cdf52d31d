"""What the scripts of the cases have in common: the record and the exit code."""

import asyncio
import os
import signal
import sys
import time
import traceback

from .deployment import CannotRun, Deployment
from .http import Operator
from .searchers import Searcher

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of ``record.txt``, with the time since the start of the run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.began_at = time.monotonic()

    def write(self, text, at=None):
        """Writes a line, by default with the time of this moment."""
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.began_at:8.3f} {text}\n")
        self.file.flush()


async def _run(case, limit_s):
    """Runs the case; SIGTERM cancels it, so that it ends what it has started."""
    task = asyncio.ensure_future(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, limit_s)


def run_case(main, *, folder, limit_s=115.0):
    """Runs ``main(record, trouble)`` and exits with 0 if it returns whether it held.

    It exits with 1 if the rule was broken and with 2 if the case could not run.
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    try:
        held = asyncio.run(_run(main(record, trouble), limit_s))
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    except Exception:
        record.write("could not run: " + traceback.format_exc())
        sys.exit(NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)


def configuration(version, *, routes, services, limits=None):
    """Returns a configuration of the operator; ``limits`` replaces single limits."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 60,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **(limits or {}),
        },
    }


def route(name, *, host, prefix, timeout_ms=4000, kind="safe", attempts=2, **target):
    """Returns a route; ``target`` has the service, or the shards and what they need."""
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": attempts,
        **target,
    }


class Setting:
    """A deployment with its operator and searchers; ``async with`` ends all of it."""

    def __init__(self, record, **machines):
        self.record = record
        self.deployment = Deployment(**machines)
        self.searchers = []
        self.runs = []  # of all searchers
        self.operator = Operator(controls=self.controls)

    @property
    def controls(self):
        """The addresses of all machines that serve control."""
        return [core.control for core in self.deployment.cores]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        for searcher in self.searchers:
            searcher.stop()
        self.deployment.stop()

    async def begin(self, first):
        """Starts the machines and sends the first configuration."""
        self.deployment.start()
        answer = await self.operator.put(first, timeout_s=40.0)
        if answer.status != 200:
            raise CannotRun(f"the first configuration got {answer.status}")
        self.record.write(f"version {first['version']} is acknowledged")

    async def add_searchers(self, service, count, *, zone="zone-a", **options):
        """Starts searchers of a service."""
        for _ in range(count):
            searcher = Searcher(
                service=service,
                zone=zone,
                ip=self.deployment.address(),
                controls=self.controls,
                record=self.runs,
                **options,
            )
            await searcher.start()
            self.searchers.append(searcher)

    async def settle(self):
        """Waits until the fronts are ready and know the searchers."""
        await self.deployment.wait_ready()
        await asyncio.sleep(4.0)  # stableWindowMs

    async def put(self, changed) -> float:
        """Sends a configuration; returns when it was acknowledged."""
        answer = await self.operator.put(changed)
        if answer.status != 200:
            raise CannotRun(f"version {changed['version']} got {answer.status}")
        self.record.write(f"version {changed['version']} is acknowledged")
        return time.monotonic()
