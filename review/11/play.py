"""Another writer announces the searchers' addresses under a service not named here."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins3"))

from case import run_case
from searchers import Searcher
from small_site import ZONES, Connection, configuration, request, route, service

OTHER_AT_S = 5.0  # from the start of traffic
DAY_S = 60.0
KINDS = {"farm-card": "/goka902/", "levy-card": "/rany330/"}


async def send_requests(site, kind, until, statuses):
    """Sends requests of one kind, each on a new connection."""
    while time.monotonic() < until:
        await asyncio.sleep(0.2)
        number = len(statuses)
        connection = Connection(site.front(number % len(site.fronts)))
        await connection.open()
        name = f"{kind}-{number}"
        ask = request("GET", KINDS[kind] + "2f", name)
        reply = await connection.ask(ask, 6.0)
        connection.close()
        statuses.append(reply.status)
        site.note(event="answered", request=name, status=reply.status)


async def announce_as_other(site, searcher):
    """Sends the heartbeat of another writer: its service is not named here."""
    other_id = f"x-{searcher.searcher_id}"
    fields = {
        "service": "nono11z",
        "address": searcher.address,
        "zone": searcher.zone,
        "version": "v1",
        "slots": searcher.slots,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
        "born": searcher.born,
    }
    path = f"/api/instances/{other_id}/heartbeat"
    body = json.dumps(fields).encode()
    reply = await site.call(site.control(0), "POST", path, body)
    site.note(event="other writer", fields=fields, status=reply.status)


async def play(site, trouble):
    """Plays the day; returns why the rule is broken, or nothing."""
    site.start()
    names = {"farm-card": "kafi81c", "levy-card": "kacu10l"}
    routes = [route(f"r-{k}", KINDS[k], service=s) for k, s in names.items()]
    services = [service(name, 110) for name in names.values()]
    await site.put(configuration(7, routes, services))
    searchers = [
        Searcher(site, number=100 + 3 * at + n, service=name, zone=ZONES[n])
        for at, name in enumerate(names.values())
        for n in range(3)
    ]
    for searcher in searchers:
        await searcher.start()
    await site.until_ready()
    await asyncio.sleep(2.0)
    end_at = time.monotonic() + DAY_S
    statuses = {kind: [] for kind in KINDS}
    sending = [
        asyncio.create_task(send_requests(site, kind, end_at, statuses[kind]))
        for kind in KINDS
    ]
    await asyncio.sleep(OTHER_AT_S)
    if trouble:
        for searcher in searchers[:3]:
            await announce_as_other(site, searcher)
    await asyncio.gather(*sending)
    shares = {k: s.count(200) / len(s) for k, s in statuses.items()}
    everything = [status for s in statuses.values() for status in s]
    all_share = everything.count(200) / len(everything)
    last = {k: s[-10:] for k, s in statuses.items()}
    site.note(event="day", served=shares, of_all=all_share, last=last)
    for kind, share in shares.items():
        if share < all_share / 4:
            return f"{kind} served {share:.2f}, all requests {all_share:.2f}; {last}"
    return ""


if __name__ == "__main__":
    run_case(__file__, play, cores=3, fronts=2)
