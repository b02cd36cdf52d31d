"""The replicated state machine, and what its leader derives from the state."""

from plantainstage._membership import commands
from plantainstage._membership.leader import LeaderView
from plantainstage._membership.leases import EntryLeases
from plantainstage._membership.machine import MembershipMachine
from plantainstage._membership.planner import plan_owners
from plantainstage._membership.profiles import profile_faults
from plantainstage._membership.reconciliation import plan_commands

__all__ = [
    "EntryLeases",
    "LeaderView",
    "MembershipMachine",
    "commands",
    "plan_commands",
    "plan_owners",
    "profile_faults",
]
