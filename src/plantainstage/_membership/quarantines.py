"""Commands that quarantine fingerprints of requests that crash searchers."""

from plantainstage._membership.state import QuarantineCause
from plantainstage._messages.configuration import LiftedQuarantine
from plantainstage._messages.control import Done

# Every entry host holds the whole list. Beyond this number the quarantine that
# expires first is removed.
QUARANTINES_KEPT = 10_000


def apply_add_quarantine(state, command):
    """Quarantines a fingerprint, or extends its quarantine."""
    name = command.fingerprint
    if state.quarantines.get(name, 0) >= command.expires_ms:
        return Done(version=state.version)
    state.quarantines[name] = command.expires_ms
    state.causes[name] = _merged(state.causes.get(name), command)
    state.lifted.pop(name, None)
    if len(state.quarantines) > QUARANTINES_KEPT:
        earliest = min(
            state.quarantines, key=lambda name: (state.quarantines[name], name)
        )
        _drop(state, earliest)
    return Done(version=state.increment_version())


def lift_quarantine(state, name):
    """Ends a quarantine; the lift is listed until the quarantine would have expired."""
    expires_ms = state.quarantines[name]
    _drop(state, name)
    version = state.increment_version()
    state.lifted[name] = LiftedQuarantine(
        fingerprint=name, version=version, expires_ms=expires_ms
    )


def next_expiry_ms(state):
    """Returns when the next quarantine, lifted or not, expires; None without any."""
    times = [*state.quarantines.values()]
    times.extend(item.expires_ms for item in state.lifted.values())
    return min(times, default=None)


def apply_expire_quarantines(state, command):
    """Removes expired quarantines, and lifted ones that would have expired."""
    expired = [
        name for name, until in state.quarantines.items() if until <= command.now_ms
    ]
    for name in expired:
        _drop(state, name)
    ended = [
        name for name, item in state.lifted.items() if item.expires_ms <= command.now_ms
    ]
    for name in ended:
        del state.lifted[name]
    if expired or ended:
        state.increment_version()
    return Done(version=state.version)


def _drop(state, name):
    del state.quarantines[name]
    state.causes.pop(name, None)


def _merged(known, command):
    if known is None:
        known = QuarantineCause(index=command.index, since_ms=command.since_ms)
    return QuarantineCause(
        index=known.index or command.index,
        since_ms=known.since_ms,
        searchers=tuple(sorted({*known.searchers, *command.searchers})),
    )
