"""What the core asks its driver to do.

The driver handles a batch of events, then carries out the collected actions in
these phases: messages with ``after_sync`` false; all storage actions in order,
followed by one sync; ``Core.synced``; then everything else in order. A message
with ``after_sync`` true states that something is durable.
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
    """Send a message; it may be lost, repeated or reordered on the way."""

    receiver: MemberId
    message: PeerMessage
    after_sync: bool


@dataclass(frozen=True, kw_only=True)
class SaveHardState:
    """Make the term and the vote in it durable."""

    term: int
    vote: MemberId | None


@dataclass(frozen=True, kw_only=True)
class SaveEntries:
    """Make entries durable; they replace all from the first one's index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True)
class SavePeer:
    """Make the record of a peer's boot durable."""

    record: PeerRecord


@dataclass(frozen=True, kw_only=True)
class InstallSnapshot:
    """Make a received snapshot durable, drop the whole log and restore it."""

    snapshot: Snapshot


@dataclass(frozen=True, kw_only=True)
class Apply:
    """These entries are committed; apply them in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True)
class ReadReady:
    """Leadership was confirmed after the request; read at ``index`` or later."""

    request: int
    index: int


@dataclass(frozen=True, kw_only=True)
class ReadFailed:
    """Leadership ended before it was confirmed."""

    request: int


@dataclass(frozen=True, kw_only=True)
class LeaderChanged:
    """A leader became known or unknown in ``term``."""

    leader: MemberId | None
    term: int


@dataclass(frozen=True, kw_only=True)
class Stop:
    """The replica must not go on."""

    error: PlantainstageError


StorageAction = SaveHardState | SaveEntries | SavePeer | InstallSnapshot
Action = Send | StorageAction | Apply | ReadReady | ReadFailed | LeaderChanged | Stop
