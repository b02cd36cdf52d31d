"""``plantainstage-burn``: service-level burn per profile and minute."""

import asyncio
import enum
import sys

import click

from plantainstage._reports.burn import burn_report
from plantainstage._reports.burn_text import report_json, report_text
from plantainstage._reports.published_profiles import (
    BoundsUnavailableError,
    profiles_from_control,
    profiles_from_file,
)
from plantainstage._reports.sources import MinuteCollection, read_entry_hosts, read_log
from plantainstage._settings.base import build_settings
from plantainstage._settings.burn import STANDARD_INPUT, BurnSettings


class ExitCode(enum.IntEnum):
    """Exit codes, also listed in docs/burn.md."""

    WITHIN_BUDGET = 0
    USAGE = 2
    EXCEEDED = 3
    PARTIAL = 4
    PARTIAL_AND_EXCEEDED = 5
    NO_PROFILES = 6
    PLOT_FAILED = 7


EPILOG = (
    "Exit codes: 0 within budget; 2 usage; 3 budget exceeded; 4 partial data, "
    "not exceeded in what was read; 5 partial data, exceeded in what was read; "
    "6 the profiles could not be read; 7 the plot could not be written."
)


@click.command(
    context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_BURN"}, epilog=EPILOG
)
@click.option(
    "--entry", multiple=True, help="IP:port of an entry host; repeat for each one."
)
@click.option(
    "--log",
    multiple=True,
    help="JSON-line log to read, - for standard input; repeatable.",
)
@click.option(
    "--control",
    multiple=True,
    help="IP:port of a control replica that the profiles are read from.",
)
@click.option(
    "--profiles", default="", help="JSON file with the profiles, instead of --control."
)
@click.option(
    "--minutes",
    default="180",
    show_default=True,
    help="Length of the period, in minutes (1 to 180).",
)
@click.option(
    "--timeout",
    default="10",
    show_default=True,
    help="Time limit of each read, in seconds (0.1 to 600).",
)
@click.option(
    "--format",
    "output_format",
    default="text",
    show_default=True,
    envvar="PLANTAINSTAGE_BURN_FORMAT",
    help="Output format, text or json.",
)
@click.option("--plot", default="", help="Plot to write, .png or .svg.")
def main(**flags):
    """Report how much of each profile's error budget is burnt."""
    settings = build_settings(lambda: BurnSettings.from_flags(**flags))
    try:
        report = asyncio.run(make_report(settings))
    except BoundsUnavailableError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(ExitCode.NO_PROFILES) from None
    render = report_json if settings.format == "json" else report_text
    click.echo(render(report), nl=settings.format == "json")
    if settings.plot and not plot_report(report, settings.plot):
        raise SystemExit(ExitCode.PLOT_FAILED)
    raise SystemExit(exit_code(report))


async def make_report(settings):
    """Reads all sources and returns the BurnReport."""
    if settings.profiles:
        published = profiles_from_file(settings.profiles)
    else:
        published = await profiles_from_control(
            settings.control, timeout_s=settings.timeout_s
        )
    collection = MinuteCollection()
    for path in settings.logs:
        read_log_file(collection, path)
    await read_entry_hosts(collection, settings.entries, timeout_s=settings.timeout_s)
    return burn_report(
        collection,
        published.profiles,
        period_minutes=settings.minutes,
        expected_hosts=published.entry_hosts,
    )


def read_log_file(collection, path):
    """Reads one log; a file that cannot be read is recorded as a problem."""
    if path == STANDARD_INPUT:
        read_log(collection, sys.stdin.buffer, source="standard input")
        return
    try:
        with open(path, "rb") as stream:
            read_log(collection, stream, source=path)
    except OSError as error:
        collection.add_problem(path, str(error))


def plot_report(report, path):
    """Writes the plot; on failure prints an error and returns False."""
    # Imported on demand: matplotlib takes most of the program's start time.
    from plantainstage._reports.plot import draw_report

    try:
        draw_report(report, path)
    except OSError as error:
        click.echo(f"error: the plot could not be written: {error}", err=True)
        return False
    return True


def exit_code(report):
    """Returns the ExitCode of a report; a partial one is never within budget."""
    match report.partial, report.exceeded:
        case True, True:
            return ExitCode.PARTIAL_AND_EXCEEDED
        case True, False:
            return ExitCode.PARTIAL
        case False, True:
            return ExitCode.EXCEEDED
    return ExitCode.WITHIN_BUDGET


if __name__ == "__main__":
    main()
