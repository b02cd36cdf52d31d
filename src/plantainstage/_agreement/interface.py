"""Interfaces between the replicated log, its state machine and its callers."""

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine, driven by committed commands.

    The result of ``apply`` depends only on the commands applied so far, never on a
    clock or on randomness, so that all replicas reach the same state.
    """

    def apply(self, *, index: int, command: bytes) -> object:
        """Applies the committed command at ``index`` and returns its result."""

    def take_snapshot(self) -> bytes:
        """Returns the complete state in serialised form."""

    def restore(self, *, snapshot: bytes) -> None:
        """Replaces the complete state by that of a snapshot."""


class ReplicatedLog(Protocol):
    """The replicated log as the control service uses it."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader."""

    @property
    def leader_address(self) -> str:
        """The client address of the last known leader, or an empty string."""

    @property
    def term(self) -> int:
        """The current Raft term."""

    async def propose(self, command: bytes) -> object:
        """Commits a command and returns the state machine's result for it.

        Raises NotLeaderError when nothing was proposed and
        OutcomeUnknownError when the command may or may not commit.
        """

    async def confirm_leadership(self) -> int:
        """Confirms with a quorum that this replica still leads after this call.

        Returns the commit index up to which a linearizable read must see the log,
        once that index is applied locally. Raises NotLeaderError.
        """
