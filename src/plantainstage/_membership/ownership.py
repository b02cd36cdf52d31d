"""Commands that change the owners of searchers and the membership of entry hosts."""

import msgspec

from plantainstage._errors import check_invariant
from plantainstage._membership.state import EntryProcess, OwnershipRecord
from plantainstage._messages import control

# A renewal by an earlier process may arrive seconds late; 16 incarnations also cover
# a host that crashes in a loop.
INCARNATIONS_KEPT = 16
LEFT = ""  # entry in the list of incarnations that marks a planned stop


class EntrySuperseded(msgspec.Struct, frozen=True, kw_only=True):
    """A later process of the entry host has registered under this id."""

    entry_id: str


def apply_register_entry(state, command):
    """Adds a host; a new process replaces the earlier one."""
    entry = command.entry
    known = state.incarnations.get(entry.entry_id, ())
    if entry.incarnation in known[:-1]:
        return EntrySuperseded(entry_id=entry.entry_id)
    if state.entries.get(entry.entry_id) == entry:
        return control.Done(version=state.version)
    if not known or known[-1] != entry.incarnation:
        known = (*known, entry.incarnation)
        state.incarnations[entry.entry_id] = known[-INCARNATIONS_KEPT:]
    state.entries[entry.entry_id] = entry
    version = state.increment_version()
    process = EntryProcess(entry_id=entry.entry_id, incarnation=entry.incarnation)
    for upstream_id, record in _in_fixed_order(state):
        owner = record.owner
        if (
            owner is not None
            and owner.entry_id == process.entry_id
            and owner != process
        ):
            # The earlier process may be paused with work in flight.
            fence_searcher(state, upstream_id, owner=process, version=version)
    return control.Done(version=version)


def apply_remove_entry(state, command):
    """Removes a host from the membership, unless it has restarted since."""
    process = EntryProcess(entry_id=command.entry_id, incarnation=command.incarnation)
    entry = state.entries.get(process.entry_id)
    if entry is None or entry.incarnation != process.incarnation:
        return control.Done(version=state.version)
    del state.entries[process.entry_id]
    version = state.increment_version()
    if command.left:
        known = (*state.incarnations.get(process.entry_id, ()), LEFT)
        state.incarnations[process.entry_id] = known[-INCARNATIONS_KEPT:]
        _release_all(state, process)
    return control.Done(version=version)


def _in_fixed_order(state):
    """Returns the ownerships in an order that a snapshot does not change.

    Epochs are allocated in this order, so all replicas must use the same one.
    """
    return sorted(state.ownerships.items(), key=lambda item: item[0])


def _release_all(state, process):
    """Releases all searchers of a host that left in a planned stop."""
    for upstream_id, record in _in_fixed_order(state):
        if record.predecessor == process:
            record = msgspec.structs.replace(record, predecessor=None)
        if record.owner == process:
            record = msgspec.structs.replace(
                record, owner=None, epoch=state.allocate_epoch()
            )
        _store(state, upstream_id, record)


def fence_searcher(state, upstream_id, *, owner, version):
    """Gives a searcher a new owner, which waits until the last active one has finished.

    A ``Release`` makes the new owner active. Without an ownership record it is
    active at once, since no host can have work on the searcher.
    """
    record = state.ownerships.get(upstream_id)
    predecessor = None
    fenced_version = 0
    if record is not None:
        predecessor = record.predecessor
        fenced_version = record.fenced_version
        if record.active:
            predecessor = record.owner
            fenced_version = version
    epoch = state.allocate_epoch()
    check_invariant(
        record is None or epoch > record.epoch,
        invariant="ownership epochs rise",
        detail=f"{upstream_id}: epoch {epoch} after {record and record.epoch}",
    )
    _store(
        state,
        upstream_id,
        OwnershipRecord(
            owner=owner,
            epoch=epoch,
            predecessor=predecessor,
            fenced_version=fenced_version,
        ),
    )


def _store(state, upstream_id, record):
    if record.owner is None and record.predecessor is None:
        state.ownerships.pop(upstream_id, None)
    else:
        state.ownerships[upstream_id] = record


def apply_move_owners(state, command):
    """Applies one round of ownership changes and skips outdated items."""
    releases = [item for item in command.releases if _may_release(state, item)]
    assignments = [item for item in command.assignments if _may_assign(state, item)]
    if not releases and not assignments:
        return control.Done(version=state.version)
    version = state.increment_version()
    for item in releases:
        record = state.ownerships[item.upstream_id]
        _store(
            state,
            item.upstream_id,
            msgspec.structs.replace(record, predecessor=None),
        )
    for item in assignments:
        fence_searcher(
            state,
            item.upstream_id,
            owner=registered_process(state, item.entry_id),
            version=version,
        )
    return control.Done(version=version)


def registered_process(state, entry_id):
    """Returns the registered process of an entry host, or None."""
    entry = state.entries.get(entry_id)
    if entry is None:
        return None
    return EntryProcess(entry_id=entry_id, incarnation=entry.incarnation)


def _may_release(state, item):
    record = state.ownerships.get(item.upstream_id)
    return (
        record is not None
        and record.epoch == item.epoch
        and record.predecessor is not None
    )


def _may_assign(state, item):
    record = state.ownerships.get(item.upstream_id)
    if (record.epoch if record is not None else 0) != item.expected_epoch:
        return False
    if not item.entry_id:
        return record is not None
    process = registered_process(state, item.entry_id)
    if process is None or item.upstream_id not in state.upstreams:
        return False
    # A predecessor that owned the searcher again could not report its release.
    return record is None or record.predecessor != process
