"""Requests of entry hosts: leases, announcements, quarantines."""

from plantainstage._errors import OutcomeUnknownError
from plantainstage._membership import commands
from plantainstage._membership.leases import LEASE_MS, process_of
from plantainstage._membership.ownership import EntrySuperseded
from plantainstage._messages import control

MAX_GRANT_ATTEMPTS = 3  # an expiry may undo the registration of an attempt
QUARANTINE_LIMIT_MS = 24 * 3600 * 1000


async def renew_lease(context, request):
    """Grants a lease once leadership is confirmed after the request arrived."""
    view = await context.leadership.view()
    process = process_of(request.entry)
    if request.leaving:
        return await _leave(context, view, process)
    view.leases.record_report(request)
    for _ in range(MAX_GRANT_ATTEMPTS):
        if not _is_member(context, view, request.entry):
            result = await context.propose(commands.RegisterEntry(entry=request.entry))
            if isinstance(result, EntrySuperseded):
                # Its earlier leases stay valid: it may have requests in flight.
                return _superseded(process)
        await context.confirmation.confirm()
        context.leadership.require_current(view)
        if _is_member(context, view, request.entry):
            return _grant(context, view, process, request)
    raise OutcomeUnknownError()


def _is_member(context, view, entry):
    """Whether a host is in the membership and is not being expired."""
    return (
        context.state.entries.get(entry.entry_id) == entry
        and entry.entry_id not in view.expiring
    )


def _grant(context, view, process, request):
    """Records the lease and returns it; must not await in between."""
    configuration = context.machine.configuration()
    view.leases.grant(
        process=process, version=configuration.version, now=context.clock()
    )
    newer = configuration.version > request.applied_version
    return control.LeaseGranted(
        version=configuration.version,
        lease_ms=LEASE_MS,
        configuration=configuration if newer else None,
    )


def _superseded(process):
    return control.RequestRejected(
        code="entry_superseded",
        message=f"Another process registered later as entry host {process.entry_id!r}.",
        remedy="Give each entry host its own --entry-id, or restart this one.",
    )


async def _leave(context, view, process):
    result = await context.propose(
        commands.RemoveEntry(
            entry_id=process.entry_id, incarnation=process.incarnation, left=True
        )
    )
    view.leases.remove(process)
    return result


async def announce_upstreams(context, request):
    """Registers changed searchers and records heartbeats of all named ones."""
    view = await context.leadership.view()
    state = context.state
    changed = tuple(item for item in request.upstreams if _is_changed(state, item))
    refused = {}
    if changed:
        reply = await context.propose(
            commands.RegisterUpstreams(upstreams=changed, manifests=request.manifests)
        )
        refused = reply.refused
    now = context.clock()
    accepted = {item.upstream_id for item in request.upstreams} - set(refused)
    known = {name for name in request.alive if _is_live_record(state, name)}
    view.heartbeats.record_announcements(accepted | known, now)
    return control.AnnouncementsTaken(
        refused=refused,
        unknown=tuple(name for name in request.alive if name not in known),
    )


def _is_live_record(state, upstream_id):
    """Whether a heartbeat is enough; a lost searcher has to announce again."""
    record = state.upstreams.get(upstream_id)
    return record is not None and not record.lost


def _is_changed(state, upstream):
    """Whether an announcement would change the registry."""
    if not _is_live_record(state, upstream.upstream_id):
        return True
    return state.upstreams[upstream.upstream_id].announced != upstream


async def report_quarantine(context, request):
    """Commits a quarantine that ends after the reported duration."""
    context.leadership.require_leader()
    if not 0 < request.duration_ms <= QUARANTINE_LIMIT_MS:
        return control.RequestRejected(
            code="invalid_duration",
            message=f"A quarantine of {request.duration_ms} ms is not possible.",
            remedy=f"Ask for 1 to {QUARANTINE_LIMIT_MS} ms.",
        )
    now_ms = context.wall_ms()
    return await context.propose(
        commands.AddQuarantine(
            fingerprint=request.fingerprint,
            expires_ms=now_ms + request.duration_ms,
            index=request.index,
            since_ms=now_ms,
            searchers=request.searchers,
        )
    )
