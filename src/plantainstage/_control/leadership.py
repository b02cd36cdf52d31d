"""Keeps the leader's view of the current term."""

import asyncio

from plantainstage._errors import NotLeaderError
from plantainstage._membership.leader import LeaderView


class Leadership:
    """Creates a new view for each term that this replica leads.

    The view starts from the state that the first confirmed read of the term
    sees. Its leases count from the moment at which this replica noticed the new
    term, because earlier leaders confirmed their leases before that.
    """

    def __init__(self, *, log, machine, confirmation, clock):
        self.log = log
        self.machine = machine
        self.confirmation = confirmation
        self.clock = clock
        self.current = None
        self.lock = asyncio.Lock()

    def require_leader(self):
        """Raises NotLeaderError unless this replica believes that it leads."""
        if not self.log.is_leader:
            raise NotLeaderError(leader_address=self.log.leader_address)

    async def view(self):
        """Returns the view of the current term; raises NotLeaderError."""
        self.require_leader()
        if self._is_current():
            return self.current
        async with self.lock:
            self.require_leader()
            if not self._is_current():
                await self._begin()
        return self.current

    def still_leads(self, view):
        """Whether ``view`` belongs to the term that this replica leads."""
        return self.log.is_leader and self.log.term == view.term

    def require_current(self, view):
        """Raises NotLeaderError unless ``view`` is still the current one."""
        if not self.still_leads(view):
            raise NotLeaderError(leader_address=self.log.leader_address)

    def _is_current(self):
        return self.current is not None and self.current.term == self.log.term

    async def _begin(self):
        term = self.log.term
        noticed_at = self.clock()
        await self.confirmation.confirm()
        if not self.log.is_leader or self.log.term != term:
            raise NotLeaderError(leader_address=self.log.leader_address)
        self.current = LeaderView.begin(
            term=term, state=self.machine.state, now=noticed_at
        )
