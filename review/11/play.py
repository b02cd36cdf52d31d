"""A control machine's process is killed once while the system starts first."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins3"))

from case import run_case
from searchers import Searcher
from small_site import ZONES, Connection, configuration, request, route, service

KILL_AFTER_S = 0.2  # the process of one control machine, after the first start
RESTART_AFTER_S = 1.0  # the platform starts it again
TRAFFIC_FROM_S = 12.0
DAY_S = 60.0
READ_FOR_S = 6.0  # longer than stableWindowMs


async def send_configuration(site, document, until):
    """Sends the first configuration again and again, as the operator does."""
    number = 0
    while time.monotonic() < until:
        number += 1
        if await site.try_put(document, number):
            return True
        await asyncio.sleep(0.3)
    return False


async def send_requests(site, until):
    """Sends requests from the start of traffic on; returns how each one ended."""
    statuses = []
    while time.monotonic() < until:
        connection = Connection(site.front(len(statuses) % len(site.fronts)))
        try:
            await connection.open()
        except (OSError, TimeoutError):
            statuses.append(0)
            continue
        name = f"c{len(statuses)}"
        reply = await connection.ask(request("GET", "/goka902/2f", name), 6.0)
        connection.close()
        site.note(event="answered", request=name, status=reply.status)
        statuses.append(reply.status)
        await asyncio.sleep(0.2)
    return statuses


async def read_back(site, until):
    """Reads the configuration at each control node until one answers with it."""
    statuses = []
    while time.monotonic() < until:
        for number in range(len(site.cores)):
            reply = await site.get(site.control(number), "/api/config/get")
            statuses.append(reply.status)
            site.note(event="read", node=number, status=reply.status)
            if reply.status == 200:
                return True
        await asyncio.sleep(0.5)
    return False


async def play(site, trouble):
    """Plays the day; returns why the rule is broken, or nothing."""
    began_at = time.monotonic()
    site.start()
    if trouble:
        await asyncio.sleep(KILL_AFTER_S)
        killed = site.random.choice(site.cores)
        killed.kill()
        site.note(event="killed", node=killed.node)
        await asyncio.sleep(RESTART_AFTER_S)
        killed.start()
        site.note(event="started again", node=killed.node, bootstrap=False)
    searchers = [
        Searcher(site, number=100 + n, service="kafi81c", zone=ZONES[n])
        for n in range(3)
    ]
    for searcher in searchers:
        await searcher.start()
    routes = [route("r-ibw6kpq", "/goka902/", service="kafi81c")]
    document = configuration(7, routes, [service("kafi81c", 110)])
    end_at = began_at + DAY_S
    sending = asyncio.create_task(send_configuration(site, document, end_at))
    await asyncio.sleep(max(0.0, began_at + TRAFFIC_FROM_S - time.monotonic()))
    statuses = await send_requests(site, end_at)
    acknowledged = await sending
    came = await read_back(site, time.monotonic() + READ_FOR_S)
    served = sum(status == 200 for status in statuses)
    runs = sum(len(searcher.arrivals) for searcher in searchers)
    site.note(
        event="day",
        acknowledged=acknowledged,
        read_back=came,
        requests=len(statuses),
        served=served,
        runs=runs,
    )
    if came and served:
        return ""
    return (
        f"configuration acknowledged: {acknowledged}, read back: {came}; "
        f"{served} of {len(statuses)} requests served"
    )


if __name__ == "__main__":
    run_case(__file__, play, cores=3, fronts=2)
