"""Measures the memory of control replicas that keep answers up to their limit.

Three control replicas run as processes with data folders. Non-idempotent requests
are claimed and answered until the recorded answers exceed the limit several times,
which involves many snapshots. Prints a JSON line for each replica: its peak
resident memory before and after, and the share of the target (128 MB). For
example::

    python bench/claim_memory.py --answers-mib 64 --answer-kib 64
"""

import asyncio
import time
import uuid
from pathlib import Path

import click
import msgspec

from claim_cost import CALL_TIMEOUT_S, DEADLINE_MS, control_processes, print_line
from plantainstage._entry.claim_batches import ClaimBatches
from plantainstage._transport.rpc import ControlClient
from plantainstage.messages import control

TARGET_MB = 128.0  # docs/design.md, section 1.4
CONCURRENCY = 16


class Memory(msgspec.Struct, frozen=True, kw_only=True):
    """Peak resident memory of one replica, in MB (1,000,000 bytes)."""

    replica: str
    answers_mib: int
    answer_kib: int
    peak_before_mb: float
    peak_mb: float
    share_of_target: float


def peak_mb(process):
    """Returns the peak resident memory of a process (VmHWM)."""
    status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024 / 1e6


async def record_answer(batches, body):
    """Claims one request and records its answer."""
    request_id = f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}"
    claim = control.ClaimRequest(
        request_id=request_id,
        nonce=uuid.uuid4().hex,
        digest=request_id,
        entry_id="bench",
        incarnation="bench",
        deadline_ms=DEADLINE_MS,
    )
    granted = await batches.call(claim, timeout_s=CALL_TIMEOUT_S)
    outcome = control.ClaimOutcome(kind=control.ClaimOutcomeKind.ANSWERED, body=body)
    await batches.call(
        control.CompleteClaim(
            request_id=request_id, attempt=granted.attempt, outcome=outcome
        ),
        timeout_s=CALL_TIMEOUT_S,
    )


async def record_answers(addresses, count, size):
    """Records ``count`` answers of ``size`` bytes."""
    client = ControlClient(addresses=addresses)
    batches = ClaimBatches(client=client)
    remaining = iter(range(count))

    async def worker():
        for number in remaining:
            await record_answer(batches, number.to_bytes(8) * (size // 8))

    try:
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENCY):
                group.create_task(worker())
    finally:
        client.close()


def main(full=False):
    """Records four times the default limit, or sixteen times in a full run."""
    measure(answers_mib=256 if full else 64, answer_kib=64)


def measure(*, answers_mib, answer_kib):
    """Starts a control group, records answers and prints its memory use."""
    with control_processes() as group:
        asyncio.run(record_answers(group.addresses, CONCURRENCY, 8))
        before = {name: peak_mb(item) for name, item in group.processes.items()}
        count = answers_mib * 1024 // answer_kib
        asyncio.run(record_answers(group.addresses, count, answer_kib * 1024))
        for name, process in group.processes.items():
            peak = peak_mb(process)
            print_line(
                Memory(
                    replica=name,
                    answers_mib=answers_mib,
                    answer_kib=answer_kib,
                    peak_before_mb=round(before[name], 1),
                    peak_mb=round(peak, 1),
                    share_of_target=round(peak / TARGET_MB, 3),
                )
            )


@click.command()
@click.option("--answers-mib", default=64, show_default=True)
@click.option("--answer-kib", default=64, show_default=True)
def command(answers_mib, answer_kib):
    """Measure the memory of kept answers."""
    measure(answers_mib=answers_mib, answer_kib=answer_kib)


if __name__ == "__main__":
    command()
