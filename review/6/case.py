"""A control machine that is killed while it joins never joins any more."""

import asyncio
import os
import shutil
import signal
import time
from pathlib import Path

from stand_ins2.case import Setting, configuration, route, run_case

FOLDER = Path(__file__).resolve().parent
HOST = "hufi27.example"
EMPTY_FOR_S = 0.9  # the machine that loses its disk is away for so long
# After its start with an empty disk; with TROUBLE=spaced it has joined by then.
KILL_AFTER_S, KILL_SPACED_S = 1.3, 10.0
KILLED_S = 3.0
REST_S = 10.0  # catchUpS is 4, and stableWindowMs is 4,000
READ_S = 30.0  # recoveryS is 12


def version(number):
    """Returns a version of the configuration."""
    routes = [route(f"r-{number}", host=HOST, prefix="/goka902/", service="a")]
    return configuration(number, routes=routes, services=["a"])


async def lose_disk(machine, away_s):
    """Cuts the power of a machine, which comes back with an empty disk."""
    machine.signal(signal.SIGKILL)
    machine.process.wait()
    shutil.rmtree(machine.folder / "data")
    (machine.folder / "data").mkdir()
    await asyncio.sleep(away_s)
    machine.start()


async def main(record, trouble):
    """Returns whether the newest acknowledged version can be read in the end."""
    spaced = os.environ.get("TROUBLE") == "spaced"
    async with Setting(record, cores=["zone-a"] * 3, fronts=["zone-a"] * 2) as setting:
        await setting.begin(version(1))
        await setting.settle()
        first, second = setting.deployment.cores[2], setting.deployment.cores[0]
        await setting.put(version(2))
        if trouble:
            await lose_disk(first, EMPTY_FOR_S)
            record.write(f"{first.node} is back with an empty disk")
            await asyncio.sleep(KILL_SPACED_S if spaced else KILL_AFTER_S)
            first.signal(signal.SIGKILL)
            first.process.wait()
            record.write(f"{first.node} is killed")
            await asyncio.sleep(KILLED_S)
            first.start()
            record.write(f"{first.node} is back with the disk that it had")
            await asyncio.sleep(REST_S)
        await setting.put(version(3))
        if trouble:
            await lose_disk(second, EMPTY_FOR_S)
            record.write(f"{second.node} is back with an empty disk")
        return await read_back(record, setting, setting.deployment.cores)


async def read_back(record, setting, cores):
    """Returns whether some machine answers with version 3, and records what is seen."""
    until = time.monotonic() + READ_S
    seen = {}
    while time.monotonic() < until:
        for core in cores:
            path = "/api/config/get"
            answer = await setting.operator.call_once(core.control, path)
            if answer.status == 200 and b'"version": 3' in answer.body:
                record.write(f"{core.node} answers with version 3")
                return True
            seen[core.node, answer.status] = seen.get((core.node, answer.status), 0) + 1
        await asyncio.sleep(0.2)
    for (node, status), count in sorted(seen.items()):
        record.write(f"reads at {node} with status {status}: {count}")
    answer = await setting.operator.put(version(4), timeout_s=10.0)
    record.write(f"version 4 in 10 s: {answer.status or 'not acknowledged'}")
    record_group(record, cores)
    return False


def record_group(record, cores):
    """Records the changes of the group that the machines have logged."""
    for core in cores:
        lines = core.log.read_text(encoding="utf-8").splitlines()
        changes = [line for line in lines if '"group_changed"' in line]
        for line in changes[-6:]:
            record.write(f"log of {core.node}: {line[line.index('action') - 1 :]}")


run_case(main, folder=FOLDER)
