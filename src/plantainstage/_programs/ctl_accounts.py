"""``plantainstage-ctl accounts``: what client accounts ask for and get."""

import asyncio

import click

from plantainstage._errors import ControlUnavailableError
from plantainstage._operator.accounts import describe_accounts, select_accounts
from plantainstage._operator.outcomes import ExitCode
from plantainstage._operator.routing import account_report
from plantainstage._programs.ctl_options import (
    check_shared_options,
    exit_with_error,
    operator_command,
    print_and_exit,
)
from plantainstage._settings.base import SettingsCheck, build_settings

TOP_RANGE = (1, 20_000)


@click.command("accounts")
@click.option("--account", default=None, help="Show only the account of this name.")
@click.option(
    "--top",
    default=None,
    help="Show only so many accounts (1 to 20000); all by default.",
)
@operator_command
def accounts_command(account, top, control, timeout, as_json):
    """Show the client accounts over all entry hosts, the worst and largest first.

    Those with the most refused requests a second come first, then those that ask for
    most. --control names --listen addresses of plantainstage-registry.
    """
    timeout_s, count = _checked_options(control, timeout, top)
    call = account_report(addresses=control, timeout_s=timeout_s)
    try:
        report = asyncio.run(call)
    except ControlUnavailableError as error:
        exit_with_error("unavailable", error, as_json, ExitCode.UNAVAILABLE)
    shown = select_accounts(report, name=account, top=count)
    if account is not None and not shown.accounts:
        message = f"Version {report.version} has no account {account!r}."
        body = {"outcome": "not_found", "message": message}
        print_and_exit(body, [message], as_json=as_json, code=ExitCode.REJECTED)
    print_and_exit(shown, describe_accounts(report, shown), as_json=as_json)


def _checked_options(control, timeout, top):
    def build():
        check = SettingsCheck()
        timeout_s = check_shared_options(check, control=control, timeout=timeout)
        count = None
        if top is not None:
            low, high = TOP_RANGE
            count = check.integer(flag="--top", value=top, low=low, high=high, unit="")
        check.raise_errors()
        return timeout_s, count

    return build_settings(build)
