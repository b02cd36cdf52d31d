"""``plantainstage-ctl profile``: publish, retire, list and show profiles."""

import click

from plantainstage._messages import control as messages
from plantainstage._operator.outcomes import ExitCode
from plantainstage._operator.profile_input import read_profile
from plantainstage._operator.status_text import describe_profile
from plantainstage._programs.ctl_options import (
    change_command,
    operator_command,
    print_and_exit,
    run_change,
    run_session,
)
from plantainstage._settings.base import SettingsCheck

FIELD_FLAGS = (
    "index",
    "deadline_ms",
    "late_fraction",
    "minimum_coverage",
    "extra_load_limit",
    "weight",
)


@click.group("profile")
def profile_group():
    """Publish, retire, list and show profiles."""


@profile_group.command("publish")
@click.argument("name", default="")
@click.option(
    "--file",
    "path",
    default=None,
    help="JSON file with the profile; flags take precedence.",
)
@click.option("--index", default=None, help="Index that the profile searches.")
@click.option(
    "--deadline-ms",
    default=None,
    help="Deadline of a request in milliseconds, 1 to 60000.",
)
@click.option(
    "--late-fraction",
    default=None,
    help="Share of a minute's requests that may be late, 0 to 1; 0.01 by default.",
)
@click.option(
    "--minimum-coverage",
    default=None,
    help="Minimum share of documents in an answer, 0 to 1; 1 by default.",
)
@click.option(
    "--extra-load-limit",
    default=None,
    help="Extra sub-requests over first ones, 0 to 1; 0.05 by default.",
)
@click.option(
    "--weight", default=None, help="Share under overload, 1 to 1000; 1 by default."
)
@change_command
def publish(name, path, **options):
    """Publish profile NAME, or change the published one."""
    flags = {field: options.pop(field) for field in FIELD_FLAGS}

    def make_body():
        data = _read_file(path) if path is not None else None
        profile = read_profile(name=name, flags=flags, data=data)
        return messages.PublishProfile(profile=profile)

    run_change(make_body, **options)


def _read_file(path):
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        check = SettingsCheck()
        check.require(
            flag="--file",
            value=path,
            condition=False,
            expected=f"a readable file ({error.strerror})",
            remedy="Check the path and the permissions.",
        )
        check.raise_errors()


@profile_group.command("retire")
@click.argument("name")
@change_command
def retire(name, **options):
    """Retire profile NAME; requests that name it are refused afterwards."""
    run_change(lambda: messages.RetireProfile(name=name), **options)


@profile_group.command("list")
@operator_command
def list_profiles(as_json, **options):
    """List all published profiles."""
    configuration = run_session(
        lambda session: session.configuration(), as_json=as_json, **options
    )
    print_and_exit(
        {"version": configuration.version, "profiles": configuration.profiles},
        [describe_profile(profile) for profile in configuration.profiles],
        as_json=as_json,
    )


@profile_group.command("show")
@click.argument("name")
@operator_command
def show_profile(name, as_json, **options):
    """Show profile NAME."""
    configuration = run_session(
        lambda session: session.configuration(), as_json=as_json, **options
    )
    for profile in configuration.profiles:
        if profile.name == name:
            print_and_exit(profile, [describe_profile(profile)], as_json=as_json)
    message = f"No profile {name!r} is published."
    print_and_exit(
        {"outcome": "not_found", "message": message},
        [message],
        as_json=as_json,
        code=ExitCode.REJECTED,
    )
