"""Which entry host should own which searcher.

Rendezvous hashing gives each pair of searcher and host a fixed weight, so that
a host that joins or goes changes few owners. Pairs are taken by descending
weight, and a host takes a second replica of a partition only when no other host
is left for it.
"""

from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, kw_only=True)
class PlannedSearcher:
    """A searcher to place, with the names of the partitions it holds."""

    upstream_id: str
    partitions: frozenset[str]


def pair_weight(upstream_id, entry_id):
    """Returns the rendezvous weight of a pair, the same on every machine."""
    return xxhash.xxh3_64_intdigest(f"{upstream_id}\0{entry_id}".encode())


def plan_owners(*, searchers, hosts):
    """Returns the wished owner of each searcher, or nothing without hosts."""
    pairs = sorted(
        (
            (pair_weight(searcher.upstream_id, host), searcher.upstream_id, host)
            for searcher in searchers
            for host in hosts
        ),
        reverse=True,
    )
    partitions = {item.upstream_id: item.partitions for item in searchers}
    held = {host: {} for host in hosts}
    plan = {}
    # Each round allows one more replica of a partition on the same host.
    for allowed in range(len(partitions)):
        if len(plan) == len(partitions) or not pairs:
            break
        for _, upstream_id, host in pairs:
            if upstream_id in plan:
                continue
            if _overlap(held[host], partitions[upstream_id]) > allowed:
                continue
            plan[upstream_id] = host
            for partition in partitions[upstream_id]:
                held[host][partition] = held[host].get(partition, 0) + 1
    return plan


def _overlap(held, partitions):
    return max((held.get(partition, 0) for partition in partitions), default=0)
