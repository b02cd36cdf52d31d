"""Types of the replicated configuration that every entry host holds.

A ``Configuration`` is a complete value for one version, so that an entry host
never combines parts of two versions.
"""

import enum

import msgspec


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """What a service is promised, published by operators under a name.

    ``deadline_ms`` is the time by which the tier replies to a caller.
    ``late_fraction`` is the share of a minute's requests that may be answered
    later, or be refused, before the minute counts as violated; at least this
    holds in the worst minute. ``minimum_coverage`` is a share of documents.
    ``extra_load_limit`` is the share of extra sub-requests (hedges, retries,
    cancelled work, probes) over first sub-requests in any minute. ``weight``
    sets the share of a profile under overload.

    For example ``Profile(name="rider-gate", index="ditch-turns",
    deadline_ms=80, late_fraction=0.01, minimum_coverage=0.95,
    extra_load_limit=0.05)``.
    """

    name: str
    index: str
    deadline_ms: int
    late_fraction: float = 0.01
    minimum_coverage: float = 1.0
    extra_load_limit: float = 0.05
    weight: int = 1


class UpstreamState(enum.Enum):
    """Whether an upstream may get new work.

    ``DRAINING`` is the upstream's own word, ``OUT`` an operator's, ``LOST``
    means that its announcements stopped.
    """

    SERVING = "serving"
    DRAINING = "draining"
    OUT = "out"
    LOST = "lost"


class SnapshotHolding(msgspec.Struct, frozen=True, kw_only=True):
    """The partitions of one snapshot that one searcher holds."""

    snapshot: str
    partitions: tuple[str, ...]


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """All partitions of a snapshot with their document counts.

    ``sequence`` orders the snapshots of an index; a larger one is newer.
    """

    index: str
    snapshot: str
    sequence: int
    documents: dict[str, int]


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A registered searcher with its caps (``slots``, ``connections``).

    ``incarnation`` is chosen by the searcher at each start, so that a restart
    (with cold caches and no connections) is told from a late announcement.
    """

    upstream_id: str
    incarnation: str
    address: str
    data_centre: str
    index: str
    slots: int
    connections: int
    holdings: tuple[SnapshotHolding, ...]
    state: UpstreamState = UpstreamState.SERVING


class EntryHost(msgspec.Struct, frozen=True, kw_only=True):
    """An entry host as registered with control.

    ``caller_address`` takes HTTP requests, ``forward_address`` takes
    sub-requests from other entry hosts. Both are ``IP:port``.
    """

    entry_id: str
    incarnation: str
    data_centre: str
    caller_address: str
    forward_address: str


class Ownership(msgspec.Struct, frozen=True, kw_only=True):
    """The entry host through which all sub-requests to a searcher pass.

    ``epoch`` rises with each assignment of the searcher and fences owners of
    earlier epochs. ``active`` is false while the previous owner may still have
    work on the searcher; nobody may send then.
    """

    upstream_id: str
    entry_id: str
    epoch: int
    active: bool


class Quarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A request fingerprint that is refused until ``expires_ms`` (Unix time).

    ``searchers`` lists those that are known to have crashed while they ran a
    request of this ``index``; ``since_ms`` is the Unix time of the first report.
    """

    fingerprint: str
    expires_ms: int
    index: str = ""
    since_ms: int = 0
    searchers: tuple[str, ...] = ()


class LiftedQuarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A quarantine that an operator lifted in configuration ``version``.

    It is listed until the quarantine would have ended, for hosts that know the
    quarantine from a notice only.
    """

    fingerprint: str
    version: int
    expires_ms: int


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The complete configuration of one ``version``."""

    version: int
    profiles: tuple[Profile, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    manifests: tuple[Manifest, ...] = ()
    entry_hosts: tuple[EntryHost, ...] = ()
    ownerships: tuple[Ownership, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    lifted: tuple[LiftedQuarantine, ...] = ()
