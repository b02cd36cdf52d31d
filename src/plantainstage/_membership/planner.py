"""Plans which entry host should own which searcher.

A searcher preferably gets an owner in its own data centre. Otherwise the loss of a
data centre would also take searchers out of service that its hosts own in others: a
takeover lasts a lease and the longest deadline. Replicas of a partition get different
owners where possible. Rendezvous hashing gives each pair of searcher and host a fixed
weight, so that few searchers move when a host joins or leaves.
"""

import math
from collections import Counter
from dataclasses import dataclass

import xxhash

# No host owns more searchers than this multiple of the mean per host. A data centre
# with too few hosts hands the excess to other data centres.
MAX_LOAD_RATIO = 1.5


@dataclass(frozen=True, kw_only=True)
class PlannedSearcher:
    """A searcher to be placed, with the names of the partitions that it holds."""

    upstream_id: str
    data_centre: str
    partitions: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class PlannedHost:
    """An entry host that can own searchers."""

    entry_id: str
    data_centre: str


def plan_owners(*, searchers, hosts):
    """Returns the planned owner of each searcher; empty if there are no hosts.

    Searchers are placed in an order that does not depend on the hosts. Those that
    find no owner in their data centre are placed last, so that they do not displace
    a searcher of the owner's data centre. For example::

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
        """Gives the searcher an owner in its data centre, if one is suitable.

        A second replica of a partition on one host is worse than an owner in
        another data centre, since hosts fail more often.
        """
        local = self.hosts_by_data_centre.get(searcher.data_centre, ())
        return self._place_on_best(searcher, local)

    def place_anywhere(self, searcher):
        """Gives the searcher the best owner in any data centre."""
        if self._place_on_best(searcher, self.encoded):
            return
        # Every host below the limit already owns a replica of one of the partitions.
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
        """Returns, by host, the most replicas owned of one of its partitions."""
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
