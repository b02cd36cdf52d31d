"""``plantainstage-entry``: an entry host, which answers callers' requests."""

import asyncio
import gc
import logging

import click
import pynng
from loguru import logger

from plantainstage._entry.host import EntryHost
from plantainstage._entry.stopping import stop_gracefully
from plantainstage._errors import InvariantViolation
from plantainstage._programs.logs import configure_logs
from plantainstage._programs.stop_signals import catch_stop_signals
from plantainstage._reports.metrics import Metric
from plantainstage._settings.base import build_settings
from plantainstage._settings.entry import check_entry_settings

EXIT_ADDRESS_IN_USE = 2
# Each sub-request allocates some tens of objects that reference counting frees;
# Python's default of 700 would run the collector for every few requests.
GC_THRESHOLD = 50_000


@click.command(context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_ENTRY"})
@click.option(
    "--entry-id", default="", help="Name of this host, unique in the deployment."
)
@click.option("--data-centre", default="", help="Data centre of this host.")
@click.option("--listen", default="127.0.0.1:7200", show_default=True)
@click.option("--forward-listen", default="127.0.0.1:7300", show_default=True)
@click.option(
    "--control",
    multiple=True,
    help="IP:port of a control replica; repeat for each one.",
)
@click.option(
    "--drain-delay",
    default="5",
    show_default=True,
    help="Seconds between failing readiness checks and refusing requests.",
)
@click.option(
    "--statsd-address",
    default="",
    help="IP:port of a statsd server (UDP); no metrics are sent by default.",
)
@click.option("--log-level", default="INFO", show_default=True)
def main(**flags):
    """Run one entry host."""
    settings = build_settings(lambda: check_entry_settings(**flags))
    configure_logs(level=settings.log_level, program="entry", host_id=settings.entry_id)
    # tornado logs a warning for each malformed request, which is refused anyway.
    logging.getLogger("tornado").setLevel(logging.ERROR)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    raise SystemExit(asyncio.run(run(settings)))


async def run(settings):
    """Serves until a planned stop; returns the exit code."""
    stop = catch_stop_signals()
    host = EntryHost(settings=settings)
    try:
        host.start()
    except (OSError, pynng.NNGException) as error:
        click.echo(
            f"error: cannot listen on {settings.listen} and "
            f"{settings.forward_listen}: {error}. Choose free ports with --listen and "
            "--forward-listen, or end the process that uses them.",
            err=True,
        )
        return EXIT_ADDRESS_IN_USE
    failed = asyncio.Event()
    asyncio.get_running_loop().set_exception_handler(
        _make_exception_handler(host, failed)
    )
    logger.info("listening", address=settings.listen)
    await _wait_for_any(stop, failed)
    await stop_gracefully(host, drain_delay_s=settings.drain_delay_s)
    logger.info("stopped")
    return 1 if failed.is_set() else 0


async def _wait_for_any(*events):
    """Returns once one of the events is set."""
    tasks = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


def _make_exception_handler(host, failed):
    """Returns an event-loop handler for exceptions that no task has handled."""

    def handle(loop, context):
        error = context.get("exception")
        logger.opt(exception=error).error("unexpected", detail=context["message"])
        if isinstance(error, InvariantViolation):
            host.metrics.count(Metric.INVARIANT_VIOLATIONS)
        if isinstance(error, InvariantViolation) or context.get("fatal"):
            # The host cannot serve without its lease or the state of its owners.
            failed.set()

    return handle


if __name__ == "__main__":
    main()
