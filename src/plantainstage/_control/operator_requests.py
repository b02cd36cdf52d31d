"""Requests of operators: changes and queries of the state."""

from plantainstage._agreement.membership import (
    MemberChangeProblem,
    MemberChangeRefusedError,
)
from plantainstage._membership import commands
from plantainstage._membership.leases import process_of
from plantainstage._messages import control
from plantainstage._messages.agreement import Member, MemberId


async def submit_change(context, request):
    """Commits a change; returns the reply that carries its verdict or conflict."""
    context.leadership.require_leader()
    return await context.propose(commands.ApplyChange(change=request.change))


async def next_number(context):
    """Returns the next free change number and the newest version."""
    await context.confirmation.confirm()
    return control.NextNumber(
        number=context.state.next_number, version=context.state.version
    )


async def current_configuration(context):
    """Returns the newest committed configuration."""
    await context.confirmation.confirm()
    return control.CurrentConfiguration(configuration=context.machine.configuration())


async def find_change(context, request):
    """Returns the recorded verdict of a change number."""
    await context.confirmation.confirm()
    verdict = context.state.verdicts.find(request.number)
    if verdict is not None:
        return control.ChangeVerdict(verdict=verdict)
    return control.ChangeNotConsidered(
        next_number=context.state.next_number,
        too_old=request.number < context.state.next_number,
    )


async def query_status(context, request):
    """Returns the tier status and the hosts that may lack the asked version."""
    view = await context.leadership.view()
    commit_index = await context.confirmation.confirm()
    context.leadership.require_current(view)
    now = context.clock()
    asked = context.state.version if request.version is None else request.version
    lacking = view.leases.processes_behind(version=asked, now=now)
    return control.Status(
        version=context.state.version,
        asked_version=asked,
        commit_index=commit_index,
        term=context.log.term,
        settled=view.leases.settled(now),
        lacking=tuple(dict.fromkeys(process.entry_id for process in lacking)),
        entries=tuple(
            _entry_status(view, entry, now)
            for _, entry in sorted(context.state.entries.items())
        ),
        replicas=context.log.members(),
    )


def _entry_status(view, entry, now):
    process = process_of(entry)
    lease = view.leases.hosts.get(process)
    return control.EntryStatus(
        entry=entry,
        applied_version=lease.applied if lease is not None else 0,
        lease_remaining_ms=round((view.leases.expires_at(process) - now) * 1000),
        draining=lease is not None and lease.draining,
    )


async def change_member(context, request):
    """Executes one step of a change of the control replicas.

    A step whose result is already the committed membership counts as done, so
    that a step whose reply was lost can be sent again. The removal of a replica
    that is not a member is refused, because a misspelt incarnation must not be
    reported as done.
    """
    context.leadership.require_leader()
    member = Member(
        member_id=MemberId(
            replica_id=request.replica_id, incarnation=request.incarnation
        ),
        client_address=request.client_address,
        peer_address=request.peer_address,
        voter=False,
    )
    try:
        await context.log.change_member(request.action, member)
    except MemberChangeRefusedError as error:
        if not _is_already_committed(context, request, error.problem):
            return _refused_step(error)
        await context.confirmation.confirm()
    return control.Done(version=context.state.version)


def _is_already_committed(context, request, problem):
    """Whether an earlier delivery of the same step was committed."""
    match problem:
        case MemberChangeProblem.ALREADY_MEMBER:
            return any(
                (item.replica_id, item.incarnation)
                == (request.replica_id, request.incarnation)
                and (item.client_address, item.peer_address)
                == (request.client_address, request.peer_address)
                for item in context.log.members()
            )
        case MemberChangeProblem.NOT_LEARNER:
            return True
    return False


def _refused_step(error):
    return control.RequestRejected(
        code=error.problem.name.lower(),
        message=str(error),
        remedy="List the control replicas with: plantainstage-ctl replica list",
    )
