"""Options that all commands of ``plantainstage-ctl`` share."""

import asyncio
import functools
import getpass

import click
import msgspec

from plantainstage._errors import ControlUnavailableError
from plantainstage._operator.changes import ChangeOptions, submit_change
from plantainstage._operator.outcomes import ExitCode, describe_report
from plantainstage._operator.session import open_session
from plantainstage._settings.base import SettingsCheck, build_settings

PREFIX = "PLANTAINSTAGE_CTL"
DEFAULT_CONTROL = ("127.0.0.1:7100",)
DEFAULT_TIMEOUT_S = "15"
TIMEOUT_RANGE_S = (0.1, 3600.0)
NUMBER_RANGE = (1, 2**53)


def operator_command(function):
    """Adds --control, --timeout and --json to a command."""

    @click.option(
        "--control",
        multiple=True,
        default=DEFAULT_CONTROL,
        show_default=True,
        envvar=f"{PREFIX}_CONTROL",
        help="IP:port of a control replica; repeat for each one.",
    )
    @click.option(
        "--timeout",
        "timeout",
        default=DEFAULT_TIMEOUT_S,
        show_default=True,
        envvar=f"{PREFIX}_TIMEOUT",
        help="Time limit of each reply, and of a change, in seconds (0.1 to 3600).",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
    @functools.wraps(function)
    def command(*arguments, **options):
        return function(*arguments, **options)

    return command


def change_command(function):
    """Adds the options of commands that submit a change."""

    @click.option(
        "--number",
        default=None,
        help="Change number, 1 to 2**53; the next free one by default. Give the "
        "same number to send the same change again.",
    )
    @click.option(
        "--operator",
        default=None,
        envvar=f"{PREFIX}_OPERATOR",
        help="Name recorded with the change; the login name by default.",
    )
    @click.option(
        "--wait/--no-wait",
        default=True,
        show_default=True,
        help="Wait until the change is in force everywhere.",
    )
    @functools.wraps(function)
    def command(*arguments, **options):
        return function(*arguments, **options)

    return operator_command(command)


def check_shared_options(check, *, control, timeout):
    """Checks the shared options and returns the time limit in seconds."""
    check.addresses(flag="--control", values=control)
    low, high = TIMEOUT_RANGE_S
    return check.number(
        flag="--timeout", value=timeout, low=low, high=high, unit="seconds"
    )


def run_session(action, *, control, timeout, as_json):
    """Runs ``action(session)`` and returns its result.

    Invalid options end the program with exit code 2, an unavailable control group
    with exit code 6.
    """

    def build():
        check = SettingsCheck()
        timeout_s = check_shared_options(check, control=control, timeout=timeout)
        check.raise_errors()
        return timeout_s

    timeout_s = build_settings(build)

    async def run():
        with open_session(addresses=control, timeout_s=timeout_s) as session:
            return await action(session)

    try:
        return asyncio.run(run())
    except ControlUnavailableError as error:
        failure = {"outcome": "unavailable", "message": str(error)}
        print_and_exit(
            failure, [str(error)], as_json=as_json, code=ExitCode.UNAVAILABLE
        )


def run_change(make_body, *, number, operator, wait, control, timeout, as_json):
    """Submits the change that ``make_body`` returns and prints its report."""

    def build():
        check = SettingsCheck()
        try:
            body = make_body()
        except ExceptionGroup as group:
            body = None
            check.errors.extend(group.exceptions)
        check_shared_options(check, control=control, timeout=timeout)
        low, high = NUMBER_RANGE
        checked_number = 0
        if number is not None:
            checked_number = check.integer(
                flag="--number", value=number, low=low, high=high, unit=""
            )
        name = operator if operator is not None else _login_name()
        check.name(flag="--operator", value=name)
        check.raise_errors()
        return body, ChangeOptions(operator=name, number=checked_number, wait=wait)

    body, options = build_settings(build)
    report = run_session(
        lambda session: submit_change(session, body, options),
        control=control,
        timeout=timeout,
        as_json=as_json,
    )
    print_and_exit(
        report, describe_report(report), as_json=as_json, code=report.exit_code
    )


def _login_name():
    """Returns the login name, or an empty string, which the checks refuse."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def print_and_exit(body, lines, *, as_json, code=ExitCode.DONE):
    """Prints a result and ends the program with its exit code."""
    if as_json:
        click.echo(msgspec.json.encode(body).decode())
    else:
        for line in lines:
            click.echo(line)
    raise SystemExit(int(code))


def exit_with_error(outcome, error, as_json, code):
    """Prints an error and ends the program with an exit code."""
    body = {"outcome": outcome, "message": str(error)}
    print_and_exit(body, [str(error)], as_json=as_json, code=code)


def checked_timeout(control, timeout) -> float:
    """Returns the time limit in seconds; ends the program if an option is invalid."""

    def build():
        check = SettingsCheck()
        timeout_s = check_shared_options(check, control=control, timeout=timeout)
        check.raise_errors()
        return timeout_s

    return build_settings(build)
