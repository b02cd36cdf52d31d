"""Queries of the replicated state; they change nothing."""

import msgspec

from plantainstage._membership.state import QuarantineCause
from plantainstage._messages.configuration import (
    Configuration,
    Ownership,
    Quarantine,
)


def build_configuration(state):
    """Returns the complete configuration of the state's version."""
    return Configuration(
        version=state.version,
        profiles=tuple(state.profiles[name] for name in sorted(state.profiles)),
        upstreams=tuple(
            msgspec.structs.replace(
                state.upstreams[name].announced,
                state=state.upstream_state(state.upstreams[name]),
            )
            for name in sorted(state.upstreams)
        ),
        manifests=tuple(state.manifests[key] for key in sorted(state.manifests)),
        entry_hosts=tuple(state.entries[name] for name in sorted(state.entries)),
        ownerships=tuple(
            Ownership(
                upstream_id=name,
                entry_id=record.owner.entry_id,
                epoch=record.epoch,
                active=record.active,
            )
            for name, record in sorted(state.ownerships.items())
            if record.owner is not None and name in state.upstreams
        ),
        quarantines=tuple(
            _quarantine(state, name) for name in sorted(state.quarantines)
        ),
        lifted=tuple(state.lifted[name] for name in sorted(state.lifted)),
    )


def _quarantine(state, name):
    cause = state.causes.get(name, QuarantineCause())
    return Quarantine(
        fingerprint=name,
        expires_ms=state.quarantines[name],
        index=cause.index,
        since_ms=cause.since_ms,
        searchers=cause.searchers,
    )


def longest_deadline_ms(state):
    """Returns the longest deadline that a running request may have."""
    deadlines = [profile.deadline_ms for profile in state.profiles.values()]
    deadlines.extend(state.retired_deadlines.values())
    return max(deadlines, default=0)


def partitions_of(upstream):
    """Returns the names of all partitions that a searcher holds."""
    return {
        f"{upstream.index}/{partition}"
        for holding in upstream.holdings
        for partition in holding.partitions
    }
