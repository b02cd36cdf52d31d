"""Actions that the Raft core returns for its driver to carry out.

The driver passes a batch of events to the core, then carries out the collected
actions in phases: first the messages with ``after_sync`` false; then all storage
actions in order, followed by one sync; then ``Core.synced``; then all other actions
in order. A message with ``after_sync`` true states that something is durable, so it
must not be sent before the sync.
"""

from dataclasses import dataclass

from plantainstage._errors import PlantainstageError
from plantainstage._messages.agreement import (
    Entry,
    MemberId,
    PeerMessage,
    PeerRecord,
    Snapshot,
)


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message; the network may lose, duplicate or reorder it."""

    receiver: MemberId
    message: PeerMessage
    after_sync: bool


@dataclass(frozen=True, kw_only=True)
class SaveHardState:
    """Make the current term and the vote cast in it durable."""

    term: int
    vote: MemberId | None


@dataclass(frozen=True, kw_only=True)
class SaveEntries:
    """Make entries durable; they replace the log from the first one's index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True)
class SavePeer:
    """Make the record of a peer's boot durable."""

    record: PeerRecord


@dataclass(frozen=True, kw_only=True)
class InstallSnapshot:
    """Make a received snapshot durable, drop the log and restore the state from it."""

    snapshot: Snapshot


@dataclass(frozen=True, kw_only=True)
class Apply:
    """Apply these committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True)
class ReadReady:
    """Leadership was confirmed after the read began; read at ``index`` or later."""

    request: int
    index: int


@dataclass(frozen=True, kw_only=True)
class ReadFailed:
    """Leadership ended before it could be confirmed for this read."""

    request: int


@dataclass(frozen=True, kw_only=True)
class LeaderChanged:
    """The leader of ``term`` became known, or is no longer known (None)."""

    leader: MemberId | None
    term: int


@dataclass(frozen=True, kw_only=True)
class Stop:
    """Stop the replica because of ``error``."""

    error: PlantainstageError


StorageAction = SaveHardState | SaveEntries | SavePeer | InstallSnapshot
Action = Send | StorageAction | Apply | ReadReady | ReadFailed | LeaderChanged | Stop
