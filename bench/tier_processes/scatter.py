"""Baseline: picks a random replica of each partition and waits for all of them.

It uses the same searchers without entry hosts. When a busy searcher refuses, the
partition is retried on a random replica after ``RETRY_S``, which does not count
against the baseline. Each process sends a share of the load, as an entry host does,
and prints the latencies as a JSON list::

    python bench/tier_processes/scatter.py plan.json 0
"""

import asyncio
import json
import random
import sys
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "bench"), str(ROOT / "src"), str(ROOT / "tools")]

from plantainstage._errors import ExchangeError  # noqa: E402
from plantainstage.messages import upstreams  # noqa: E402
from tier_processes.load import Connections  # noqa: E402

PARTITION_TIMEOUT_MS = 2000.0  # far beyond the deadline
RETRY_S = 0.002
SEARCH_PATH = "/v1/search"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters common to all processes of the baseline.

    ``replicas`` holds the addresses of the searchers by partition; ``rate`` is that
    of one process.
    """

    index: str
    replicas: dict[str, list[str]]
    rate: float
    seconds: float
    seed: int


class Scatter:
    """Sends the requests of one process."""

    def __init__(self, plan, number):
        self.plan = plan
        self.number = number
        self.random = random.Random(f"{plan.seed}:scatter:{number}")
        self.connections = {
            address: Connections(address)
            for addresses in plan.replicas.values()
            for address in addresses
        }
        self.elapsed = []

    async def run(self):
        """Sends the load; returns [due time, latency] of each request, in seconds."""
        loop = asyncio.get_running_loop()
        started_at = due_at = loop.time()
        tasks = []
        while True:
            due_at += self.random.expovariate(self.plan.rate)
            if due_at > started_at + self.plan.seconds:
                break
            await asyncio.sleep(max(due_at - loop.time(), 0))
            tasks.append(loop.create_task(self._request(len(tasks), due_at)))
        await asyncio.gather(*tasks)
        return [[due - started_at, elapsed] for due, elapsed in self.elapsed]

    async def _request(self, number, due_at):
        name = f"scatter-{self.number}-{number}"
        await asyncio.gather(
            *(self._partition(name, partition) for partition in self.plan.replicas)
        )
        ended_at = asyncio.get_running_loop().time()
        self.elapsed.append((due_at, ended_at - due_at))

    async def _partition(self, name, partition):
        body = upstreams.SearchBody(
            request_id=name,
            sub_request_id=f"{name}-{partition}",
            index=self.plan.index,
            snapshot="s1",
            partition=partition,
            query=msgspec.Raw(b"{}"),
            remaining_ms=PARTITION_TIMEOUT_MS,
        )
        data = msgspec.json.encode(body)
        limit = asyncio.get_running_loop().time() + PARTITION_TIMEOUT_MS / 1000
        while asyncio.get_running_loop().time() < limit:
            address = self.random.choice(self.plan.replicas[partition])
            try:
                reply = await self.connections[address].post(SEARCH_PATH, data)
            except (ExchangeError, TimeoutError):
                return
            if reply.status != 503:
                return
            await asyncio.sleep(RETRY_S)


if __name__ == "__main__":
    path, process = sys.argv[1:]
    shared = msgspec.json.decode(Path(path).read_bytes(), type=Plan)
    print(json.dumps(asyncio.run(Scatter(shared, int(process)).run())))
