"""The leader's task that commits the commands planned from its view."""

import asyncio

from loguru import logger

from plantainstage._errors import NotLeaderError, OutcomeUnknownError
from plantainstage._membership import commands
from plantainstage._membership.reconciliation import plan_commands

RECONCILE_INTERVAL_S = 0.1
LOGGED_CHARACTERS = 500  # a command can name thousands of searchers


class Reconciler:
    """Proposes ownership moves, lost searchers and other planned commands."""

    def __init__(self, *, control_context):
        self.control_context = control_context

    async def run(self):
        """Reconciles until cancelled, whenever this replica leads."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            if self.control_context.log.is_leader:
                await self.reconcile()

    async def reconcile(self):
        """Commits one round of commands; lost leadership ends the round."""
        try:
            view = await self.control_context.leadership.view()
            planned = plan_commands(
                state=self.control_context.state,
                view=view,
                now=self.control_context.clock(),
                now_ms=self.control_context.wall_ms(),
            )
            # Until the removal of a host is committed, it is granted no lease.
            view.expiring.update(_expiring(planned))
            try:
                await asyncio.gather(*map(self._propose, planned))
            finally:
                view.expiring.difference_update(_expiring(planned))
        except (NotLeaderError, OutcomeUnknownError) as error:
            logger.info("reconciliation interrupted", reason=str(error))

    async def _propose(self, command):
        logger.info(
            "reconciling",
            command=type(command).__name__,
            detail=str(command)[:LOGGED_CHARACTERS],
        )
        await self.control_context.propose(command)


def _expiring(planned):
    return {
        command.entry_id
        for command in planned
        if isinstance(command, commands.RemoveEntry)
    }
