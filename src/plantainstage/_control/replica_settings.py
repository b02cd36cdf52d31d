"""Settings of one replica of the replicated log."""

from dataclasses import dataclass, field

from plantainstage._agreement.state import Timing


@dataclass(frozen=True, kw_only=True)
class InitialMember:
    """A replica of the initial member list of a new group."""

    replica_id: str
    client_address: str
    peer_address: str


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of one replica.

    ``bootstrap`` lists all replicas of a new group, this one included. It is
    given at the first start only; a folder that has state refuses it. A replica
    without it joins the group that its folder belongs to, or waits as an empty
    one until the leader adds it as a learner.

    A snapshot is taken after ``snapshot_entries`` entries or ``snapshot_bytes``
    of log, which bounds the time of a restart.
    """

    replica_id: str
    data_folder: str
    client_address: str
    peer_address: str
    bootstrap: tuple[InitialMember, ...] = ()
    snapshot_entries: int = 250
    snapshot_bytes: int = 8 * 1024 * 1024
    group_commit: bool = True
    timing: Timing = field(default_factory=Timing)
