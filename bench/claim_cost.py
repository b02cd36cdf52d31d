"""Measures what a claim adds to a non-idempotent request.

Three control replicas run as processes with data folders on this machine. An
operation is one exchange with a stand-in searcher that takes 3 ms; with a claim
it waits for ``ClaimRequest`` before the exchange and sends ``CompleteClaim``
after it. Each claim is sent in its own message ("single") or in batches, as an
entry host sends them ("batched"). Latency is measured up to the end of the
exchange; throughput includes the completion. Prints JSON lines: one for each mode
and concurrency, then a comparison with the run without claims. For example::

    python bench/claim_cost.py --concurrency 1,16,64 --operations 600
"""

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from plantainstage._entry.claim_batches import ClaimBatches
from plantainstage._transport.rpc import ControlClient
from plantainstage.messages import control

ROOT = Path(__file__).resolve().parent.parent
REPLICAS = 3
SERVICE_S = 0.003
CALL_TIMEOUT_S = 30.0
DEADLINE_MS = 10_000
CONTROL = (sys.executable, "-m", "plantainstage._programs.control")


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """Latency and throughput of one mode."""

    mode: str
    concurrency: int
    operations: int
    p50_ms: float
    p99_ms: float
    operations_per_s: float


class ClaimOverhead(msgspec.Struct, frozen=True, kw_only=True):
    """Overhead of claims, compared with the run without them."""

    mode: str
    concurrency: int
    added_p50_ms: float
    added_p99_ms: float
    throughput_ratio: float


def free_address():
    """Returns an ``IP:port`` on loopback that was free when probed."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@dataclass(frozen=True, kw_only=True)
class ControlGroup:
    """Running control replicas, by their ids, and their client addresses."""

    addresses: tuple[str, ...]
    processes: dict[str, subprocess.Popen]


@contextlib.contextmanager
def control_processes():
    """Yields a ControlGroup of three replicas and stops them afterwards."""
    names = [f"control-{number}" for number in range(1, REPLICAS + 1)]
    addresses = {name: (free_address(), free_address()) for name in names}
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    processes = {}
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        for name in names:
            client, peer = addresses[name]
            peers = [
                part
                for other in names
                if other != name
                for part in ("--peers", f"{other}={','.join(addresses[other])}")
            ]
            process = subprocess.Popen(
                [
                    *(*CONTROL, "--replica-id", name, "--listen", client),
                    *("--peer-listen", peer, "--data-folder", f"{folder}/{name}"),
                    *("--log-level", "ERROR", "--bootstrap", *peers),
                ],
                env=environment,
            )
            processes[name] = process
            stack.callback(end_process, process)
        yield ControlGroup(
            addresses=tuple(client for client, _ in addresses.values()),
            processes=processes,
        )


def end_process(process):
    """Terminates a process; kills it if it does not exit within 10 s."""
    process.terminate()
    try:
        process.wait(10)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


async def serve_searcher(reader, writer):
    """Answers each line after the service time."""
    try:
        while await reader.readline():
            await asyncio.sleep(SERVICE_S)
            writer.write(b"done\n")
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


@dataclass(frozen=True, kw_only=True)
class Operation:
    """A request, which is claimed through ``client`` unless that is None."""

    mode: str
    client: ControlClient | ClaimBatches | None
    port: int

    async def worker(self, count, latencies):
        """Runs ``count`` operations sequentially."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for _ in range(count):
            started = time.perf_counter()
            claim = await self._claim() if self.client else None
            writer.write(b"book\n")
            await writer.drain()
            await reader.readline()
            latencies.append((time.perf_counter() - started) * 1000)
            if claim is not None:
                await self._complete(*claim)
        writer.close()

    async def _claim(self):
        request_id = f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}"
        reply = await self.client.call(
            control.ClaimRequest(
                request_id=request_id,
                nonce=uuid.uuid4().hex,
                digest=request_id,
                entry_id="bench",
                incarnation="bench",
                deadline_ms=DEADLINE_MS,
            ),
            timeout_s=CALL_TIMEOUT_S,
        )
        if not isinstance(reply, control.ClaimGranted):
            raise click.ClickException(f"claim not granted: {reply}")
        return request_id, reply.attempt

    async def _complete(self, request_id, attempt):
        outcome = control.ClaimOutcome(
            kind=control.ClaimOutcomeKind.ANSWERED, body=b"{}" * 100
        )
        await self.client.call(
            control.CompleteClaim(
                request_id=request_id, attempt=attempt, outcome=outcome
            ),
            timeout_s=CALL_TIMEOUT_S,
        )


async def measure(operation, *, concurrency, operations):
    """Returns the Measures of one mode."""
    latencies = []
    started = time.perf_counter()
    each = max(1, operations // concurrency)
    async with asyncio.TaskGroup() as group:
        for _ in range(concurrency):
            group.create_task(operation.worker(each, latencies))
    elapsed = time.perf_counter() - started
    latencies.sort()
    return Measures(
        mode=operation.mode,
        concurrency=concurrency,
        operations=len(latencies),
        p50_ms=round(latencies[len(latencies) // 2], 3),
        p99_ms=round(latencies[int(len(latencies) * 0.99)], 3),
        operations_per_s=round(len(latencies) / elapsed, 1),
    )


async def run(addresses, levels, operations):
    """Measures each mode at each level of concurrency."""
    server = await asyncio.start_server(serve_searcher, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = ControlClient(addresses=addresses)
    try:
        await client.call(control.QueryNextNumber(), timeout_s=CALL_TIMEOUT_S)
        for concurrency in levels:
            baseline = None
            for mode, claim_client in (
                ("no_claim", None),
                ("single", client),
                ("batched", ClaimBatches(client=client)),
            ):
                measures = await measure(
                    Operation(mode=mode, client=claim_client, port=port),
                    concurrency=concurrency,
                    operations=operations,
                )
                print_line(measures)
                baseline = baseline or measures
                if claim_client is not None:
                    print_line(compare(baseline, measures))
    finally:
        client.close()
        server.close()


def compare(baseline, with_claim):
    """Returns the ClaimOverhead of a run."""
    return ClaimOverhead(
        mode=with_claim.mode,
        concurrency=baseline.concurrency,
        added_p50_ms=round(with_claim.p50_ms - baseline.p50_ms, 3),
        added_p99_ms=round(with_claim.p99_ms - baseline.p99_ms, 3),
        throughput_ratio=round(
            with_claim.operations_per_s / baseline.operations_per_s, 3
        ),
    )


def print_line(value):
    """Prints one JSON line."""
    click.echo(msgspec.json.encode(value).decode())


def main(full=False):
    """Measures at three levels of concurrency."""
    measure_levels([1, 16, 64], operations=3000 if full else 300)


def measure_levels(levels, *, operations):
    """Starts a control group and measures each mode on it."""
    with control_processes() as group:
        asyncio.run(run(group.addresses, levels, operations))


@click.command()
@click.option("--concurrency", default="1,16,64", show_default=True)
@click.option("--operations", default=600, show_default=True, help="For each mode.")
def command(concurrency, operations):
    """Measure the cost of claims."""
    levels = [int(part) for part in concurrency.split(",")]
    measure_levels(levels, operations=operations)


if __name__ == "__main__":
    command()
