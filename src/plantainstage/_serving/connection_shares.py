"""How many connections to a searcher an entry host opens and keeps.

A searcher accepts a limited number of connections from all hosts together and resets
those beyond it. In a tier of few hosts each one gets an equal share. With more hosts
than connections, the hosts in the searcher's data centre keep one each, and so do some
of the hosts in data centres without a searcher of the service. All others open a
connection when they need one, and close it soon after its reply.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from plantainstage._serving.spreading import spread_weight

# The rest is for restarted hosts, whose earlier connections are still open.
CONNECTION_CAP_SHARE = 0.9
# Of the cap, for connections that are kept while idle, if an equal share is too small.
# The rest is for those that are in use for a moment.
KEPT_SHARE = 0.6
# Equal shares below this leave a host with one connection, which a single paused
# request would block.
MIN_EQUAL_SHARE = 2


@dataclass(frozen=True, kw_only=True)
class HostCounts:
    """The number of entry hosts in each data centre."""

    by_data_centre: Mapping[str, int]

    @property
    def total(self):
        """The number of all entry hosts, at least 1."""
        return max(1, sum(self.by_data_centre.values()))

    def in_data_centre(self, data_centre: str) -> int:
        """Returns the number of hosts in one data centre."""
        return self.by_data_centre.get(data_centre, 0)


@dataclass(frozen=True, kw_only=True)
class ConnectionShare:
    """One host's share: connections open at a time, and of these kept while idle."""

    limit: int
    kept: int


def is_scarce(caps: Iterable[int], *, hosts: HostCounts) -> bool:
    """Whether the hosts are too many for equal shares of one of the caps.

    Each host then sees little of the searchers by itself.
    """
    return any(_equal_share(cap, hosts) < MIN_EQUAL_SHARE for cap in caps)


def connection_share(
    *, cap: int, slots: int, hosts: HostCounts, keeping_hosts: int, keeps: bool
) -> ConnectionShare:
    """Returns the share of a host at a searcher that accepts ``cap`` connections.

    ``keeping_hosts`` is the number of hosts that keep connections to the searcher, and
    ``keeps`` tells whether this host is one of them. For example, of 70 hosts and a
    cap of 67, those that keep connections keep one each::

        connection_share(cap=67, slots=4, hosts=hosts, keeping_hosts=23, keeps=True)
        # ConnectionShare(limit=4, kept=1)
    """
    equal = _equal_share(cap, hosts)
    if equal >= MIN_EQUAL_SHARE:
        return ConnectionShare(limit=equal, kept=equal)
    kept = int(cap * KEPT_SHARE / max(1, keeping_hosts)) if keeps else 0
    return ConnectionShare(limit=max(slots, kept, MIN_EQUAL_SHARE), kept=kept)


def _equal_share(cap, hosts):
    return int(cap * CONNECTION_CAP_SHARE / hosts.total)


def hosts_that_keep(
    hosts: HostCounts, *, data_centre: str, searcher_data_centres: Collection[str]
) -> int:
    """Returns how many hosts keep connections to a searcher in ``data_centre``.

    ``searcher_data_centres`` lists the data centre of each searcher of the service.
    """
    served = set(searcher_data_centres)
    without = sum(
        count for name, count in hosts.by_data_centre.items() if name not in served
    )
    return hosts.in_data_centre(data_centre) + -(-without // len(searcher_data_centres))


def preferred_remote(host_id: str, searcher_ids: Collection[str]) -> str:
    """Returns the searcher to which a host without a near one keeps connections.

    The hosts are spread evenly over the searchers.
    """
    return min(searcher_ids, key=partial(spread_weight, host_id))
