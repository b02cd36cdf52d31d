"""Faults injected while the load runs; each function blocks in a thread."""

import random
import time

from tier_processes.tier import NEXT_SNAPSHOT, searcher_process

STRAGGLERS = {"slow_fraction": 0.05, "slow_factor": 10.0}
# Share of the load's duration before the fault, to have a fault-free time as well.
FAULT_FREE_SHARE = 0.2
OVERLAP_S = 0.8  # time for which both snapshots, or both copies, are held


def no_fault(tier, seconds):
    """Injects no fault."""


def stragglers(tier, seconds):
    """5% of the sub-requests take ten times as long."""
    tier.order(behaviour=STRAGGLERS)


def snapshot_rollout(tier, seconds):
    """Searchers take the next snapshot one after another, and drop the old one later.

    All first replicas come before the second ones, as in a rollout by an operator:
    otherwise there are times at which no snapshot has all partitions.
    """
    take = {
        "snapshot": NEXT_SNAPSHOT,
        "sequence": 2,
        "manifest": tier.manifests()[NEXT_SNAPSHOT],
    }
    time.sleep(seconds * FAULT_FREE_SHARE)
    rollout_order = sorted(
        tier.placements, key=lambda item: item.upstream_id.rpartition("-")[2]
    )
    step_s = seconds * (1 - 2 * FAULT_FREE_SHARE) / len(rollout_order)
    started_at = time.monotonic()
    old = []
    for number, placement in enumerate(rollout_order):
        time.sleep(max(started_at + number * step_s - time.monotonic(), 0))
        tier.order_searcher(placement, take=take)
        old.append((time.monotonic() + OVERLAP_S, placement))
        while old and old[0][0] <= time.monotonic():
            tier.order_searcher(old.pop(0)[1], drop="s1")
    for drop_at, placement in old:
        time.sleep(max(drop_at - time.monotonic(), 0))
        tier.order_searcher(placement, drop="s1")


def moving_partitions(tier, seconds):
    """Pairs of searchers swap their partitions, one pair after another."""
    rng = random.Random(f"{tier.seed}:moves")
    replicated = [item for item in tier.placements if item.upstream_id.endswith("-1")]
    rng.shuffle(replicated)
    pairs = list(zip(replicated[::2], replicated[1::2], strict=False))
    time.sleep(seconds * FAULT_FREE_SHARE)
    limit = time.monotonic() + seconds * (1 - 2 * FAULT_FREE_SHARE)
    for one, other in pairs:
        if time.monotonic() > limit:
            return
        both = [one.partition, other.partition]
        _set_partitions(tier, one, both)
        _set_partitions(tier, other, both)
        time.sleep(OVERLAP_S / 2)
        _set_partitions(tier, one, [other.partition])
        _set_partitions(tier, other, [one.partition])


def _set_partitions(tier, placement, partitions):
    tier.order_searcher(placement, hold={"snapshot": "s1", "partitions": partitions})


def data_centre_lost(tier, seconds):
    """All searchers and entry hosts of one data centre are killed at once."""
    time.sleep(seconds * FAULT_FREE_SHARE)
    centre = tier.deployment.data_centres[0]
    hosts = [
        name for name, location in tier.entry_data_centres.items() if location == centre
    ]
    tier.kill(*hosts, searcher_process(centre))


def entry_host_killed(tier, seconds):
    """One entry host is killed."""
    time.sleep(seconds * FAULT_FREE_SHARE)
    tier.kill("entry-2")


FAULTS = {
    "no-fault": no_fault,
    "snapshot-rollout": snapshot_rollout,
    "moving-partitions": moving_partitions,
    "stragglers": stragglers,
    "data-centre-lost": data_centre_lost,
    "entry-host-killed": entry_host_killed,
    "overload-2x": no_fault,
}
