"""The dependencies that the handlers of control requests share."""

from collections.abc import Callable
from dataclasses import dataclass

from plantainstage._agreement.interface import ReplicatedLog
from plantainstage._control.confirmation import BatchedConfirmation
from plantainstage._control.leadership import Leadership
from plantainstage._membership.commands import encode_command
from plantainstage._membership.machine import MembershipMachine


@dataclass(frozen=True, kw_only=True)
class ControlContext:
    """The log, the state machine and the leader's view.

    ``clock`` returns monotonic seconds, ``wall_ms`` Unix time in milliseconds.
    ``keep_bytes`` limits the kept answers of claims while this replica leads.
    """

    log: ReplicatedLog
    machine: MembershipMachine
    confirmation: BatchedConfirmation
    leadership: Leadership
    clock: Callable[[], float]
    wall_ms: Callable[[], int]
    keep_bytes: int

    @classmethod
    def build(cls, *, log, machine, clock, wall_ms, keep_bytes):
        """Returns the context for one replica."""
        confirmation = BatchedConfirmation(log=log)
        return cls(
            log=log,
            machine=machine,
            confirmation=confirmation,
            leadership=Leadership(
                log=log, machine=machine, confirmation=confirmation, clock=clock
            ),
            clock=clock,
            wall_ms=wall_ms,
            keep_bytes=keep_bytes,
        )

    @property
    def state(self):
        """The replicated state as applied on this replica."""
        return self.machine.state

    async def propose(self, command):
        """Commits a command and returns its result.

        Raises NotLeaderError or OutcomeUnknownError.
        """
        return await self.log.propose(encode_command(command))
