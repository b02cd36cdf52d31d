"""An in-memory log of a single replica, for trials and benchmarks.

Nothing is replicated, and nothing is kept when the process ends.
"""

from plantainstage._agreement.membership import (
    MemberChangeProblem,
    MemberChangeRefusedError,
)
from plantainstage._messages.control import ReplicaStatus


class MemoryLog:
    """Applies each command immediately and is always the leader."""

    def __init__(self, *, machine, address):
        self.machine = machine
        self.address = address
        self.index = 0

    @property
    def is_leader(self):
        """Always true: there is no other replica."""
        return True

    @property
    def leader_address(self):
        """The client address of this replica."""
        return self.address

    @property
    def term(self):
        """Always the first term: there are no elections."""
        return 1

    async def propose(self, command):
        """Applies a command and returns the machine's result."""
        self.index += 1
        return self.machine.apply(index=self.index, command=command)

    async def confirm_leadership(self):
        """Returns the index of the last applied command."""
        return self.index

    def members(self):
        """Returns the status of the only replica."""
        return (
            ReplicaStatus(
                replica_id="in-memory",
                incarnation="",
                client_address=self.address,
                peer_address="",
                voter=True,
                leader=True,
                match_index=self.index,
                last_heard_ms=0,
            ),
        )

    async def change_member(self, action, replica):
        """Raises MemberChangeRefusedError: the set of replicas is fixed."""
        raise MemberChangeRefusedError(
            action=action,
            member_id=replica.member_id,
            problem=MemberChangeProblem.LAST_VOTER,
        )
