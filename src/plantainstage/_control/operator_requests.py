"""Requests of operators: changes and reads of the state."""

from plantainstage._membership import commands
from plantainstage._membership.leases import start_of
from plantainstage._messages import control


async def submit_change(core, request):
    """Commits a change and returns its verdict, or the one of its number."""
    core.leadership.require_leader()
    return await core.propose(commands.ApplyChange(change=request.change))


async def next_number(core):
    """Returns the next free change number and the newest version."""
    await core.confirmation.confirm()
    return control.NextNumber(number=core.state.next_number, version=core.state.version)


async def current_configuration(core):
    """Returns the newest committed configuration."""
    await core.confirmation.confirm()
    return control.CurrentConfiguration(configuration=core.machine.configuration())


async def find_change(core, request):
    """Returns the recorded verdict of a change number."""
    await core.confirmation.confirm()
    verdict = core.state.verdicts.get(request.number)
    if verdict is not None:
        return control.ChangeVerdict(verdict=verdict)
    return control.ChangeNotConsidered(
        next_number=core.state.next_number,
        too_old=request.number < core.state.next_number,
    )


async def query_status(core, request):
    """Returns the state of the tier and who may lack the asked version."""
    view = await core.leadership.view()
    commit_index = await core.confirmation.confirm()
    core.leadership.require_same(view)
    now = core.clock()
    asked = core.state.version if request.version is None else request.version
    lacking = view.leases.lacking(version=asked, now=now)
    return control.Status(
        version=core.state.version,
        asked_version=asked,
        commit_index=commit_index,
        term=core.log.term,
        settled=view.leases.settled(now),
        lacking=tuple(dict.fromkeys(start.entry_id for start in lacking)),
        entries=tuple(
            _entry_status(view, entry, now)
            for _, entry in sorted(core.state.entries.items())
        ),
        replicas=core.log.replica_statuses(),
    )


def _entry_status(view, entry, now):
    start = start_of(entry)
    lease = view.leases.hosts.get(start)
    return control.EntryStatus(
        entry=entry,
        applied_version=lease.applied if lease is not None else 0,
        lease_remaining_ms=round((view.leases.until(start) - now) * 1000),
        draining=lease is not None and lease.draining,
    )


async def change_member(core, request):
    """Carries out one step of a change of the control replicas."""
    core.leadership.require_leader()
    return await core.log.change_member(request)
