"""Which data centres are evacuated: the state that control replicates.

An operator's order is a command of the replicated log. The index of the command is the
number of the change that it makes, so that numbers only grow, whichever replica leads
and whichever have lost their disks. A replica that replays commands which its state
already contains changes nothing, which allows it to start with a newer state than its
own log: one that it saved before a restart, or one that another replica sent.
"""

import msgspec

from plantainstage._errors import InvalidDataCentreError

MAX_NAME_CHARACTERS = 64
# Far more than there are data centres; bounds what wrong names can add.
MAX_EVACUATIONS = 64
_VISIBLE = range(0x21, 0x7F)


class RunningEvacuation(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuation in force; the time is the Unix time on the leader's clock."""

    data_centre: str
    started_at_ms: int


class EndedEvacuation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The last evacuation of a data centre; ``number`` is that of its end."""

    data_centre: str
    number: int


class EvacuationState(msgspec.Struct, frozen=True, kw_only=True):
    """All evacuations; ``number`` is the log index of the last change."""

    number: int = 0
    running: tuple[RunningEvacuation, ...] = ()
    ended: tuple[EndedEvacuation, ...] = ()

    @property
    def data_centres(self) -> tuple[str, ...]:
        """The names of the data centres that are evacuated."""
        return tuple(entry.data_centre for entry in self.running)

    def ended_number(self, data_centre: str) -> int:
        """Returns the number of the end of its last evacuation, 0 if there was none."""
        numbers = (e.number for e in self.ended if e.data_centre == data_centre)
        return next(numbers, 0)


class EvacuationOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to start or to end an evacuation.

    ``known`` is the state that the proposing replica knew. A replica that has lost
    changes, for example to a snapshot of an older release, takes them from it.
    """

    data_centre: str
    starts: bool
    at_ms: int
    known: EvacuationState


def check_data_centre(name: str):
    """Raises InvalidDataCentreError for a name that is empty, too long or invisible."""
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        detail = f"it must have 1 to {MAX_NAME_CHARACTERS} characters"
        raise InvalidDataCentreError(detail=detail)
    if not all(ord(character) in _VISIBLE for character in name):
        raise InvalidDataCentreError(detail="it must consist of visible ASCII")


def newest(one: EvacuationState, other: EvacuationState) -> EvacuationState:
    """Returns the state with the higher number."""
    return one if one.number >= other.number else other


def carry_out(
    known: EvacuationState, order: EvacuationOrder, *, index: int
) -> EvacuationState:
    """Returns the state after an order that the log has at ``index``.

    A repeated order, or one whose change ``known`` contains, changes nothing::

        state = carry_out(EvacuationState(), start_of_dc_1, index=4)
        state.data_centres     # ("dc-1",)
    """
    if index <= known.number:
        return known
    state = newest(known, order.known)
    if order.starts:
        return _started(state, order, index)
    return _ended(state, order, index)


def is_carried_out(state: EvacuationState, order: EvacuationOrder) -> bool:
    """Whether a state is as the order demands; not if there were too many."""
    return (order.data_centre in state.data_centres) is order.starts


def _started(state, order, index):
    name = order.data_centre
    if name in state.data_centres or len(state.running) >= MAX_EVACUATIONS:
        return state
    started = RunningEvacuation(data_centre=name, started_at_ms=order.at_ms)
    return EvacuationState(
        number=index,
        running=(*state.running, started),
        ended=_ended_elsewhere(state, name),
    )


def _ended(state, order, index):
    name = order.data_centre
    if name not in state.data_centres:
        return state
    ended = (
        *_ended_elsewhere(state, name),
        EndedEvacuation(data_centre=name, number=index),
    )
    return EvacuationState(
        number=index,
        running=tuple(e for e in state.running if e.data_centre != name),
        ended=ended[-MAX_EVACUATIONS:],
    )


def _ended_elsewhere(state, name):
    return tuple(entry for entry in state.ended if entry.data_centre != name)
