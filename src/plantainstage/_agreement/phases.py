"""Splits the actions of the core into the phases of the driver."""

from dataclasses import dataclass

from plantainstage._agreement.actions import (
    Action,
    InstallSnapshot,
    SaveEntries,
    SaveHardState,
    SavePeer,
    Send,
    StorageAction,
)


@dataclass(frozen=True, kw_only=True)
class Phases:
    """Actions to carry out in order: ``immediate``, ``storage``, ``deferred``.

    The storage actions end with one sync. ``InstallSnapshot`` is in the last two
    phases, since the state machine is restored only once the snapshot is durable.
    """

    immediate: tuple[Send, ...]
    storage: tuple[StorageAction, ...]
    deferred: tuple[Action, ...]


def split_into_phases(batch: list[Action]) -> Phases:
    """Returns the phases of one batch of actions."""
    immediate = []
    storage = []
    deferred = []
    for action in batch:
        match action:
            case Send(after_sync=False):
                immediate.append(action)
            case InstallSnapshot():
                storage.append(action)
                deferred.append(action)
            case SaveHardState() | SaveEntries() | SavePeer():
                storage.append(action)
            case _:
                deferred.append(action)
    return Phases(
        immediate=tuple(immediate), storage=tuple(storage), deferred=tuple(deferred)
    )
