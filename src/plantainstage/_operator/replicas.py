"""Changes the membership of the control group, one step at a time."""

import asyncio

import msgspec

from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control
from plantainstage._messages.control import MemberAction, ReplicaStatus
from plantainstage._operator.outcomes import ExitCode

POLL_INTERVAL_S = 0.2


class ReplicaReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The result of a membership command; ``done_steps`` are committed."""

    outcome: str
    exit_code: ExitCode
    done_steps: tuple[str, ...] = ()
    message: str = ""
    remedy: str = ""
    replicas: tuple[ReplicaStatus, ...] = ()


def describe_replicas(report):
    """Returns a membership report as lines of text."""
    lines = [f"done: {step}" for step in report.done_steps]
    lines.append(f"replicas: {report.outcome}")
    lines.extend(line for line in (report.message, report.remedy) if line)
    lines.extend(describe_replica(item) for item in report.replicas)
    return lines


def describe_replica(item):
    """Returns one line about a control replica."""
    role = "leader" if item.leader else "voter" if item.voter else "learner"
    return (
        f"  {item.replica_id} {item.incarnation} {role} client {item.client_address} "
        f"peer {item.peer_address} synced up to {item.match_index}, "
        f"last heard {item.last_heard_ms} ms ago"
    )


def step_name(request):
    """Returns a step as text, for example ``promote control-4 3f2a``."""
    return f"{request.action.value} {request.replica_id} {request.incarnation}"


async def run_steps(session, steps):
    """Runs the steps in order and stops at the first that is not done.

    A step that was committed before is done at once, so that an interrupted
    replacement continues where it stopped when the same command is run again.
    """
    done = []
    deadline = asyncio.get_running_loop().time() + session.timeout_s
    for step in steps:
        try:
            reply = await _run_step(session, step, deadline)
        except ControlUnavailableError as error:
            return ReplicaReport(
                outcome="unknown",
                exit_code=ExitCode.UNAVAILABLE,
                done_steps=tuple(done),
                message=f"{step_name(step)}: {error}",
                remedy="Check the replica list, then run the same command again.",
            )
        if not isinstance(reply, control.Done):
            return ReplicaReport(
                outcome="rejected",
                exit_code=ExitCode.REJECTED,
                done_steps=tuple(done),
                message=f"{step_name(step)}: {reply.message}",
                remedy=reply.remedy,
            )
        done.append(step_name(step))
    return ReplicaReport(
        outcome="done", exit_code=ExitCode.DONE, done_steps=tuple(done)
    )


async def _run_step(session, step, deadline):
    """Retries a step that is not possible yet, such as promoting a learner."""
    removal = step.action is MemberAction.REMOVE
    if removal and step_target(step) not in await _member_names(session):
        return control.RequestRejected(
            code="not_member",
            message="The group has no such replica, or it was removed before.",
            remedy="Compare id and incarnation with: plantainstage-ctl replica list",
        )
    while True:
        reply = await session.call(step)
        code = reply.code if isinstance(reply, control.RequestRejected) else ""
        if removal and code == "not_member":
            # It was a member above, so that an earlier delivery of the step removed it.
            return control.Done()
        retryable = code in ("not_caught_up", "change_pending", "term_not_started")
        if not retryable or asyncio.get_running_loop().time() >= deadline:
            return reply
        await asyncio.sleep(POLL_INTERVAL_S)


def step_target(step):
    """Returns id and incarnation of the replica in a step or a status."""
    return f"{step.replica_id} {step.incarnation}"


async def _member_names(session):
    status = await session.status()
    return {step_target(item) for item in status.replicas}


async def replace_replica(session, steps):
    """Runs the steps of ``replacement_steps`` and verifies the result.

    Done is reported only when the new replica is a voter that has synced all
    committed entries, and the old one is not a member. A removal that an earlier
    run of the command committed is not repeated.
    """
    add, _, remove = steps
    names = await _member_names(session)
    if step_target(remove) not in names:
        if step_target(add) not in names:
            return ReplicaReport(
                outcome="rejected",
                exit_code=ExitCode.REJECTED,
                message=f"{step_target(remove)} is not a control replica.",
                remedy="Compare id and incarnation with: "
                "plantainstage-ctl replica list",
            )
        steps = steps[:-1]
    report = await run_steps(session, steps)
    if report.exit_code is not ExitCode.DONE:
        return report
    deadline = asyncio.get_running_loop().time() + session.timeout_s
    while True:
        status = await session.status()
        if _is_replaced(status, step_target(remove), step_target(add)):
            return report
        if asyncio.get_running_loop().time() >= deadline:
            return msgspec.structs.replace(
                report,
                outcome="not yet replaced",
                exit_code=ExitCode.NOT_YET_IN_FORCE,
                remedy="Run the same command again.",
                replicas=status.replicas,
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _is_replaced(status, old, new):
    replicas = {
        f"{item.replica_id} {item.incarnation}": item for item in status.replicas
    }
    item = replicas.get(new)
    return (
        old not in replicas
        and item is not None
        and item.voter
        and item.match_index >= status.commit_index
    )


def replacement_steps(*, old_id, old_incarnation, new_id, new_incarnation, addresses):
    """Returns the steps that replace a replica by one with another data folder."""
    new = {"replica_id": new_id, "incarnation": new_incarnation}
    client_address, peer_address = addresses
    return (
        control.ChangeMember(
            action=MemberAction.ADD_LEARNER,
            client_address=client_address,
            peer_address=peer_address,
            **new,
        ),
        control.ChangeMember(action=MemberAction.PROMOTE, **new),
        control.ChangeMember(
            action=MemberAction.REMOVE, replica_id=old_id, incarnation=old_incarnation
        ),
    )
