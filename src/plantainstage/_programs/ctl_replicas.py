"""``plantainstage-ctl replica``: the membership of the control group."""

import click

from plantainstage._messages import control as messages
from plantainstage._messages.control import MemberAction
from plantainstage._operator.replicas import (
    describe_replica,
    describe_replicas,
    replace_replica,
    replacement_steps,
    run_steps,
)
from plantainstage._programs.ctl_options import (
    operator_command,
    print_and_exit,
    run_session,
)
from plantainstage._settings.base import SettingsCheck, build_settings


@click.group("replica")
def replica_group():
    """Add, promote, remove, replace and list control replicas.

    A replica is identified by its id and the incarnation of its data folder, which
    it logs at its start.
    """


def _address_options(function):
    for flag in ("--peer-address", "--client-address"):
        function = click.option(
            flag, required=True, help="IP:port of the new replica."
        )(function)
    return function


def _check_addresses(client_address, peer_address):
    def build():
        check = SettingsCheck()
        check.address(flag="--client-address", value=client_address)
        check.address(flag="--peer-address", value=peer_address)
        check.raise_errors()

    build_settings(build)


def _run_steps(steps, *, as_json, action=run_steps, **options):
    report = run_session(
        lambda session: action(session, steps), as_json=as_json, **options
    )
    print_and_exit(
        report, describe_replicas(report), as_json=as_json, code=report.exit_code
    )


@replica_group.command("add")
@click.argument("replica_id")
@click.argument("incarnation")
@_address_options
@operator_command
def add(replica_id, incarnation, client_address, peer_address, **options):
    """Add a replica as a learner, which receives the log but has no vote."""
    _check_addresses(client_address, peer_address)
    step = messages.ChangeMember(
        action=MemberAction.ADD_LEARNER,
        replica_id=replica_id,
        incarnation=incarnation,
        client_address=client_address,
        peer_address=peer_address,
    )
    _run_steps((step,), **options)


@replica_group.command("promote")
@click.argument("replica_id")
@click.argument("incarnation")
@operator_command
def promote(replica_id, incarnation, **options):
    """Make a learner a voter; waits until it has caught up."""
    step = messages.ChangeMember(
        action=MemberAction.PROMOTE, replica_id=replica_id, incarnation=incarnation
    )
    _run_steps((step,), **options)


@replica_group.command("remove")
@click.argument("replica_id")
@click.argument("incarnation")
@operator_command
def remove(replica_id, incarnation, **options):
    """Remove a replica from the group."""
    step = messages.ChangeMember(
        action=MemberAction.REMOVE, replica_id=replica_id, incarnation=incarnation
    )
    _run_steps((step,), **options)


@replica_group.command("replace")
@click.argument("old_id")
@click.argument("old_incarnation")
@click.argument("new_id")
@click.argument("new_incarnation")
@_address_options
@operator_command
def replace(
    old_id,
    old_incarnation,
    new_id,
    new_incarnation,
    client_address,
    peer_address,
    **options,
):
    """Replace a replica: add the new one, promote it, remove the old one.

    Done is reported only after the old identity is removed. An interrupted
    replacement continues when the same command is run again.
    """
    _check_addresses(client_address, peer_address)
    steps = replacement_steps(
        old_id=old_id,
        old_incarnation=old_incarnation,
        new_id=new_id,
        new_incarnation=new_incarnation,
        addresses=(client_address, peer_address),
    )
    _run_steps(steps, action=replace_replica, **options)


@replica_group.command("list")
@operator_command
def list_replicas(as_json, **options):
    """List the control replicas."""
    status = run_session(lambda session: session.status(), as_json=as_json, **options)
    print_and_exit(
        {"term": status.term, "replicas": status.replicas},
        [describe_replica(item) for item in status.replicas],
        as_json=as_json,
    )
