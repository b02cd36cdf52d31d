"""Measures how costs grow with the size of a deployment.

Prints JSON lines: one for each measure and size, then the slopes between the
sizes, from which docs/CAPACITY.md extrapolates to the target size. The decision
logic and the codecs run in this process, without network or replication; CPU
figures are process time. For example::

    python bench/capacity.py --entries 10,100,1000 --searchers 100,1000,14000
"""

import asyncio
import gc
import sys
import time
import tracemalloc
from dataclasses import dataclass

import click
import msgspec

from plantainstage._control.control_context import ControlContext
from plantainstage._control.entry_requests import announce_upstreams, renew_lease
from plantainstage._control.memory_log import MemoryLog
from plantainstage._membership import commands
from plantainstage._membership.leader import PlanKey
from plantainstage._membership.leases import RENEW_INTERVAL_MS
from plantainstage._membership.machine import MembershipMachine
from plantainstage._membership.planner import plan_owners
from plantainstage._membership.queries import build_configuration
from plantainstage._membership.reconciliation import (
    plan_commands,
    planned_hosts,
    planned_searchers,
)
from plantainstage._membership.state import decode_state, encode_state
from plantainstage.messages import configuration as types
from plantainstage.messages import control, upstreams

REPLICAS = 3
PARTITIONS_PER_INDEX = 100
RENEWALS = 2000
RECONCILIATIONS = 10
MICROSECONDS_PER_S = 1e6


class Measure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value at one size."""

    measure: str
    entries: int
    searchers: int
    value: float
    unit: str


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """The growth of a measure per additional host, between two sizes."""

    slope: str
    per: str
    at_fixed: int
    value: float
    unit: str
    sizes: tuple[int, int]


@dataclass(frozen=True, kw_only=True)
class Size:
    """The size of a synthetic deployment."""

    entries: int
    searchers: int


def make_manifest(number):
    """Returns the manifest of one index with its partitions."""
    return types.Manifest(
        index=f"index-{number}",
        snapshot="snapshot-2026-01-31",
        sequence=1,
        documents={
            f"partition-{part:03}": 100_000 for part in range(PARTITIONS_PER_INDEX)
        },
    )


def make_upstream(number):
    """Returns the record of one searcher with one partition."""
    group, replica = divmod(number, REPLICAS)
    index, part = divmod(group, PARTITIONS_PER_INDEX)
    return types.Upstream(
        upstream_id=f"searcher-{group:05}-{replica}",
        incarnation="0123456789abcdef0123456789abcdef",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7400",
        data_centre=f"data-centre-{number % 17}",
        index=f"index-{index}",
        slots=3,
        connections=30,
        holdings=(
            types.SnapshotHolding(
                snapshot="snapshot-2026-01-31", partitions=(f"partition-{part:03}",)
            ),
        ),
    )


def make_entry(number):
    """Returns the record of one entry host."""
    return types.EntryHost(
        entry_id=f"entry-{number:04}",
        incarnation="0123456789abcdef0123456789abcdef",
        data_centre=f"data-centre-{number % 17}",
        caller_address=f"10.200.{number >> 8}.{number & 255}:7200",
        forward_address=f"10.200.{number >> 8}.{number & 255}:7300",
    )


def make_announcement(upstream, manifest):
    """Returns the announcement that a searcher sends every second."""
    return upstreams.Announcement(
        upstream_id=upstream.upstream_id,
        incarnation=upstream.incarnation,
        address=upstream.address,
        data_centre=upstream.data_centre,
        index=upstream.index,
        slots=upstream.slots,
        connections=upstream.connections,
        snapshots=(
            upstreams.AnnouncedSnapshot(
                snapshot=manifest.snapshot,
                sequence=manifest.sequence,
                partitions=upstream.holdings[0].partitions,
                manifest=manifest.documents,
            ),
        ),
    )


def measure_cpu_us(function, times=1):
    """Returns the last result and the mean process time of a call in microseconds."""
    gc.collect()
    start = time.process_time()
    for _ in range(times):
        result = function()
    return result, (time.process_time() - start) / times * MICROSECONDS_PER_S


def measure_allocated_bytes(function):
    """Returns the result and the number of bytes that stay allocated for it."""
    gc.collect()
    tracemalloc.start()
    result = function()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, held


def build_machine(size):
    """Returns a machine with all hosts registered and owners assigned."""
    machine = MembershipMachine()
    records = [make_upstream(number) for number in range(size.searchers)]
    indexes = sorted({record.index for record in records})
    manifests = tuple(make_manifest(number) for number in range(len(indexes)))
    batch = 1000
    steps = [
        commands.RegisterUpstreams(
            upstreams=tuple(records[start : start + batch]), manifests=manifests
        )
        for start in range(0, len(records), batch)
    ]
    steps += [
        commands.RegisterEntry(entry=make_entry(number))
        for number in range(size.entries)
    ]
    steps.append(
        commands.MoveOwners(
            assignments=tuple(
                commands.Assignment(
                    upstream_id=record.upstream_id,
                    entry_id=make_entry(number % size.entries).entry_id,
                    expected_epoch=0,
                )
                for number, record in enumerate(records)
            )
        )
    )
    for index, step in enumerate(steps, start=1):
        machine.apply(index=index, command=commands.encode_command(step))
    return machine


class SizeBenchmark:
    """Runs all measurements for one size."""

    def __init__(self, size):
        self.size = size
        self.machine = build_machine(size)
        self.results = []

    def add(self, measure, value, unit):
        """Records a measured value."""
        self.results.append(
            Measure(
                measure=measure,
                entries=self.size.entries,
                searchers=self.size.searchers,
                value=round(value, 3),
                unit=unit,
            )
        )

    def run(self):
        """Returns all results of this size."""
        self.measure_grant()
        asyncio.run(self.measure_requests())
        self.measure_memory()
        self.measure_announcements()
        self.measure_planning()
        return self.results

    def measure_grant(self):
        """Measures a lease grant that carries the whole configuration."""
        state = self.machine.state
        built, cpu = measure_cpu_us(lambda: build_configuration(state))
        self.add("configuration_build_cpu", cpu, "us for each version")
        reply = control.LeaseGranted(
            version=built.version, lease_ms=2000, configuration=built
        )
        encoded, cpu = measure_cpu_us(lambda: msgspec.msgpack.encode(reply), 3)
        self.add("grant_bytes", len(encoded), "bytes for each host and version")
        self.add("grant_encode_cpu", cpu, "us for each host and version")
        decoder = msgspec.msgpack.Decoder(control.ControlReply)
        _, cpu = measure_cpu_us(lambda: decoder.decode(encoded), 3)
        self.add("grant_decode_cpu", cpu, "us on each host and version")
        _, held = measure_allocated_bytes(lambda: decoder.decode(encoded))
        self.add("entry_configuration_memory", held, "bytes on each host")

    async def measure_requests(self):
        """Measures renewals and reconciliation on the leader of a one-member group."""
        context = ControlContext.build(
            log=MemoryLog(machine=self.machine, address="127.0.0.1:7100"),
            machine=self.machine,
            clock=time.monotonic,
            wall_ms=lambda: round(time.time() * 1000),
            keep_bytes=commands.DEFAULT_KEEP_BYTES,
        )
        version = self.machine.state.version
        requests = [
            msgspec.msgpack.encode(
                control.RenewEntryLease(
                    entry=make_entry(number), applied_version=version
                )
            )
            for number in range(self.size.entries)
        ]
        decoder = msgspec.msgpack.Decoder(control.ControlRequest)
        reply = await renew_lease(context, decoder.decode(requests[0]))
        encoded = msgspec.msgpack.encode(reply)
        start = time.process_time()
        for number in range(RENEWALS):
            request = decoder.decode(requests[number % len(requests)])
            msgspec.msgpack.encode(await renew_lease(context, request))
        cpu = (time.process_time() - start) / RENEWALS * MICROSECONDS_PER_S
        rate = self.size.entries * 1000 / RENEW_INTERVAL_MS
        self.add("renewal_request_bytes", len(requests[0]), "bytes")
        self.add("renewal_reply_bytes", len(encoded), "bytes")
        self.add("renewal_cpu", cpu, "us at the leader, without transport and sync")
        self.add(
            "renewal_core_share", cpu * rate / MICROSECONDS_PER_S, "of a core, leader"
        )
        await self.measure_heartbeats(context)
        await self.measure_reconciliation(context)

    async def measure_heartbeats(self, context):
        """Measures the list of live upstream ids that an entry host sends."""
        names = tuple(sorted(self.machine.state.upstreams))
        share = names[:: self.size.entries] or names[:1]
        request = control.AnnounceUpstreams(alive=share)
        start = time.process_time()
        for _ in range(100):
            await announce_upstreams(context, request)
        cpu = (time.process_time() - start) / 100 * MICROSECONDS_PER_S
        encoded = len(msgspec.msgpack.encode(request))
        hosts = min(self.size.entries, len(names))
        self.add("heartbeat_summary_bytes", encoded, "bytes/s from each host")
        self.add("heartbeat_total_bytes", encoded * hosts, "bytes/s at the leader")
        self.add("heartbeat_cpu", cpu * hosts, "us/s at the leader, all hosts")

    async def measure_reconciliation(self, context):
        """Measures a reconciliation round of the leader that changes nothing."""
        view = await context.leadership.view()
        state = self.machine.state
        # Planning is measured separately; here the plan equals the present owners.
        view.plan = {
            name: record.owner.entry_id for name, record in state.ownerships.items()
        }
        now = time.monotonic()
        view.heartbeats.record_announcements(state.upstreams, now)

        def reconcile():
            view.plan_key = None
            return plan_commands_without_plan(state, view, now)

        _, cpu = measure_cpu_us(reconcile, RECONCILIATIONS)
        self.add("reconciliation_cpu", cpu, "us for each round, 10 rounds/s")

    def measure_memory(self):
        """Measures the replicated state on a control host and its snapshot."""
        state = self.machine.state
        encoded, cpu = measure_cpu_us(lambda: encode_state(state))
        self.add("state_snapshot_bytes", len(encoded), "bytes")
        self.add("state_snapshot_cpu", cpu, "us")
        _, held = measure_allocated_bytes(lambda: decode_state(encoded))
        self.add("control_state_memory", held, "bytes on a control host")

    def measure_announcements(self):
        """Measures the announcements of searchers to entry hosts."""
        upstream = make_upstream(0)
        announcement = make_announcement(upstream, make_manifest(0))
        encoded = msgspec.json.encode(announcement)
        decoder = msgspec.json.Decoder(upstreams.Announcement)
        _, cpu = measure_cpu_us(lambda: decoder.decode(encoded), 1000)
        total = len(encoded) * self.size.searchers
        self.add("announcement_bytes", len(encoded), "bytes/s from each searcher")
        self.add("announcement_decode_cpu", cpu, "us for each announcement")
        self.add(
            "announcements_of_one_host",
            total / self.size.entries,
            "bytes/s at each entry host",
        )

    def measure_planning(self):
        """Measures planning of owners after an entry host joined or left."""
        state = self.machine.state
        searchers = planned_searchers(state)
        hosts = planned_hosts(state, sorted(state.entries))
        _, cpu = measure_cpu_us(lambda: plan_owners(searchers=searchers, hosts=hosts))
        pairs = self.size.entries * self.size.searchers
        self.add("planning_cpu", cpu, "us for each version or change of hosts")
        self.add("planning_cpu_per_pair", cpu / pairs, "us")


def plan_commands_without_plan(state, view, now):
    """Runs one reconciliation round with the plan that the view already holds."""
    live = view.leases.granted_leases(now)
    hosts = tuple(sorted(lease.entry.entry_id for lease in live if not lease.draining))
    view.plan_key = PlanKey(version=state.version, hosts=hosts)
    return plan_commands(state=state, view=view, now=now, now_ms=0)


def slopes(results):
    """Returns the growth per entry host and per searcher between sizes."""
    found = []
    for name in sorted({item.measure for item in results}):
        items = [item for item in results if item.measure == name]
        found += _slopes_along(items, "entries", "searchers")
        found += _slopes_along(items, "searchers", "entries")
    return found


def _slopes_along(items, varied, fixed):
    found = []
    for value in sorted({getattr(item, fixed) for item in items}):
        line = sorted(
            (item for item in items if getattr(item, fixed) == value),
            key=lambda item: getattr(item, varied),
        )
        if len(line) < 2:
            continue
        first, last = line[0], line[-1]
        if first.value == last.value:
            continue
        step = getattr(last, varied) - getattr(first, varied)
        found.append(
            Slope(
                slope=first.measure,
                per="entry host" if varied == "entries" else "searcher",
                at_fixed=value,
                value=round((last.value - first.value) / step, 6),
                unit=first.unit,
                sizes=(getattr(first, varied), getattr(last, varied)),
            )
        )
    return found


def parse_numbers(text):
    """Returns the distinct integers of a comma-separated list, sorted."""
    return sorted({int(part) for part in text.split(",")})


@click.command()
@click.option("--entries", default="10,100", show_default=True)
@click.option("--searchers", default="100,1000", show_default=True)
def main(entries, searchers):
    """Measure all combinations of sizes and print JSON lines."""
    results = []
    for searcher_count in parse_numbers(searchers):
        for entry_count in parse_numbers(entries):
            size = Size(entries=entry_count, searchers=searcher_count)
            for result in SizeBenchmark(size).run():
                results.append(result)
                print(msgspec.json.encode(result).decode(), flush=True)
    for slope in slopes(results):
        print(msgspec.json.encode(slope).decode())


if __name__ == "__main__":
    sys.exit(main())
