"""Types of the replicated configuration that every entry host holds.

Each ``Configuration`` contains all of one version, so that an entry host never
combines parts of two versions. "Upstream" in names means a searcher.
"""

import enum

import msgspec


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """The service levels of one service, published by operators under a name.

    ``deadline_ms`` is the time within which the tier replies to a caller.
    ``late_fraction`` is the share of a minute's requests that may be answered later,
    or be refused, before the minute counts as violated; the objective holds for
    every minute, including the worst. ``minimum_coverage`` is a share of the documents.
    ``extra_load_limit`` bounds the ratio of extra sub-requests (hedges, retries,
    cancelled work, probes) to first sub-requests in any minute. ``weight`` sets the
    profile's share of the capacity under overload, relative to the other profiles.

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
    """Whether a searcher may get new work.

    ``DRAINING`` is announced by the searcher, ``OUT`` is set by an operator, and
    ``LOST`` means that its announcements have stopped.
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
    """All partitions of a snapshot, with their numbers of documents.

    ``sequence`` orders the snapshots of an index; a larger one is newer.
    """

    index: str
    snapshot: str
    sequence: int
    documents: dict[str, int]


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A registered searcher.

    ``slots`` and ``connections`` are its limits on concurrent sub-requests and on
    open connections. The searcher chooses a new ``incarnation`` at each start, so
    that a restart (with cold caches and no connections) can be distinguished from a
    late announcement.
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
    """An entry host that is registered with control.

    It accepts HTTP requests of callers at ``caller_address`` and sub-requests from
    other entry hosts at ``forward_address``. Both have the form ``IP:port``.
    """

    entry_id: str
    incarnation: str
    data_centre: str
    caller_address: str
    forward_address: str


class Ownership(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a searcher: the entry host that sends it all sub-requests.

    ``epoch`` increases with each assignment of the searcher and fences owners of
    earlier epochs. ``active`` is false while the previous owner may still have work
    on the searcher; no entry host may send sub-requests to it during this time.
    """

    upstream_id: str
    entry_id: str
    epoch: int
    active: bool


class Quarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A request fingerprint that is refused until ``expires_ms`` (Unix time).

    ``searchers`` lists the searchers of ``index`` that are known to have crashed
    while they ran such a request. ``since_ms`` is the Unix time of the first report.
    """

    fingerprint: str
    expires_ms: int
    index: str = ""
    since_ms: int = 0
    searchers: tuple[str, ...] = ()


class LiftedQuarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A quarantine that an operator lifted in configuration ``version``.

    It is kept until the quarantine would have ended, for the hosts that know the
    quarantine only from a notice.
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
