"""What happens to the tier while the load runs; each blocks in a thread."""

import random
import time

from tier_processes.tier import NEXT_SNAPSHOT, searcher_process

STRAGGLERS = {"slow_fraction": 0.05, "slow_factor": 10.0}
# A share of the load's time before the fault, so that there is a time without.
LEAD = 0.2
OVERLAP_S = 0.8  # both snapshots, or both places of a partition, are held


def no_fault(tier, seconds):
    """Nothing fails."""


def stragglers(tier, seconds):
    """5% of the sub-requests take ten times as long."""
    tier.order(behaviour=STRAGGLERS)


def snapshot_rollout(tier, seconds):
    """Searchers take the next snapshot in turn, and drop the old one later.

    All first replicas come before the second ones, as an operator would do it:
    otherwise no snapshot has all partitions in between.
    """
    take = {
        "snapshot": NEXT_SNAPSHOT,
        "sequence": 2,
        "manifest": tier.manifests()[NEXT_SNAPSHOT],
    }
    time.sleep(seconds * LEAD)
    places = sorted(
        tier.placements, key=lambda item: item.upstream_id.rpartition("-")[2]
    )
    step_s = seconds * (1 - 2 * LEAD) / len(places)
    begun = time.monotonic()
    old = []
    for number, place in enumerate(places):
        time.sleep(max(begun + number * step_s - time.monotonic(), 0))
        tier.order_searcher(place, take=take)
        old.append((time.monotonic() + OVERLAP_S, place))
        while old and old[0][0] <= time.monotonic():
            tier.order_searcher(old.pop(0)[1], drop="s1")
    for drop_at, place in old:
        time.sleep(max(drop_at - time.monotonic(), 0))
        tier.order_searcher(place, drop="s1")


def moving_partitions(tier, seconds):
    """Pairs of searchers exchange their partitions, one pair after another."""
    chance = random.Random(f"{tier.seed}:moves")
    replicated = [item for item in tier.placements if item.upstream_id.endswith("-1")]
    chance.shuffle(replicated)
    pairs = list(zip(replicated[::2], replicated[1::2], strict=False))
    time.sleep(seconds * LEAD)
    limit = time.monotonic() + seconds * (1 - 2 * LEAD)
    for one, other in pairs:
        if time.monotonic() > limit:
            return
        both = [one.partition, other.partition]
        _hold(tier, one, both)
        _hold(tier, other, both)
        time.sleep(OVERLAP_S / 2)
        _hold(tier, one, [other.partition])
        _hold(tier, other, [one.partition])


def _hold(tier, place, partitions):
    tier.order_searcher(place, hold={"snapshot": "s1", "partitions": partitions})


def data_centre_lost(tier, seconds):
    """All searchers and entry hosts of one data centre die at once."""
    time.sleep(seconds * LEAD)
    centre = tier.deployment.data_centres[0]
    hosts = [name for name, place in tier.entry_centres.items() if place == centre]
    tier.kill(*hosts, searcher_process(centre))


def entry_host_killed(tier, seconds):
    """One entry host dies."""
    time.sleep(seconds * LEAD)
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
