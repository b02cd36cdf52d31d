"""Which entry host should own which searcher.

A searcher gets an owner of its own data centre, so that the loss of a data centre
takes only its own searchers out of service and not those that its hosts owned
elsewhere, whose takeover lasts a lease and the longest deadline. Replicas of a
partition get different owners where possible. Rendezvous hashing gives each pair of
searcher and host a fixed weight, so that a host that joins or goes moves few
searchers.
"""

import math
from collections import Counter
from dataclasses import dataclass

import xxhash

# A data centre with many searchers and few hosts passes on what exceeds this
# multiple of the mean for each host.
MAX_LOAD_RATIO = 1.5


@dataclass(frozen=True, kw_only=True)
class PlannedSearcher:
    """A searcher to place, with the names of the partitions it holds."""

    upstream_id: str
    data_centre: str
    partitions: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class PlannedHost:
    """An entry host that can own searchers."""

    entry_id: str
    data_centre: str


def plan_owners(*, searchers, hosts):
    """Returns the wished owner of each searcher, or nothing without hosts.

    Searchers are placed in an order that does not depend on the hosts, and those
    that find no owner in their data centre come last, so that they displace none
    that does. For example::

        plan = plan_owners(searchers=(searcher,), hosts=(host,))
        plan[searcher.upstream_id]  # the entry_id of the host
    """
    if not hosts:
        return {}
    plan = _Plan(searchers=len(searchers), hosts=hosts)
    ordered = sorted(searchers, key=_placement_order)
    unplaced = [searcher for searcher in ordered if not plan.place_locally(searcher)]
    for searcher in unplaced:
        plan.place_anywhere(searcher)
    return plan.owner_of


class _Plan:
    """The searchers placed so far."""

    def __init__(self, *, searchers, hosts):
        self.encoded = {host.entry_id: host.entry_id.encode() for host in hosts}
        self.hosts_by_data_centre = {}
        for host in hosts:
            self.hosts_by_data_centre.setdefault(host.data_centre, []).append(
                host.entry_id
            )
        self.max_per_host = max(1, math.ceil(MAX_LOAD_RATIO * searchers / len(hosts)))
        self.load = Counter()
        self.full = set()
        self.owner_of = {}
        self.owners_by_partition = {}

    def place_locally(self, searcher):
        """Gives the searcher an owner of its data centre, if one is suitable.

        A second replica of a partition on one host is worse than an owner in
        another data centre, since hosts fail more often.
        """
        local = self.hosts_by_data_centre.get(searcher.data_centre, ())
        return self._place_on_best(searcher, local)

    def place_anywhere(self, searcher):
        """Gives the searcher the best owner of all data centres."""
        if self._place_on_best(searcher, self.encoded):
            return
        # Every host with room owns another replica of a partition.
        replicas = self._replicas(searcher)
        seed = _seed(searcher)
        available = [name for name in self.encoded if name not in self.full]
        name = min(available, key=lambda n: (replicas[n], -self._weight(n, seed)))
        self._place(searcher, name)

    def _place_on_best(self, searcher, names):
        replicas = self._replicas(searcher)
        free = [n for n in names if n not in replicas and n not in self.full]
        if free:
            seed = _seed(searcher)
            self._place(searcher, max(free, key=lambda n: self._weight(n, seed)))
        return bool(free)

    def _place(self, searcher, entry_id):
        self.owner_of[searcher.upstream_id] = entry_id
        self.load[entry_id] += 1
        if self.load[entry_id] == self.max_per_host:
            self.full.add(entry_id)
        for partition in searcher.partitions:
            self.owners_by_partition.setdefault(partition, Counter())[entry_id] += 1

    def _replicas(self, searcher):
        """Returns how many replicas of one of its partitions each host owns."""
        replicas = Counter()
        for partition in searcher.partitions:
            replicas |= self.owners_by_partition.get(partition, Counter())
        return replicas

    def _weight(self, entry_id, seed):
        return xxhash.xxh3_64_intdigest(self.encoded[entry_id], seed)


def _seed(searcher):
    return xxhash.xxh3_64_intdigest(searcher.upstream_id.encode())


def _placement_order(searcher):
    return _seed(searcher), searcher.upstream_id
