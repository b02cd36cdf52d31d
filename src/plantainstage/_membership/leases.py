"""Leases of entry hosts, as the leader records them in memory.

Times are seconds on the leader's monotonic clock and are passed in. A host counts
its lease from the time at which it sent the request, so that it ends before the
leader's record of it, which adds a margin for differing clock rates.
"""

from dataclasses import dataclass, field

from plantainstage._errors import check_invariant
from plantainstage._membership.profiles import DEADLINE_RANGE_MS
from plantainstage._membership.state import EntryProcess
from plantainstage._messages.configuration import EntryHost

LEASE_MS = 2000
RENEW_INTERVAL_MS = 400
# The rates of two clocks may differ by this fraction during a lease.
CLOCK_RATE_MARGIN = 0.1
FENCE_S = LEASE_MS / 1000 * (1 + CLOCK_RATE_MARGIN)
GRANTS_KEPT_S = DEADLINE_RANGE_MS[1] / 1000 * (1 + CLOCK_RATE_MARGIN) + FENCE_S


@dataclass(frozen=True, kw_only=True)
class Grant:
    """A lease granted with a configuration version; it ends at ``expires_at``."""

    version: int
    expires_at: float


@dataclass(kw_only=True)
class HostLease:
    """The grants to one entry host process, and what the process has reported.

    ``applied`` is the newest configuration version that it has applied.
    ``releasing`` names the searchers that it no longer owns in that version but on
    which it still has work in flight.
    """

    entry: EntryHost
    applied: int = 0
    releasing: frozenset[str] = frozenset()
    draining: bool = False
    grants: list[Grant] = field(default_factory=list)

    @property
    def expires_at(self):
        """The time after which the process cannot hold a lease."""
        return max(grant.expires_at for grant in self.grants)

    def expiry_before_version(self, version):
        """Returns when the last lease granted with an earlier version expires.

        A host counts a lease as renewed only after it has applied the version of
        the grant, so that later grants imply ``version``.
        """
        return max(
            (grant.expires_at for grant in self.grants if grant.version < version),
            default=float("-inf"),
        )


def process_of(entry):
    """Returns the identity of the process that an entry host record describes."""
    return EntryProcess(entry_id=entry.entry_id, incarnation=entry.incarnation)


@dataclass(kw_only=True)
class EntryLeases:
    """The leases that this leader granted, and those that it has to assume.

    An earlier leader may have granted leases of any version, to any host, that
    run until ``earlier_leases_expire_at``; ``settled`` is true from then on. It is
    true at once when no entry host was registered, since a host is registered
    before its first lease.
    """

    started_at: float
    registered: frozenset[EntryProcess]
    hosts: dict[EntryProcess, HostLease] = field(default_factory=dict)

    @property
    def earlier_leases_expire_at(self):
        """The latest end of a lease that an earlier leader may have granted."""
        return self.started_at + FENCE_S if self.registered else self.started_at

    def settled(self, now):
        """Whether this leader knows all lease holders."""
        return now >= self.earlier_leases_expire_at

    def record_report(self, request):
        """Records what a host reports about itself; outdated reports are ignored."""
        process = process_of(request.entry)
        lease = self.hosts.get(process)
        if lease is None:
            assumed = Grant(version=0, expires_at=self.earlier_leases_expire_at)
            lease = HostLease(entry=request.entry, grants=[assumed])
            self.hosts[process] = lease
        releasing = frozenset(request.releasing)
        if request.applied_version > lease.applied:
            lease.applied = request.applied_version
            lease.releasing = releasing
        elif request.applied_version == lease.applied:
            # For one version the list can only shrink.
            lease.releasing &= releasing
        lease.draining = lease.draining or request.draining

    def grant(self, *, process, version, now):
        """Records a lease; called before the reply that grants it is sent."""
        lease = self.hosts[process]
        newest = max((grant.version for grant in lease.grants), default=0)
        check_invariant(
            version >= max(newest, lease.applied),
            invariant="a version never falls on an entry host",
            detail=f"{process.entry_id} has {max(newest, lease.applied)}, "
            f"not {version}",
        )
        # The last grant of each version is kept while requests that were sent under
        # it may still be running.
        lease.grants = [
            grant
            for grant in lease.grants
            if grant.expires_at > now - GRANTS_KEPT_S and grant.version != version
        ]
        lease.grants.append(Grant(version=version, expires_at=now + FENCE_S))

    def remove(self, process):
        """Removes a host that gave its lease back in a planned stop."""
        self.hosts.pop(process, None)

    def expires_at(self, process):
        """Returns the time after which this process cannot hold a lease."""
        lease = self.hosts.get(process)
        return lease.expires_at if lease is not None else self.earlier_leases_expire_at

    def expiry_before_version(self, process, version):
        """Returns when the process's last lease of an earlier version expires."""
        lease = self.hosts.get(process)
        return (
            lease.expiry_before_version(version)
            if lease is not None
            else self.earlier_leases_expire_at
        )

    def may_hold(self, process, now):
        """Whether this process may hold a lease."""
        return now < self.expires_at(process)

    def granted_leases(self, now):
        """Returns the hosts with an unexpired lease granted by this leader."""
        return [
            lease
            for lease in self.hosts.values()
            if any(grant.version and grant.expires_at > now for grant in lease.grants)
        ]

    def processes_behind(self, *, version, now):
        """Returns the processes that may still act on an earlier version."""
        candidates = set(self.hosts)
        if not self.settled(now):
            candidates |= self.registered
        return sorted(
            (
                process
                for process in candidates
                if self._may_be_behind(process, version, now)
            ),
            key=lambda process: (process.entry_id, process.incarnation),
        )

    def in_force(self, *, version, now):
        """Whether no host can still act on an earlier version."""
        return self.settled(now) and not self.processes_behind(version=version, now=now)

    def released(self, *, process, upstream_id, fenced_version):
        """Whether a previous owner reported that it has no work on a searcher."""
        lease = self.hosts.get(process)
        return (
            lease is not None
            and lease.applied >= fenced_version
            and upstream_id not in lease.releasing
        )

    def remove_expired(self, *, kept, before):
        """Removes leases that expired before a time, except those of ``kept``."""
        for process, lease in tuple(self.hosts.items()):
            if process not in kept and lease.expires_at < before:
                del self.hosts[process]

    def _may_be_behind(self, process, version, now):
        lease = self.hosts.get(process)
        if lease is not None and lease.applied >= version:
            return False
        return now < self.expiry_before_version(process, version)
