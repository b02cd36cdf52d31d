"""Settings of one replica of the replicated log."""

from dataclasses import dataclass, field

from plantainstage._agreement.state import Timing
from plantainstage._control.snapshot_policy import SnapshotPolicy


@dataclass(frozen=True, kw_only=True)
class InitialMember:
    """A replica of the initial member list of a new group."""

    replica_id: str
    client_address: str
    peer_address: str


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of one replica.

    ``bootstrap`` lists all replicas of a new group, including this one. It is
    given at the first start only; a folder that has state refuses it. A replica
    without it joins the group that its folder belongs to, or stays empty until a
    leader adds it as a learner.
    """

    replica_id: str
    data_folder: str
    client_address: str
    peer_address: str
    bootstrap: tuple[InitialMember, ...] = ()
    snapshots: SnapshotPolicy = field(default_factory=SnapshotPolicy)
    group_commit: bool = True
    timing: Timing = field(default_factory=Timing)
