"""Which entry host should own which searcher.

Rendezvous hashing gives each pair of searcher and host a fixed weight, so that
a host that joins or goes changes few owners. Pairs are taken by descending
weight, and a host takes a second replica of a partition only when no other host
is left for it.

A host of the searcher's own data centre is preferred: a lost data centre then
takes away its own searchers only, and not also those elsewhere that its hosts
owned, which nobody may use until a lease and the longest deadline have passed.
"""

import math
from dataclasses import dataclass

import xxhash

# A host owns at most this multiple of its even share by that preference, so that
# a data centre with few hosts does not slow all requests down.
HOME_SHARE = 1.25


@dataclass(frozen=True, kw_only=True)
class PlannedSearcher:
    """A searcher to place, with the names of the partitions it holds."""

    upstream_id: str
    partitions: frozenset[str]
    data_centre: str = ""


def pair_weight(upstream_id, entry_id):
    """Returns the rendezvous weight of a pair, the same on every machine."""
    return xxhash.xxh3_64_intdigest(f"{upstream_id}\0{entry_id}".encode())


def plan_owners(*, searchers, hosts, data_centres=None):
    """Returns the wished owner of each searcher, or nothing without hosts.

    ``data_centres`` gives the data centre of each host, if they are to count.
    """
    pairs = sorted(
        (
            (pair_weight(searcher.upstream_id, host), searcher.upstream_id, host)
            for searcher in searchers
            for host in hosts
        ),
        reverse=True,
    )
    plan = _Plan(searchers=searchers, hosts=hosts)
    if data_centres:
        homes = {item.upstream_id: item.data_centre for item in searchers}
        most = math.ceil(HOME_SHARE * len(searchers) / max(len(hosts), 1))
        at_home = [
            pair for pair in pairs if homes[pair[1]] == data_centres.get(pair[2])
        ]
        plan.place(at_home, allowed=0, most=most)
    # Each round allows one more replica of a partition on the same host.
    for allowed in range(len(searchers)):
        if len(plan.owners) == len(plan.partitions) or not pairs:
            break
        plan.place(pairs, allowed=allowed, most=len(searchers))
    return plan.owners


class _Plan:
    """Owners of the searchers that have been placed so far."""

    def __init__(self, *, searchers, hosts):
        self.partitions = {item.upstream_id: item.partitions for item in searchers}
        self.held = {host: {} for host in hosts}
        self.counts = dict.fromkeys(hosts, 0)
        self.owners = {}

    def place(self, pairs, *, allowed, most):
        """Takes pairs in turn, within the overlap allowed and ``most`` a host."""
        for _, upstream_id, host in pairs:
            if upstream_id in self.owners or self.counts[host] >= most:
                continue
            held = self.held[host]
            if _overlap(held, self.partitions[upstream_id]) > allowed:
                continue
            self.owners[upstream_id] = host
            self.counts[host] += 1
            for partition in self.partitions[upstream_id]:
                held[partition] = held.get(partition, 0) + 1


def _overlap(held, partitions):
    return max((held.get(partition, 0) for partition in partitions), default=0)
