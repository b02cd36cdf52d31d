"""One heartbeat whose id can't be read ends requests of clients without an answer."""

import asyncio
import collections
import json
import secrets
import time
from pathlib import Path

from stand_ins2.case import Setting, configuration, route, run_case
from stand_ins2.deployment import CannotRun
from stand_ins2.http import ClientConnection, fetch

FOLDER = Path(__file__).resolve().parent
HOST = "leno12.example"
SHARDS = ["huvo11a", "lohu93e", "daje37f", "ficu72g"]
# Two bytes that are no text in the character set of HTTP headers.
UNREADABLE_ID = "%C4%80%C4%81"
CLIENTS = 12  # of each front
RUN_S = 4.0
ALLOWED = 3  # "more than three times" breaks the rule


async def keep_asking(front, until, attempts):
    """Sends requests on kept connections, one after the other."""
    connection = None
    while time.monotonic() < until:
        if connection is None or not connection.is_open:
            connection = ClientConnection(front.front)
            await connection.open()
        request_id = secrets.token_hex(8)
        answer = await connection.request(
            path="/nono601/x", host=HOST, deadline_ms=2000, request_id=request_id
        )
        attempts.append((request_id, answer))
        await asyncio.sleep(0.002)
    connection.close()


async def main(record, trouble):
    """Returns whether at most three requests ended without an answer."""
    routes = [
        route(
            "r-1",
            host=HOST,
            prefix="/nono601/",
            timeout_ms=2000,
            gather=SHARDS,
            topK=5,
            minCoverage=0.75,
        )
    ]
    async with Setting(record, cores=["zone-a"] * 3, fronts=["zone-a"] * 2) as setting:
        await setting.begin(configuration(1, routes=routes, services=SHARDS))
        for shard in SHARDS:
            await setting.add_searchers(
                shard, 3, work_s=0.02, answer=lambda run: b"0123456789abcdef" * 4
            )
        await setting.settle()
        attempts = []
        until = time.monotonic() + RUN_S
        tasks = [
            asyncio.create_task(keep_asking(front, until, attempts))
            for front in setting.deployment.fronts
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(0.5)
        if trouble:
            await send_unreadable_heartbeat(record, setting)
        await asyncio.gather(*tasks)
        return judge(record, attempts, setting.runs)


async def send_unreadable_heartbeat(record, setting):
    """Sends what another writer sends: only its id is not one of a searcher."""
    message = {
        "service": SHARDS[-1],
        "address": f"{setting.deployment.address()}:8080",
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    answer = await fetch(
        setting.controls[0],
        path=f"/api/instances/{UNREADABLE_ID}/heartbeat",
        method="POST",
        body=json.dumps(message).encode(),
    )
    record.write(f"heartbeat of {UNREADABLE_ID} got {answer.status}")
    if not answer.status:
        raise CannotRun("the heartbeat got no answer")


def judge(record, attempts, runs):
    """Returns whether the rule held, by what clients and searchers saw."""
    ran = collections.Counter(run.request_id for run in runs)
    statuses = collections.Counter(answer.status for _, answer in attempts)
    record.write(f"requests by status, 0 without an answer: {dict(statuses)}")
    lost = [
        (request_id, answer)
        for request_id, answer in attempts
        if not answer.complete and ran[request_id]
    ]
    for request_id, answer in lost[:10]:
        record.write(
            f"{request_id}: run by {ran[request_id]} searchers, connection closed "
            f"after {answer.at - answer.sent_at:.3f} s without an answer"
        )
    record.write(f"{len(lost)} requests passed on and ended without an answer")
    return len(lost) <= ALLOWED


run_case(main, folder=FOLDER)
