"""Random faults on three real control processes, one machine at a time.

``python3 review/seen-3/control_faults.py SEED SECONDS`` prints STUCK if no change is
acknowledged for 30 s while all machines are up.
"""

import asyncio
import contextlib
import json
import random
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins3"))

from small_site import Site, configuration, route, service

KINDS = ("kill", "kill", "wipe", "wipe", "term", "stop", "termwipe")
CATCH_UP_S = 4.3
GRACE_S = 6.0


class Run:
    """One run; ``story`` has the faults with their times."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.site = Site(cores=3, fronts=0)
        self.began_at = time.monotonic()
        self.story = []
        self.acknowledged = 0
        self.last_at = time.monotonic()
        self.acknowledged_once = asyncio.Event()

    def document(self, version):
        """Returns a configuration."""
        routes = [route("r", "/goka902/", service="kafi81c")]
        return configuration(version, routes, [service("kafi81c", 110)])

    async def change(self):
        """Sends one change after the other, each until it is acknowledged."""
        version = number = 0
        while True:
            version += 1
            while not await self.site.try_put(self.document(version), number):
                number += 1
                await asyncio.sleep(0.1)
            self.acknowledged, self.last_at = version, time.monotonic()
            self.acknowledged_once.set()
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def read(self):
        """Reads the configuration and reports one that is older than acknowledged."""
        while True:
            due = self.acknowledged
            node = self.site.control(self.random.randrange(3))
            reply = await self.site.get(node, "/api/config/get")
            if reply.status == 200 and json.loads(reply.body)["version"] < due:
                print("STALE READ", due, self.story[-10:], flush=True)
            await asyncio.sleep(0.1)

    async def disturb(self, core):
        """Disturbs one machine once."""
        kind = self.random.choice(KINDS)
        at = round(time.monotonic() - self.began_at, 2)
        self.story.append((at, core.node, kind))
        if kind == "stop":
            core.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.choice((0.3, 1.2, 3.0, 4.0)))
            core.signal(signal.SIGCONT)
            return
        if kind.startswith("term"):
            core.signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(core.process.wait, GRACE_S)
        core.kill()
        if kind.endswith("wipe"):
            folder = core.settings["dataDir"]
            shutil.rmtree(folder)
            await asyncio.to_thread(Path(folder).mkdir)
        await asyncio.sleep(self.random.choice((0.05, 0.3, 0.9, 2.0)))
        core.start()

    async def play(self, seconds):
        """Plays rows of faults at one machine after the other."""
        self.site.start()
        await self.acknowledged_once.wait()
        await asyncio.sleep(5.0)
        while time.monotonic() - self.began_at < seconds:
            core = self.random.choice(self.site.cores)
            for _ in range(self.random.choice((1, 1, 2, 3, 4))):
                await self.disturb(core)
                await asyncio.sleep(self.random.uniform(0.0, 2.0))
            await asyncio.sleep(CATCH_UP_S)
            if time.monotonic() - self.last_at > 12.0:
                await asyncio.sleep(25.0)
            if time.monotonic() - self.last_at > 30.0:
                print("STUCK", self.story[-14:], flush=True)
                return
        print("held", self.acknowledged, "changes,", len(self.story), "faults")


async def main():
    """Runs one seed."""
    run = Run(int(sys.argv[1]))
    tasks = []
    try:
        tasks = [asyncio.create_task(work()) for work in (run.change, run.read)]
        await run.play(float(sys.argv[2]))
    finally:
        for task in tasks:
            task.cancel()
        run.site.stop()


if __name__ == "__main__":
    asyncio.run(main())
