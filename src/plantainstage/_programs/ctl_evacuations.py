"""``plantainstage-ctl evacuations``: evacuate data centres of routed requests."""

import asyncio

import click
import msgspec

from plantainstage._errors import ControlUnavailableError
from plantainstage._operator import routing
from plantainstage._operator.outcomes import ExitCode
from plantainstage._programs.ctl_options import (
    checked_timeout,
    exit_with_error,
    operator_command,
    print_and_exit,
)


@click.group("evacuations")
def evacuations_group():
    """Evacuate data centres: no request reaches a searcher there.

    --control names --listen addresses of plantainstage-registry.
    """


@evacuations_group.command("start")
@click.argument("data_centre")
@operator_command
def start(data_centre, **options):
    """Send no requests to searchers in DATA_CENTRE until the evacuation is ended."""
    text = f"{data_centre} is evacuated; hosts heed it within 5 s"
    _order(data_centre, text, starts=True, **options)


@evacuations_group.command("end")
@click.argument("data_centre")
@operator_command
def end(data_centre, **options):
    """End the evacuation of DATA_CENTRE."""
    text = f"the evacuation of {data_centre} has ended"
    _order(data_centre, text, starts=False, **options)


@evacuations_group.command("show")
@operator_command
def show(control, timeout, as_json):
    """List the data centres that are evacuated, with the ages of the evacuations."""
    call = routing.list_evacuations(
        addresses=control, timeout_s=checked_timeout(control, timeout)
    )
    rows = msgspec.json.decode(_run(call, as_json))
    lines = [
        f"{row['data_centre']}  evacuated for {row['age_ms'] / 1000:.0f} s"
        for row in rows
    ]
    print_and_exit(rows, lines or ["no data centre is evacuated"], as_json=as_json)


def _order(data_centre, text, *, starts, control, timeout, as_json):
    call = routing.order_evacuation(
        data_centre,
        starts=starts,
        addresses=control,
        timeout_s=checked_timeout(control, timeout),
    )
    _run(call, as_json)
    body = {"outcome": "acknowledged", "data_centre": data_centre}
    print_and_exit(body, [text], as_json=as_json)


def _run(call, as_json):
    try:
        return asyncio.run(call)
    except routing.EvacuationRefusedError as error:
        exit_with_error("rejected", error, as_json, ExitCode.REJECTED)
    except ControlUnavailableError as error:
        exit_with_error("unavailable", error, as_json, ExitCode.UNAVAILABLE)
