"""Commands that register searchers and the manifests of their snapshots."""

import msgspec

from plantainstage._membership.ownership import fence_searcher
from plantainstage._membership.profiles import NAME_PATTERN
from plantainstage._membership.state import ManifestKey, UpstreamRecord
from plantainstage._messages import control
from plantainstage._messages.configuration import UpstreamState
from plantainstage._settings.base import is_address

# A delayed announcement arrives within seconds, so that older incarnations need not
# be remembered.
INCARNATIONS_KEPT = 16


def apply_register_upstreams(state, command):
    """Registers announced searchers; each one is accepted or refused on its own."""
    manifests, conflicts = _merge_manifests(state, command.manifests)
    refused = {}
    accepted = []
    for upstream in command.upstreams:
        reason = _refusal(state, upstream, manifests, conflicts)
        if reason:
            refused[upstream.upstream_id] = reason
        else:
            accepted.append(upstream)
    changed = False
    for upstream in accepted:
        changed |= _register(state, upstream, manifests)
    if changed:
        _drop_unreferenced_manifests(state)
        state.increment_version()
    return control.AnnouncementsTaken(refused=refused)


def manifest_key(manifest):
    """Returns the index and the snapshot that a manifest describes."""
    return ManifestKey(index=manifest.index, snapshot=manifest.snapshot)


def holding_keys(upstream):
    """Returns the manifest keys of all snapshots that a searcher holds."""
    return [
        ManifestKey(index=upstream.index, snapshot=holding.snapshot)
        for holding in upstream.holdings
    ]


def _merge_manifests(state, announced):
    """Returns known and announced manifests by key, and the conflicting keys."""
    merged = {}
    conflicts = set()
    for manifest in announced:
        key = manifest_key(manifest)
        known = state.manifests.get(key) or merged.get(key)
        if known is not None and known != manifest:
            conflicts.add(key)
        merged.setdefault(key, manifest)
    return {**merged, **state.manifests}, conflicts


def _refusal(state, upstream, manifests, conflicts):
    """Returns the code of the reason to refuse an announcement, or None."""
    record = state.upstreams.get(upstream.upstream_id)
    if not (
        NAME_PATTERN.fullmatch(upstream.upstream_id)
        and is_address(upstream.address)
        and upstream.slots > 0
        and upstream.connections > 0
        and upstream.state in (UpstreamState.SERVING, UpstreamState.DRAINING)
    ):
        return "invalid_announcement"
    if record is not None and upstream.incarnation in record.superseded:
        return "superseded_incarnation"
    for holding, key in zip(upstream.holdings, holding_keys(upstream), strict=True):
        if key in conflicts:
            return "manifest_conflict"
        if key not in manifests:
            return "manifest_missing"
        if not set(holding.partitions) <= set(manifests[key].documents):
            return "unknown_partition"
    return None


def _register(state, upstream, manifests):
    """Stores an accepted announcement; returns whether anything changed."""
    old = state.upstreams.get(upstream.upstream_id)
    superseded = old.superseded if old is not None else ()
    if old is not None and old.announced.incarnation != upstream.incarnation:
        superseded = (*superseded, old.announced.incarnation)[-INCARNATIONS_KEPT:]
    elif old is not None and old.announced.state is UpstreamState.DRAINING:
        # A delayed announcement from before the drain must not revert it.
        upstream = msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
    record = UpstreamRecord(announced=upstream, superseded=superseded)
    if record == old:
        return False
    state.upstreams[upstream.upstream_id] = record
    for key in holding_keys(upstream):
        state.manifests.setdefault(key, manifests[key])
    return True


def _drop_unreferenced_manifests(state):
    held = {
        key
        for record in state.upstreams.values()
        for key in holding_keys(record.announced)
    }
    for key in tuple(state.manifests):
        if key not in held:
            del state.manifests[key]


def apply_mark_upstreams_lost(state, command):
    """Marks searchers as lost whose heartbeat lease expired, unless they restarted."""
    changed = False
    for process in command.upstreams:
        record = state.upstreams.get(process.upstream_id)
        if (
            record is not None
            and record.announced.incarnation == process.incarnation
            and not record.lost
        ):
            state.upstreams[process.upstream_id] = msgspec.structs.replace(
                record, lost=True
            )
            changed = True
    if changed:
        state.increment_version()
    return control.Done(version=state.version)


def apply_forget_upstreams(state, command):
    """Removes searchers that are still lost, and fences their owners."""
    forgotten = [
        process.upstream_id
        for process in command.upstreams
        if (record := state.upstreams.get(process.upstream_id)) is not None
        and record.lost
        and record.announced.incarnation == process.incarnation
    ]
    if forgotten:
        version = state.increment_version()
        for upstream_id in forgotten:
            del state.upstreams[upstream_id]
            fence_searcher(state, upstream_id, owner=None, version=version)
        _drop_unreferenced_manifests(state)
    return control.Done(version=state.version)
