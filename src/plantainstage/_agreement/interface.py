"""The boundary between agreement and the state machine that it replicates."""

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine, driven by committed commands.

    The result of ``apply`` depends only on earlier commands, never on a clock
    or on randomness: each replica must reach the same state.
    """

    def apply(self, *, index: int, command: bytes) -> object:
        """Applies the committed command at ``index`` and returns its result."""

    def take_snapshot(self) -> bytes:
        """Returns the complete state."""

    def restore(self, *, snapshot: bytes) -> None:
        """Replaces the complete state."""


class ReplicatedLog(Protocol):
    """What the control service needs from agreement."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader."""

    @property
    def leader_address(self) -> str:
        """The client address of the last known leader, or an empty string."""

    @property
    def term(self) -> int:
        """The current term; it rises with each election."""

    async def propose(self, command: bytes) -> object:
        """Commits a command and returns the state machine's result for it.

        Raises NotLeaderError when nothing was proposed and
        OutcomeUnknownError when the command may or may not commit.
        """

    async def confirm_leadership(self) -> int:
        """Confirms with a quorum, after this call, that this replica leads.

        Returns the commit index that a linearizable read has to see, once it
        is applied locally. Raises NotLeaderError.
        """
