"""``plantainstage-ctl upstream``: take searchers out of service and back in."""

import click

from plantainstage._messages import control as messages
from plantainstage._operator.status_text import describe_upstreams
from plantainstage._programs.ctl_options import (
    change_command,
    operator_command,
    print_and_exit,
    run_change,
    run_session,
)


@click.group("upstream")
def upstream_group():
    """Take upstreams out of service, put them back in and list them."""


@upstream_group.command("out")
@click.argument("upstream_id")
@change_command
def take_out(upstream_id, **options):
    """Send no new sub-requests to UPSTREAM_ID until it is put back in."""
    run_change(lambda: messages.TakeUpstreamOut(upstream_id=upstream_id), **options)


@upstream_group.command("in")
@click.argument("upstream_id")
@change_command
def put_in(upstream_id, **options):
    """Put UPSTREAM_ID back in service."""
    run_change(lambda: messages.PutUpstreamIn(upstream_id=upstream_id), **options)


@upstream_group.command("list")
@operator_command
def list_upstreams(as_json, **options):
    """List all registered upstreams with state and owner."""
    configuration = run_session(
        lambda session: session.configuration(), as_json=as_json, **options
    )
    body = {
        "version": configuration.version,
        "upstreams": configuration.upstreams,
        "ownerships": configuration.ownerships,
    }
    print_and_exit(body, describe_upstreams(configuration), as_json=as_json)
