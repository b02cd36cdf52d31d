"""Advances the commit index of a leader or follower."""

from plantainstage._agreement.actions import Apply
from plantainstage._agreement.state import CoreState
from plantainstage._errors import check_invariant


def commit_up_to(state: CoreState, index):
    """Raises the commit index to ``index`` and adds the action that applies entries."""
    check_invariant(
        state.commit_index < index <= state.log.last.index,
        invariant="the commit index only rises, within the log",
        detail=f"{state.commit_index} to {index} of {state.log.last.index}",
    )
    entries = state.log.between(state.commit_index + 1, index)
    state.commit_index = index
    state.actions.append(Apply(entries=entries))
