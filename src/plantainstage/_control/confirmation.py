"""Batches the confirmations of leadership for concurrent requests."""

import asyncio


class BatchedConfirmation:
    """Shares confirmations of leadership between waiting requests.

    A confirmation proves leadership only for requests that arrived before it
    started. A request therefore never joins a confirmation in progress, but waits
    for the next one.
    """

    def __init__(self, *, log):
        self.log = log
        self.running = None
        self.next = None
        self.started = 0

    async def confirm(self):
        """Returns the confirmed commit index; raises NotLeaderError."""
        if self.next is None:
            self.next = asyncio.create_task(self._run_after(self.running))
        # Cancelling one waiting request must not fail the others.
        return await asyncio.shield(self.next)

    async def _run_after(self, previous):
        if previous is not None:
            await asyncio.wait([previous])
        self.running, self.next = self.next, None
        self.started += 1
        return await self.log.confirm_leadership()
