"""The replicated log: its interface, the Raft core and the replica with settings."""

from plantainstage._agreement.core import Core, DurableState
from plantainstage._agreement.interface import ReplicatedLog, StateMachine
from plantainstage._agreement.membership import (
    MemberChangeProblem,
    MemberChangeRefusedError,
)
from plantainstage._agreement.state import Timing
from plantainstage._control.replica import Replica
from plantainstage._control.replica_settings import InitialMember, ReplicaSettings
from plantainstage._messages.agreement import Member, MemberId

__all__ = [
    "Core",
    "DurableState",
    "InitialMember",
    "Member",
    "MemberChangeProblem",
    "MemberChangeRefusedError",
    "MemberId",
    "Replica",
    "ReplicaSettings",
    "ReplicatedLog",
    "StateMachine",
    "Timing",
]
