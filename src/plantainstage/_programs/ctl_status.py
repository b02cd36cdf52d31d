"""``plantainstage-ctl status``, ``wait`` and ``change show``."""

import click

from plantainstage._messages import control as messages
from plantainstage._operator.changes import report_reply, wait_for_version
from plantainstage._operator.outcomes import describe_report
from plantainstage._operator.status_text import (
    describe_status,
    describe_upstreams,
    describe_verdict,
)
from plantainstage._programs.ctl_options import (
    operator_command,
    print_and_exit,
    run_session,
)


@click.command("status")
@operator_command
def status_command(as_json, **options):
    """Show entry hosts, upstreams, control replicas and the version in force."""

    async def read(session):
        return await session.status(), await session.configuration()

    status, configuration = run_session(read, as_json=as_json, **options)
    lines = [
        *describe_status(status),
        "upstreams:",
        *(f"  {line}" for line in describe_upstreams(configuration)),
    ]
    body = {"status": status, "upstreams": configuration.upstreams}
    print_and_exit(body, lines, as_json=as_json)


@click.command("wait")
@click.argument("version", type=click.IntRange(min=1))
@operator_command
def wait_command(version, as_json, **options):
    """Wait until VERSION is in force everywhere."""
    report = run_session(
        lambda session: wait_for_version(session, version), as_json=as_json, **options
    )
    print_and_exit(
        report, describe_report(report), as_json=as_json, code=report.exit_code
    )


@click.group("change")
def change_group():
    """Show earlier changes."""


@change_group.command("show")
@click.argument("number", type=click.IntRange(min=1))
@operator_command
def show_change(number, as_json, **options):
    """Show the recorded verdict of change NUMBER."""
    reply = run_session(
        lambda session: session.call(messages.QueryChange(number=number)),
        as_json=as_json,
        **options,
    )
    if isinstance(reply, messages.ChangeVerdict):
        verdict = reply.verdict
        print_and_exit(verdict, describe_verdict(verdict), as_json=as_json)
    report = report_reply(number, reply)
    print_and_exit(
        report, describe_report(report), as_json=as_json, code=report.exit_code
    )
