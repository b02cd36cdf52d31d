"""Fingerprints of requests that crash searchers."""

from plantainstage._messages.control import Done

# Every entry host holds the list; the earliest to end make room.
QUARANTINES_KEPT = 10_000


def apply_add_quarantine(state, command):
    """Adds a fingerprint or extends its time."""
    if state.quarantines.get(command.fingerprint, 0) >= command.expires_ms:
        return Done(version=state.version)
    state.quarantines[command.fingerprint] = command.expires_ms
    if len(state.quarantines) > QUARANTINES_KEPT:
        first = min(state.quarantines, key=lambda name: (state.quarantines[name], name))
        del state.quarantines[first]
    return Done(version=state.raise_version())


def apply_expire_quarantines(state, command):
    """Drops the fingerprints whose time has passed."""
    expired = [
        name for name, until in state.quarantines.items() if until <= command.now_ms
    ]
    for name in expired:
        del state.quarantines[name]
    if expired:
        state.raise_version()
    return Done(version=state.version)
