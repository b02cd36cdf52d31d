"""Many callers at the same time, each with its own query."""

import asyncio
import json
import random
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

TIMEOUT_S = 60
SLOW_EVERY = 10


@dataclass(frozen=True, kw_only=True)
class Exchange:
    """A caller's request and reply; status 599 is a broken connection."""

    request: dict
    status: int
    body: dict


def send_all(requests):
    """Sends (address, request) pairs at once; returns the Exchanges."""

    async def run():
        client = AsyncHTTPClient(force_instance=True, max_clients=1000)
        try:
            return await asyncio.gather(
                *(_send(client, address, request) for address, request in requests)
            )
        finally:
            client.close()

    return asyncio.run(run())


async def _send(client, address, request):
    reply = await client.fetch(
        f"http://{address}/v1/query",
        method="POST",
        body=json.dumps(request),
        raise_error=False,
        connect_timeout=TIMEOUT_S,
        request_timeout=TIMEOUT_S,
    )
    body = json.loads(reply.body) if reply.body else {}
    return Exchange(request=request, status=reply.code, body=body)


def interleaved_requests(addresses, *, count, profile, seed):
    """Returns ``count`` requests whose answers arrive out of order."""
    rng = random.Random(seed)
    requests = []
    for number in range(count):
        query = {"caller": number, "sleep_ms": rng.choice((1, 1, 2, 4, 20))}
        if number % SLOW_EVERY == 0:
            # Exceeds the deadline, so that one partition is missing.
            query = {"caller": number, "sleep_ms": 5000, "only": "rider-desk-01"}
        request = {"profile": profile, "query": query, "request_id": f"call-{number}"}
        requests.append((addresses[number % len(addresses)], request))
    return requests
