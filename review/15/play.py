"""A version raises the limit of request heads; clients keep their connections."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins3"))

from case import run_case
from searchers import Searcher
from small_site import LIMITS, ZONES, Connection, configuration, request, route, service

CONNECTIONS = 40
OLD_BYTES, NEW_BYTES = 16384, 32768
HEAD_BYTES = 20000  # within the new limit
APPLIED_S = 4.0  # after the acknowledgement; configApplyMs is 3 s


def long_request(name):
    """Returns a request with a head that only the new version allows."""
    short = request("GET", "/goka902/2f", name)
    pad = "y" * (HEAD_BYTES - len(short) - len("X-Pad: \r\n"))
    return request("GET", "/goka902/2f", name, headers=[f"X-Pad: {pad}"])


async def play(site, trouble):
    """Plays the day; returns why the rule is broken, or nothing."""
    site.start()
    routes = [route("r-card", "/goka902/", service="kafi81c")]
    services = [service("kafi81c", 110)]
    first = {"maxHeaderBytes": OLD_BYTES if trouble else NEW_BYTES}
    await site.put(configuration(7, routes, services, first))
    searchers = [
        Searcher(site, number=100 + n, service="kafi81c", zone=ZONES[n])
        for n in range(3)
    ]
    for searcher in searchers:
        await searcher.start()
    await site.until_ready()
    await asyncio.sleep(2.0)
    kept = []
    for number in range(CONNECTIONS):
        connection = Connection(site.front(number % len(site.fronts)))
        kept.append(await connection.open())
        await connection.ask(request("GET", "/goka902/2f", f"first-{number}"), 6.0)
    if trouble:
        raised = {"maxHeaderBytes": NEW_BYTES}
        await site.put(configuration(9, routes, services, raised))
    sent_at = time.monotonic()
    await asyncio.sleep(APPLIED_S)
    idle_s = time.monotonic() - sent_at
    if idle_s > 0.8 * LIMITS["idleTimeoutMs"] / 1000:
        return ""  # too late to use the connections
    ended = {}
    for number, connection in enumerate(kept):
        name = f"long-{number}"
        reply = await connection.ask(long_request(name), 6.0)
        ended[name] = reply.status
        site.note(event="kept", request=name, status=reply.status, why=reply.why)
        connection.close()
    fresh = await Connection(site.front(0)).open()
    reply = await fresh.ask(long_request("long-new"), 6.0)
    fresh.close()
    site.note(event="new connection", status=reply.status)
    arrived = {a.request_id for s in searchers for a in s.arrivals}
    refused = [n for n, status in ended.items() if status != 200 and n not in arrived]
    site.note(event="day", kept=len(ended), closed=len(refused), new=reply.status)
    if refused and reply.status == 200:
        return (
            f"{len(refused)} of {len(ended)} requests on kept connections ended "
            f"without an answer, {idle_s:.1f} s after the acknowledgement; the same "
            "request is served on a new connection"
        )
    return ""


if __name__ == "__main__":
    run_case(__file__, play, cores=3, fronts=2)
