"""A configuration version, prepared for routing decisions.

The view is built once per version, so that partitions and replicas need not be
looked up by name for every sub-request.
"""

from plantainstage._messages.configuration import UpstreamState


class Replica:
    """A searcher that may receive sub-requests, with its owner and its estimate."""

    __slots__ = ("upstream_id", "owner_id", "epoch", "hop_s", "estimate")

    def __init__(self, *, upstream_id, owner_id, epoch, hop_s, estimate):
        self.upstream_id = upstream_id
        self.owner_id = owner_id
        self.epoch = epoch
        self.hop_s = hop_s
        self.estimate = estimate


class PartitionView:
    """A partition of a snapshot, with its document count and eligible replicas."""

    __slots__ = ("name", "documents", "replicas", "latency", "wait")

    def __init__(self, *, name, documents, replicas, latency, wait):
        self.name = name
        self.documents = documents
        self.replicas = replicas
        self.latency = latency
        self.wait = wait


class SnapshotView:
    """A snapshot of an index.

    ``available`` counts the documents of partitions with an eligible replica.
    """

    def __init__(self, *, index, snapshot, partitions):
        self.index = index
        self.snapshot = snapshot
        self.partitions = partitions
        self.by_name = {item.name: item for item in partitions}
        self.total = sum(item.documents for item in partitions)
        self.available = available_documents(partitions)

    def restricted_to(self, names):
        """Returns each partition in ``names`` once, or None if one is unknown."""
        if not all(name in self.by_name for name in names):
            return None
        return tuple(self.by_name[name] for name in dict.fromkeys(names))


def available_documents(partitions):
    """Counts the documents of partitions that have an eligible replica."""
    return sum(item.documents for item in partitions if item.replicas)


class ConfigurationView:
    """Profiles by name, and snapshots by index from newest to oldest.

    A replica is eligible if it is serving and its ownership is active: while
    ownership moves, no host may send to the searcher. For example::

        view = ConfigurationView(configuration=configuration, routing=routing)
        profile = view.profiles["rider-gate"]
    """

    def __init__(self, *, configuration, routing):
        self.version = configuration.version
        self.profiles = {item.name: item for item in configuration.profiles}
        self.snapshots = {}
        holders = self._holders(configuration, routing)
        newest_first = sorted(
            configuration.manifests, key=lambda item: item.sequence, reverse=True
        )
        for manifest in newest_first:
            partitions = tuple(
                PartitionView(
                    name=name,
                    documents=documents,
                    replicas=tuple(
                        holders.get((manifest.index, manifest.snapshot, name), ())
                    ),
                    latency=routing.partition_latency(manifest.index, name),
                    wait=routing.partition_wait(manifest.index, name),
                )
                for name, documents in manifest.documents.items()
            )
            self.snapshots.setdefault(manifest.index, []).append(
                SnapshotView(
                    index=manifest.index,
                    snapshot=manifest.snapshot,
                    partitions=partitions,
                )
            )

    def _holders(self, configuration, routing):
        data_centres = {
            item.entry_id: item.data_centre for item in configuration.entry_hosts
        }
        owners = {
            item.upstream_id: item for item in configuration.ownerships if item.active
        }
        holders = {}
        for upstream in configuration.upstreams:
            owner = owners.get(upstream.upstream_id)
            if owner is None or upstream.state is not UpstreamState.SERVING:
                continue
            replica = Replica(
                upstream_id=upstream.upstream_id,
                owner_id=owner.entry_id,
                epoch=owner.epoch,
                hop_s=routing.hop_s(
                    owner.entry_id, data_centres.get(owner.entry_id, "")
                ),
                estimate=routing.estimate(
                    upstream, data_centres.get(owner.entry_id, "")
                ),
            )
            for holding in upstream.holdings:
                for partition in holding.partitions:
                    key = (upstream.index, holding.snapshot, partition)
                    holders.setdefault(key, []).append(replica)
        return holders


def start_ramps(*, before, after, routing, now):
    """Starts the ramp-up of searchers that started between two versions.

    With the first version of an entry host it is unknown which searchers have just
    started, so none is ramped up.
    """
    known = {item.upstream_id: item.incarnation for item in before.upstreams}
    if known:
        for upstream in after.upstreams:
            if known.get(upstream.upstream_id) != upstream.incarnation:
                routing.start_ramp(upstream.upstream_id, now)


def choose_snapshot(view, index, names, minimum_coverage):
    """Returns the snapshot view to query and its requested partitions, or None.

    This is the newest snapshot with full coverage, or else the newest that reaches
    the minimum coverage, or else the newest with the highest attainable coverage.
    Snapshots that lack a partition in ``names`` are skipped.
    """
    reaching = best = None
    best_fraction = -1.0
    for snapshot in view.snapshots.get(index, ()):
        if names:
            requested = snapshot.restricted_to(names)
            if requested is None:
                continue
            total = sum(item.documents for item in requested)
            available = available_documents(requested)
        else:
            requested = snapshot.partitions
            total, available = snapshot.total, snapshot.available
        if available == total and all(item.replicas for item in requested):
            return snapshot, requested
        fraction = available / total if total else 1.0
        if reaching is None and fraction >= minimum_coverage:
            reaching = (snapshot, requested)
        if fraction > best_fraction:
            best, best_fraction = (snapshot, requested), fraction
    return reaching or best
