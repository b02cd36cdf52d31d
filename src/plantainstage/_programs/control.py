"""``plantainstage-control``: one replica of the replicated control state."""

import asyncio

import click
from loguru import logger

from plantainstage._control.daemon import ControlDaemon
from plantainstage._errors import PlantainstageError
from plantainstage._membership.commands import DEFAULT_KEEP_BYTES
from plantainstage._programs.logs import configure_logs
from plantainstage._programs.stop_signals import catch_stop_signals
from plantainstage._settings.base import build_settings
from plantainstage._settings.control import check_control_settings

EXIT_CANNOT_RUN = 1


@click.command(context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_CONTROL"})
@click.option(
    "--replica-id",
    default="control-1",
    show_default=True,
    help="Name of this replica, unique in the deployment.",
)
@click.option(
    "--listen",
    default="127.0.0.1:7100",
    show_default=True,
    help="IP:port for entry hosts and operators.",
)
@click.option(
    "--peer-listen",
    default="127.0.0.1:7150",
    show_default=True,
    help="IP:port for the other control replicas.",
)
@click.option(
    "--data-folder",
    default="",
    help="Data folder on a local disk; without it a single replica runs in "
    "memory and persists nothing.",
)
@click.option(
    "--bootstrap/--join",
    "bootstrap",
    default=None,
    help="With an empty data folder: found a new group with --peers, or wait "
    "until an operator adds the replica. Ignored if the folder belongs to a group.",
)
@click.option(
    "--peers",
    multiple=True,
    help="Another replica of the new group as ID=CLIENT,PEER (two addresses of "
    "IP:port); repeat for each one. Only with --bootstrap.",
)
@click.option(
    "--kept-answers-mib",
    default=str(DEFAULT_KEEP_BYTES // (1024 * 1024)),
    show_default=True,
    help="Limit of the kept answers to non-idempotent requests while this replica "
    "leads (1 to 1024 MiB); the process needs about seven times as much for them.",
)
@click.option(
    "--statsd-address",
    default="",
    help="IP:port of a statsd server (UDP); no metrics are sent by default.",
)
@click.option(
    "--log-level",
    default="INFO",
    show_default=True,
    help="DEBUG, INFO, WARNING or ERROR.",
)
def main(**options):
    """Run one control replica.

    Exit codes: 0 after a planned stop, 1 when the replica cannot run (the last
    log line says why), 2 for invalid settings.
    """
    settings = build_settings(lambda: check_control_settings(**options))
    configure_logs(
        level=settings.log_level, program="control", host_id=settings.replica_id
    )
    daemon = ControlDaemon(settings=settings)
    try:
        asyncio.run(run(daemon))
    except PlantainstageError as error:
        logger.critical("cannot run", error=str(error), type=type(error).__name__)
        raise SystemExit(EXIT_CANNOT_RUN) from None


async def run(daemon):
    """Runs the daemon until a planned stop."""
    stop = catch_stop_signals()
    await daemon.run(stop.wait())


if __name__ == "__main__":
    main()
