"""CPU time of the entry hosts for each sub-request.

Starts control, entry hosts and stand-in searchers as separate processes, sends
requests over 27 partitions and divides the entry hosts' process CPU time (all
threads) by the number of sub-requests that the searchers received. ``local``
has one entry host, which owns all searchers. In ``forwarded`` every searcher
belongs to another entry host than the one that receives the requests; the result
is the sum over both hosts. ``--profile`` prints the time of each function; it
includes the overhead of the profiler, so only the shares are meaningful. For
example::

    python bench/entry_cpu.py --seconds 5
    python bench/entry_cpu.py --profile
"""

import asyncio
import json
import os
import pstats
import sys
import tempfile
import threading
import time
from contextlib import ExitStack
from http.client import HTTPConnection
from pathlib import Path

import click
import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from plantainstage._transport.http_connection import HttpConnection
from plantainstage.messages import control
from support.tier import ENTRY, Tier

PARTITIONS = 27
GOAL_US = 150
TIMEOUT_S = 30
BASELINE_EXCHANGES = 5400
PROFILE_LINES = 45
_TICKS = os.sysconf("SC_CLK_TCK")


class Measure(msgspec.Struct, frozen=True, kw_only=True):
    """One case; CPU is in microseconds for each sub-request."""

    case: str
    sub_requests: int
    partitions: int
    requests_per_s: float
    cpu_us: float
    cpu_us_receiving_host: float
    bare_exchange_us: float
    ratio: float
    goal_us: int = GOAL_US


def cpu_seconds(program):
    """Returns the CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{program.process.pid}/stat").read_text().rsplit(")", 1)[1]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / _TICKS


def count_received(tier):
    """Returns the number of sub-requests that the searchers have received."""
    return sum(record["received"] for record in tier.records())


def partitions_of(tier, entry_id):
    """Returns the partitions whose searchers an entry host owns."""
    reply = tier.control_call(control.QueryConfiguration()).configuration
    owned = {item.upstream_id for item in reply.ownerships if item.entry_id == entry_id}
    return sorted(
        {
            partition
            for upstream in reply.upstreams
            if upstream.upstream_id in owned
            for holding in upstream.holdings
            for partition in holding.partitions
        }
    )


def run_load(tier, partitions, callers, seconds):
    """Sends requests back to back from ``callers`` threads; counts answers."""
    limit = time.monotonic() + seconds
    answered = []

    def run():
        query = {"profile": "bench", "query": {"q": "x" * 64}, "partitions": partitions}
        body = json.dumps(query).encode()
        # Callers use the tier through a load balancer with persistent connections.
        connection = HTTPConnection(tier.entry_addresses[0], timeout=TIMEOUT_S)
        while time.monotonic() < limit:
            connection.request("POST", "/v1/query", body)
            reply = connection.getresponse()
            reply.read()
            answered.append(reply.status == 200)
        connection.close()

    threads = [threading.Thread(target=run) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(answered)


def bare_exchanges(tier, count):
    """Returns this process's CPU time for a bare exchange, in microseconds.

    This is the baseline: the same searchers over persistent connections, without
    queues and gathers. It rises with the load of the machine, as the measured CPU
    times do.
    """

    async def run():
        addresses = [record["address"] for record in tier.records()]
        connections = [
            await HttpConnection.open(address=address, timeout_s=TIMEOUT_S)
            for address in addresses
        ]
        body = b"{" + b" " * 300 + b"}"  # refused at once with 400

        async def exchange(connection):
            for _ in range(count // len(connections)):
                await connection.post(path="/v1/search", body=body)

        started = time.process_time()
        await asyncio.gather(*map(exchange, connections))
        spent = time.process_time() - started
        for connection in connections:
            connection.close()
        return spent / (count // len(connections) * len(connections)) * 1e6

    return asyncio.run(run())


def measure(case, hosts, callers, seconds, profile_path):
    """Runs one case and returns its Measure."""
    with ExitStack() as resources:
        tier = Tier(resources)
        tier.start_control()
        names = [f"entry-{number + 1}" for number in range(hosts)]
        module = ENTRY
        if profile_path:
            module = ("-m", "cProfile", "-o", profile_path, *ENTRY)
        for name in names:
            tier.start_entry(name, "--drain-delay", "0", module=module)
            module = ENTRY
        tier.start_searchers(partitions=PARTITIONS, replicas=1)
        tier.wait_until_ready()
        tier.publish(name="bench", deadline_ms=5000)
        tier.wait_until_full("bench")
        partitions = partitions_of(tier, names[-1])
        run_load(tier, partitions, callers, 1.0)
        programs = [tier.programs[name] for name in names]
        cpu_before = [cpu_seconds(program) for program in programs]
        count_before = count_received(tier)
        answered = run_load(tier, partitions, callers, seconds)
        spent = [
            cpu_seconds(program) - before
            for program, before in zip(programs, cpu_before, strict=True)
        ]
        count = count_received(tier) - count_before
        if profile_path:
            programs[0].stop()
        bare_us = bare_exchanges(tier, BASELINE_EXCHANGES)
        cpu_us = sum(spent) / count * 1e6
        return Measure(
            case=case,
            sub_requests=count,
            partitions=len(partitions),
            requests_per_s=answered / seconds,
            cpu_us=round(cpu_us, 1),
            bare_exchange_us=round(bare_us, 1),
            ratio=round(cpu_us / bare_us, 2),
            cpu_us_receiving_host=round(spent[0] / count * 1e6, 1),
        )


@click.command()
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--callers", default=8, show_default=True)
@click.option("--case", "cases", multiple=True, default=("local", "forwarded"))
@click.option("--profile", is_flag=True, help="Profile the receiving host.")
def main(seconds, callers, cases, profile):
    """Measure the CPU time of entry hosts for each sub-request."""
    for case in cases:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "profile") if profile else ""
            hosts = 1 if case == "local" else 2
            result = measure(case, hosts, callers, seconds, path)
            print(msgspec.json.encode(result).decode(), flush=True)
            if profile:
                stats = pstats.Stats(path).strip_dirs()
                stats.sort_stats("tottime").print_stats(PROFILE_LINES)


if __name__ == "__main__":
    main()
