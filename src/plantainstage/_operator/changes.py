"""Submits changes and waits until they are in force."""

import asyncio
from dataclasses import dataclass

from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control
from plantainstage._operator.outcomes import ChangeReport, Outcome

POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True)
class ChangeOptions:
    """How a change is submitted; ``number`` 0 means the next free one."""

    operator: str
    number: int = 0
    wait: bool = True


async def submit_change(session, body, options):
    """Submits one change and returns a ChangeReport.

    The client repeats the same change, under the same number, until a leader
    replies; a change that was decided before gets its recorded verdict.
    """
    number = options.number
    try:
        if not number:
            number = (await session.call(control.QueryNextNumber())).number
    except ControlUnavailableError as error:
        return ChangeReport(outcome=Outcome.NOT_SUBMITTED, message=str(error))
    change = control.Change(number=number, operator=options.operator, body=body)
    try:
        reply = await session.call(control.SubmitChange(change=change))
    except ControlUnavailableError as error:
        return ChangeReport(
            outcome=Outcome.UNKNOWN,
            number=number,
            accepted_known=False,
            message=str(error),
            remedy=f"Send the same change again with --number {number}.",
        )
    report = report_reply(number, reply)
    if report.outcome is Outcome.ACCEPTED and options.wait:
        return await wait_for_version(session, report.version, number=number)
    return report


def report_reply(number, reply):
    """Returns the report for a leader's reply to a change."""
    match reply:
        case control.ChangeVerdict(verdict=verdict) if (
            verdict.kind is control.VerdictKind.ACCEPTED
        ):
            return ChangeReport(
                outcome=Outcome.ACCEPTED, number=number, version=verdict.version
            )
        case control.ChangeVerdict(verdict=verdict):
            return ChangeReport(
                outcome=Outcome.REJECTED,
                number=number,
                version=verdict.version,
                message=verdict.reason,
                remedy=verdict.remedy,
            )
        case control.ChangeConflict(winner=winner):
            return ChangeReport(
                outcome=Outcome.CONFLICT,
                number=number,
                winner=winner,
                remedy="Check that change, then submit yours with the next number.",
            )
        case control.ChangeNotConsidered(next_number=next_number, too_old=too_old):
            return ChangeReport(
                outcome=Outcome.NOT_CONSIDERED,
                number=number,
                next_number=next_number,
                message="Its verdict is no longer stored." if too_old else "",
                remedy=f"Submit the change with --number {next_number}.",
            )
        case control.RequestRejected():
            return ChangeReport(
                outcome=Outcome.REJECTED,
                number=number,
                message=reply.message,
                remedy=reply.remedy,
            )
    raise TypeError(f"unexpected reply {type(reply).__name__}")


async def wait_for_version(session, version, *, number=0):
    """Waits until a version is in force, up to the session's time limit."""
    deadline = asyncio.get_running_loop().time() + session.timeout_s
    while True:
        try:
            status = await session.status(version)
        except ControlUnavailableError as error:
            return ChangeReport(
                outcome=Outcome.UNKNOWN,
                number=number,
                version=version,
                message=str(error),
                remedy=f"Check again with: plantainstage-ctl wait {version}",
            )
        if is_in_force(status):
            return ChangeReport(
                outcome=Outcome.IN_FORCE, number=number, version=version
            )
        if asyncio.get_running_loop().time() >= deadline:
            return _report_not_yet_in_force(status, version, number)
        await asyncio.sleep(POLL_INTERVAL_S)


def is_in_force(status):
    """Whether no entry host can still act on a version before the requested one."""
    return (
        status.settled and status.version >= status.asked_version and not status.lacking
    )


def _report_not_yet_in_force(status, version, number):
    if status.version < version:
        return ChangeReport(
            outcome=Outcome.REJECTED,
            number=number,
            version=version,
            message=f"No version {version} exists; the newest is {status.version}.",
            remedy="Check the number of the version.",
        )
    return ChangeReport(
        outcome=Outcome.NOT_YET_IN_FORCE,
        number=number,
        version=version,
        settled=status.settled,
        lacking=status.lacking,
        remedy=f"Continue to wait with: plantainstage-ctl wait {version}",
    )
