"""``plantainstage-ctl quarantine``: list and lift quarantines of requests."""

import click

from plantainstage._messages import control as messages
from plantainstage._operator.status_text import describe_quarantines
from plantainstage._programs.ctl_options import (
    change_command,
    operator_command,
    print_and_exit,
    run_change,
    run_session,
)


@click.group("quarantine")
def quarantine_group():
    """List and lift quarantines of requests that crashed searchers."""


@quarantine_group.command("list")
@operator_command
def list_quarantines(as_json, **options):
    """List all quarantined fingerprints with index, time and crashed searchers."""
    configuration = run_session(
        lambda session: session.configuration(), as_json=as_json, **options
    )
    body = {
        "version": configuration.version,
        "quarantines": configuration.quarantines,
    }
    print_and_exit(body, describe_quarantines(configuration), as_json=as_json)


@quarantine_group.command("lift")
@click.argument("fingerprint")
@change_command
def lift(fingerprint, **options):
    """Allow requests with FINGERPRINT again, before their quarantine ends."""
    run_change(lambda: messages.LiftQuarantine(fingerprint=fingerprint), **options)
