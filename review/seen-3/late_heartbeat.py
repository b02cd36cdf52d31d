"""A searcher leaves before its first heartbeat, which is late, has arrived.

Run from this folder; needs target/deps. Prints how many requests reached the searcher
later than drainMs after its departure was acknowledged.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins3"))

from searchers import Searcher, answer
from small_site import ZONES, Connection, Site, configuration, request, route, service

LATE_S = 2.0  # "A heartbeat may arrive seconds late."
LEAVES_AFTER_S = 0.5  # within the second that a call may take
DRAIN_S = 3.0
DAY_S = 12.0


async def work(arrival):
    """Answers after the usual time of work."""
    await asyncio.sleep(0.1)
    return answer(arrival)


async def client(site, number, until):
    """Sends one request after the other."""
    while time.monotonic() < until:
        connection = Connection(site.front(number % len(site.fronts)))
        await connection.open()
        name = f"{number}-{time.monotonic()}"
        await connection.ask(request("GET", "/goka902/2f", name), 6.5)
        connection.close()


async def play(site):
    """Plays the day; returns the times of requests at the searcher that has left."""
    site.start()
    routes = [route("r-card", "/goka902/", service="kafi81c")]
    await site.put(configuration(7, routes, [service("kafi81c", 110)]))
    searchers = [
        Searcher(site, number=100 + n, service="kafi81c", zone=ZONES[n], work=work)
        for n in range(3)
    ]
    for searcher in searchers[:2]:
        await searcher.start()
    await site.until_ready()
    await asyncio.sleep(2.0)
    until = time.monotonic() + DAY_S
    clients = [asyncio.create_task(client(site, n, until)) for n in range(16)]
    leaving = searchers[2]
    leaving.zone = ZONES[0]
    await leaving.start()
    leaving.beating.cancel()  # its first heartbeat is on its way
    await asyncio.sleep(LEAVES_AFTER_S)
    if not await leaving.leave():
        raise SystemExit("the departure was not acknowledged")
    left_at = leaving.acknowledged_at
    await asyncio.sleep(LATE_S - LEAVES_AFTER_S)
    path = f"/api/instances/{leaving.searcher_id}/heartbeat"
    body = json.dumps(leaving.announcement()).encode()
    reply = await site.call(site.control(1), "POST", path, body)
    print("late heartbeat:", reply.status)
    await asyncio.gather(*clients)
    return [arrival.at - left_at for arrival in leaving.arrivals]


async def main():
    """Plays the day and ends the programs."""
    site = Site(cores=3, fronts=2)
    try:
        times = await play(site)
    finally:
        site.stop()
    late = [at for at in times if at > DRAIN_S]
    last = max(times, default=0.0)
    print(
        f"{len(times)} requests, {len(late)} later than {DRAIN_S} s, last {last:.1f} s"
    )


if __name__ == "__main__":
    asyncio.run(main())
