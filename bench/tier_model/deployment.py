"""The two deployments of docs/design.md, section 1.3."""

import random
from dataclasses import dataclass

from plantainstage._messages.configuration import (
    Configuration,
    EntryHost,
    Manifest,
    Profile,
    SnapshotHolding,
    Upstream,
    UpstreamState,
)
from standin import deployments

SAME_ZONE_S = 0.0001
DOCUMENTS_PER_PARTITION = 10_000


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Service groups, zones (data centres), entry hosts and the profile of the load."""

    name: str
    index: str
    zones: tuple[str, ...]
    zone_hop_s: float
    groups: tuple[deployments.ServiceGroup, ...]
    profile: Profile
    entry_hosts: int = 9

    def latency_s(self, one, other):
        """Returns the one-way latency between two zones."""
        return SAME_ZONE_S if one == other else self.zone_hop_s


KOGI_BASIN = Deployment(
    name="kogi-basin",
    index="ditch-turns",
    zones=("upper-canal", "middle-canal", "lower-canal"),
    zone_hop_s=0.001,
    groups=deployments.KOGI.groups,
    profile=Profile(
        name="rider-gate",
        index="ditch-turns",
        deadline_ms=80,
        minimum_coverage=0.95,
        extra_load_limit=0.05,
    ),
)

ETAIN_GRAVE = Deployment(
    name="etain-grave",
    index="order-history",
    zones=("port-louis", "curepipe", "rose-hill", "grand-baie"),
    zone_hop_s=0.0015,
    groups=deployments.MAURITIUS.groups,
    profile=Profile(
        name="counter",
        index="order-history",
        deadline_ms=120,
        minimum_coverage=0.99,
        extra_load_limit=0.05,
    ),
)

DEPLOYMENTS = {item.name: item for item in (KOGI_BASIN, ETAIN_GRAVE)}


@dataclass(frozen=True, kw_only=True)
class SearcherSpec:
    """The parameters of one searcher."""

    upstream_id: str
    partition: str
    zone: str
    slots: int
    connections: int
    connect_s: float


def searcher_specs(deployment):
    """Returns all searchers; replicas of a partition are spread over the zones."""
    specs = []
    zones = deployment.zones
    for group in deployment.groups:
        for service in range(group.partitions):
            partition = f"{group.name}-{service}"
            for replica in range(group.replicas):
                specs.append(
                    SearcherSpec(
                        upstream_id=f"{partition}-{replica}",
                        partition=partition,
                        zone=zones[(service + replica) % len(zones)],
                        slots=group.slots,
                        connections=group.connections,
                        connect_s=group.connect_ms / 1000,
                    )
                )
    return specs


def entry_hosts(deployment):
    """Returns the entry hosts, spread over the zones."""
    zones = deployment.zones
    return tuple(
        EntryHost(
            entry_id=f"entry-{number}",
            incarnation="1",
            data_centre=zones[number % len(zones)],
            caller_address="",
            forward_address="",
        )
        for number in range(deployment.entry_hosts)
    )


def assign_owners(specs, hosts, seed):
    """Maps searchers to owners, with different ones for a partition's replicas."""
    rng = random.Random(seed)
    owners = {}
    by_partition = {}
    for spec in specs:
        by_partition.setdefault(spec.partition, []).append(spec)
    for replicas in by_partition.values():
        chosen = rng.sample([host.entry_id for host in hosts], len(replicas))
        for spec, owner in zip(replicas, chosen, strict=True):
            owners[spec.upstream_id] = owner
    return owners


def build_configuration(deployment, searchers, hosts, ownerships, *, version, profiles):
    """Returns the configuration for the present state of the SearcherModels."""
    snapshots = sorted({name for item in searchers for name in item.announced})
    partitions = dict.fromkeys(item.spec.partition for item in searchers)
    documents = {name: DOCUMENTS_PER_PARTITION for name in partitions}
    return Configuration(
        version=version,
        profiles=profiles,
        upstreams=tuple(
            Upstream(
                upstream_id=item.spec.upstream_id,
                incarnation=str(item.incarnation),
                address="",
                data_centre=item.spec.zone,
                index=deployment.index,
                slots=item.spec.slots,
                connections=item.spec.connections,
                holdings=tuple(
                    SnapshotHolding(
                        snapshot=name,
                        partitions=tuple(sorted(item.announced_partitions)),
                    )
                    for name in sorted(item.announced)
                ),
                state=UpstreamState(item.state),
            )
            for item in searchers
        ),
        manifests=tuple(
            Manifest(
                index=deployment.index,
                snapshot=name,
                sequence=int(name.removeprefix("s")),
                documents=documents,
            )
            for name in snapshots
        ),
        entry_hosts=hosts,
        ownerships=ownerships,
    )
