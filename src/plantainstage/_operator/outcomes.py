"""Results of operators' commands, with their exit codes and texts."""

import enum

import msgspec

from plantainstage._messages.control import Verdict


class ExitCode(enum.IntEnum):
    """Exit codes of ``plantainstage-ctl``, part of its interface."""

    DONE = 0
    USAGE = 2
    REJECTED = 3
    CONFLICT = 4
    NOT_YET_IN_FORCE = 5
    UNAVAILABLE = 6
    NOT_CONSIDERED = 7


EXIT_CODE_HELP = """\b
Exit codes:
  0  done; a change is in force everywhere (with --no-wait: accepted)
  2  usage: a flag, an argument or a file is not valid; nothing was sent
  3  rejected: valid, but refused; for a change the verdict is final
  4  conflict: another change has this number; yours was not applied
  5  accepted, but not yet in force everywhere at the time-out
  6  unavailable: no leader replied in time; whether a change was accepted, or
     is in force, is unknown; send the same change with the same number again
  7  not considered: the number is not the next one, or its verdict is too old
"""


class Outcome(enum.Enum):
    """The result of a change, as far as it is known."""

    ACCEPTED = "accepted"
    IN_FORCE = "in_force"
    NOT_YET_IN_FORCE = "not_yet_in_force"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    NOT_CONSIDERED = "not_considered"
    NOT_SUBMITTED = "not_submitted"
    UNKNOWN = "unknown"


class ChangeReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The result of a change or of a wait for a version.

    ``lacking`` names the hosts that may still act on an earlier version. With
    ``accepted_known`` false it is not known whether the change was accepted.
    ``settled`` is false when a new leader cannot know all lease holders yet.
    """

    outcome: Outcome
    number: int = 0
    version: int = 0
    accepted_known: bool = True
    settled: bool = True
    lacking: tuple[str, ...] = ()
    message: str = ""
    remedy: str = ""
    winner: Verdict | None = None
    next_number: int = 0

    @property
    def exit_code(self):
        """The exit code of this outcome."""
        return _EXIT_CODES[self.outcome]


_EXIT_CODES = {
    Outcome.ACCEPTED: ExitCode.DONE,
    Outcome.IN_FORCE: ExitCode.DONE,
    Outcome.NOT_YET_IN_FORCE: ExitCode.NOT_YET_IN_FORCE,
    Outcome.REJECTED: ExitCode.REJECTED,
    Outcome.CONFLICT: ExitCode.CONFLICT,
    Outcome.NOT_CONSIDERED: ExitCode.NOT_CONSIDERED,
    Outcome.NOT_SUBMITTED: ExitCode.UNAVAILABLE,
    Outcome.UNKNOWN: ExitCode.UNAVAILABLE,
}


def describe_report(report):
    """Returns a change report as lines of text."""
    name = f"change {report.number}" if report.number else f"version {report.version}"
    match report.outcome:
        case Outcome.ACCEPTED:
            lines = [f"{name}: accepted as version {report.version}"]
        case Outcome.IN_FORCE:
            lines = [f"{name}: in force everywhere (version {report.version})"]
        case Outcome.NOT_YET_IN_FORCE:
            lines = [_describe_not_yet_in_force(name, report)]
        case Outcome.REJECTED:
            lines = [f"{name}: rejected"]
        case Outcome.CONFLICT:
            lines = [f"{name}: conflict, another change has this number"]
        case Outcome.NOT_CONSIDERED:
            lines = [f"{name}: not considered, next number is {report.next_number}"]
        case Outcome.NOT_SUBMITTED:
            lines = ["nothing was submitted"]
        case Outcome.UNKNOWN:
            known = (
                f"accepted as version {report.version}, but whether it is in force"
                if report.accepted_known
                else "whether it was accepted"
            )
            lines = [f"{name}: {known} is unknown"]
    if report.message:
        lines.append(report.message)
    if report.winner is not None:
        lines.append(f"winner: {report.winner.change}")
    if report.remedy:
        lines.append(report.remedy)
    return lines


def _describe_not_yet_in_force(name, report):
    accepted = f"{name}: accepted as version {report.version}, "
    if not report.settled:
        accepted += "a new leader does not know all lease holders yet; "
    if report.lacking:
        return accepted + f"in force but for: {', '.join(report.lacking)}"
    return accepted + "not yet in force"
