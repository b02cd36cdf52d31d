"""``plantainstage-ctl routes``: publish and show the serving configuration."""

import asyncio
import re

import click
import msgspec

from plantainstage._errors import ControlUnavailableError, InvalidConfigurationError
from plantainstage._operator import routing
from plantainstage._operator.key_redaction import without_keys
from plantainstage._operator.outcomes import ExitCode
from plantainstage._programs.ctl_options import (
    checked_timeout,
    exit_with_error,
    operator_command,
    print_and_exit,
)
from plantainstage._serving.configuration import decode_configuration

_FINGERPRINT = re.compile("[0-9a-f]{32}")


@click.group("routes")
def routes_group():
    """Publish and show the configuration of routed requests.

    --control names --listen addresses of plantainstage-registry.
    """


@routes_group.command("put")
@click.argument("file", type=click.File("rb"))
@operator_command
def put(file, control, timeout, as_json):
    """Publish the configuration in FILE (JSON); - reads standard input."""
    timeout_s = checked_timeout(control, timeout)
    document = file.read()
    try:
        # Validated before it is sent, so that errors are found without a replica.
        version = decode_configuration(document).version
        call = routing.put_configuration(
            document, addresses=control, timeout_s=timeout_s
        )
        asyncio.run(call)
    except (InvalidConfigurationError, routing.ConfigurationRefusedError) as error:
        exit_with_error("rejected", error, as_json, ExitCode.REJECTED)
    except ControlUnavailableError as error:
        exit_with_error("unavailable", error, as_json, ExitCode.UNAVAILABLE)
    body = {"outcome": "acknowledged", "version": version}
    text = f"version {version} is acknowledged; the highest version is in force"
    print_and_exit(body, [text], as_json=as_json)


@routes_group.command("show")
@click.option("--with-keys", is_flag=True, help="Print the keys of client accounts.")
@operator_command
def show(control, timeout, as_json, with_keys):
    """Print the newest configuration, with digests in place of keys.

    Without client accounts, or with --with-keys, it is printed as it was sent.
    """
    timeout_s = checked_timeout(control, timeout)
    call = routing.newest_configuration(addresses=control, timeout_s=timeout_s)
    try:
        document = asyncio.run(call)
    except ControlUnavailableError as error:
        exit_with_error("unavailable", error, as_json, ExitCode.UNAVAILABLE)
    if not with_keys:
        document = without_keys(document)
    print_and_exit(msgspec.Raw(document), [document.decode()], as_json=as_json)


@routes_group.command("quarantined")
@operator_command
def quarantined(control, timeout, as_json):
    """List the requests under which searchers have ended, as one replica knows them."""
    timeout_s = checked_timeout(control, timeout)
    call = routing.quarantined_requests(addresses=control, timeout_s=timeout_s)
    try:
        rows = asyncio.run(call)
    except ControlUnavailableError as error:
        exit_with_error("unavailable", error, as_json, ExitCode.UNAVAILABLE)
    print_and_exit(msgspec.Raw(rows), [rows.decode()], as_json=as_json)


@routes_group.command("lift")
@click.argument("fingerprint")
@operator_command
def lift(fingerprint, control, timeout, as_json):
    """Send the requests with FINGERPRINT to searchers again."""
    timeout_s = checked_timeout(control, timeout)
    if not _FINGERPRINT.fullmatch(fingerprint):
        raise click.BadParameter(
            f"{fingerprint!r} is not a fingerprint (32 hexadecimal digits); "
            "`routes quarantined` lists them.",
            param_hint="FINGERPRINT",
        )
    call = routing.lift_quarantine(fingerprint, addresses=control, timeout_s=timeout_s)
    try:
        asyncio.run(call)
    except ControlUnavailableError as error:
        exit_with_error("unavailable", error, as_json, ExitCode.UNAVAILABLE)
    body = {"outcome": "acknowledged", "fingerprint": fingerprint}
    text = f"{fingerprint} is sent to searchers again once the hosts have polled"
    print_and_exit(body, [text], as_json=as_json)
