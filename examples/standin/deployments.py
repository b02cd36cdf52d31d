"""Descriptions of the two deployments: services, searchers and profiles."""

from dataclasses import dataclass

from plantainstage.messages import configuration


@dataclass(frozen=True, kw_only=True)
class ServiceGroup:
    """Services of one kind; each service is a partition with its replicas.

    ``slots`` and ``connections`` are the caps of each searcher, ``connect_ms`` is
    the time to open a connection.
    """

    name: str
    partitions: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """An index with its searchers and the profiles for its queries."""

    name: str
    index: str
    data_centres: tuple[str, ...]
    groups: tuple[ServiceGroup, ...]
    profiles: tuple[configuration.Profile, ...]


KOGI = Deployment(
    name="kogi",
    index="ditch-turns",
    data_centres=("upper-canal", "middle-canal", "lower-canal"),
    groups=(
        ServiceGroup(
            name="rider-desk",
            partitions=10,
            replicas=3,
            slots=3,
            connections=30,
            connect_ms=6,
        ),
        ServiceGroup(
            name="ward-ledger",
            partitions=15,
            replicas=3,
            slots=3,
            connections=30,
            connect_ms=6,
        ),
        ServiceGroup(
            name="farmer-phone-line",
            partitions=1,
            replicas=5,
            slots=6,
            connections=110,
            connect_ms=1,
        ),
        ServiceGroup(
            name="levy-book",
            partitions=1,
            replicas=3,
            slots=6,
            connections=110,
            connect_ms=1,
        ),
    ),
    profiles=(
        configuration.Profile(
            name="rider-gate",
            index="ditch-turns",
            deadline_ms=400,
            minimum_coverage=0.9,
        ),
        configuration.Profile(
            name="turn-booking",
            index="ditch-turns",
            deadline_ms=2000,
            minimum_coverage=1.0,
        ),
    ),
)

MAURITIUS = Deployment(
    name="mauritius",
    index="order-history",
    data_centres=("port-louis", "curepipe", "rose-hill", "grand-baie"),
    groups=(
        ServiceGroup(
            name="counter-desk",
            partitions=10,
            replicas=3,
            slots=2,
            connections=25,
            connect_ms=6,
        ),
        ServiceGroup(
            name="royalty-ledger",
            partitions=15,
            replicas=3,
            slots=2,
            connections=25,
            connect_ms=6,
        ),
        ServiceGroup(
            name="workshop-queue",
            partitions=1,
            replicas=4,
            slots=6,
            connections=50,
            connect_ms=1,
        ),
        ServiceGroup(
            name="pewter-stock",
            partitions=1,
            replicas=4,
            slots=6,
            connections=50,
            connect_ms=1,
        ),
    ),
    profiles=(
        configuration.Profile(
            name="counter-history",
            index="order-history",
            deadline_ms=800,
            minimum_coverage=1.0,
        ),
        configuration.Profile(
            name="engraving-order",
            index="order-history",
            deadline_ms=2000,
            minimum_coverage=1.0,
        ),
    ),
)

DEPLOYMENTS = {item.name: item for item in (KOGI, MAURITIUS)}


@dataclass(frozen=True, kw_only=True)
class Placement:
    """One searcher of a deployment, without its address."""

    upstream_id: str
    data_centre: str
    partition: str
    slots: int
    connections: int
    connect_ms: float


def manifest_of(deployment, partitions=None):
    """Returns the document count of each partition.

    ``partitions`` limits the number of partitions over all groups.
    """
    names = [
        f"{group.name}-{number:02}"
        for group in deployment.groups
        for number in range(1, group.partitions + 1)
    ]
    return {
        name: 1000 + 10 * position for position, name in enumerate(names[:partitions])
    }


def placements_of(
    deployment, partitions=None, replicas=None, first_replica=1, data_centre=""
):
    """Returns the Placements; ``replicas`` overrides each group's count.

    Replicas are numbered from ``first_replica``, so that two processes can
    run searchers of the same partition. ``data_centre`` selects the searchers of
    one data centre, an empty string those of all.
    """
    manifest = manifest_of(deployment, partitions)
    placements = []
    for group in deployment.groups:
        for number in range(1, group.partitions + 1):
            partition = f"{group.name}-{number:02}"
            if partition not in manifest:
                continue
            count = replicas or group.replicas
            for replica in range(first_replica - 1, first_replica - 1 + count):
                replica_data_centre = deployment.data_centres[
                    replica % len(deployment.data_centres)
                ]
                if data_centre not in ("", replica_data_centre):
                    continue
                placements.append(
                    Placement(
                        upstream_id=f"{partition}-{replica + 1}",
                        data_centre=replica_data_centre,
                        partition=partition,
                        slots=group.slots,
                        connections=group.connections,
                        connect_ms=group.connect_ms,
                    )
                )
    return tuple(placements)
