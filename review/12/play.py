"""A searcher fails requests that it has run, with a 503 that promises nothing."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins3"))

from case import run_case
from searchers import Searcher, answer
from small_site import ZONES, Connection, configuration, request, route, service

SEARCHERS = 5
FAILING = 1  # of these; a share of 0.14 is less than one
FAILING_PART = 0.45  # of its requests
FAILS_FROM_S, FAILS_FOR_S = 5.0, 6.5
DAY_S = 20.0
CLIENTS = 30
PROMISES = (408, 421, 429, 503)


async def order(site, number, answers):
    """Sends one order; a client asks again after a promise that it has not run."""
    for attempt in range(2):
        connection = Connection(site.front(number % len(site.fronts)))
        await connection.open()
        name = f"order-{number}-{attempt}"
        body = f"order {number}".encode()
        ask = request("POST", "/goka902/2f", name, body=body)
        reply = await connection.ask(ask, 6.5)
        connection.close()
        answers[name] = reply.status
        site.note(event="answered", request=name, status=reply.status)
        if reply.status not in PROMISES:
            return
        await asyncio.sleep(float(reply.headers.get("retry-after", 0.1)))


async def client(site, numbers, until, answers):
    """Sends one order after the other."""
    while time.monotonic() < until:
        await order(site, next(numbers), answers)
        await asyncio.sleep(0.05)


def failing_work(site, searcher):
    """Returns the work of a searcher that fails a part of the requests it has run."""

    async def work(arrival):
        await asyncio.sleep(0.02)
        if site.random.random() < FAILING_PART:
            return answer(arrival, status="503 Service Unavailable", body=b"")
        return answer(arrival)

    searcher.work = work


async def play(site, trouble):
    """Plays the day; returns why the rule is broken, or nothing."""
    site.start()
    routes = [route("r-order", "/goka902/", kind="unsafe", service="kafi81c")]
    await site.put(configuration(7, routes, [service("kafi81c", 110)]))
    searchers = [
        Searcher(site, number=100 + n, service="kafi81c", zone=ZONES[n % 3])
        for n in range(SEARCHERS)
    ]
    for searcher in searchers:
        await searcher.start()
    await site.until_ready()
    await asyncio.sleep(2.0)
    answers = {}
    numbers = iter(range(10**6))
    until = time.monotonic() + DAY_S
    clients = [
        asyncio.create_task(client(site, numbers, until, answers))
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(FAILS_FROM_S)
    if trouble:
        for searcher in searchers[:FAILING]:
            failing_work(site, searcher)
            site.note(event="fails requests", searcher=searcher.searcher_id)
    await asyncio.sleep(FAILS_FOR_S)
    for searcher in searchers[:FAILING]:
        searcher.work = searcher.usual_work
    await asyncio.gather(*clients)
    ran = [a for searcher in searchers for a in searcher.arrivals if a.run]
    for arrival in ran:
        site.note(event="ran", request=arrival.request_id, searcher=arrival.searcher)
    promised = [a for a in ran if answers.get(a.request_id) in PROMISES]
    orders = [arrival.body for arrival in ran]
    twice = len(orders) - len(set(orders))
    site.note(event="day", ran=len(ran), promised_and_ran=len(promised), twice=twice)
    if not promised:
        return ""
    return (
        f"{len(promised)} of {len(ran)} requests that ran were answered with a "
        f"promise that they had not, as {promised[0].request_id} with "
        f"{answers[promised[0].request_id]}; {twice} orders ran twice"
    )


if __name__ == "__main__":
    run_case(__file__, play, cores=3, fronts=2)
