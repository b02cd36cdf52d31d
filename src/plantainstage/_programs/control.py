"""``plantainstage-control``: one replica of the replicated state."""

import asyncio

import click
import pynng
from loguru import logger

from plantainstage._control.memory_log import MemoryLog
from plantainstage._control.metrics import make_counter
from plantainstage._control.reconciler import Reconciler
from plantainstage._control.service import ControlService
from plantainstage._errors import ListenError, PlantainstageError
from plantainstage._membership.machine import MembershipMachine
from plantainstage._programs.logs import configure_logs
from plantainstage._programs.running import wait_for_stop_signal
from plantainstage._settings.base import build_settings
from plantainstage._settings.control import check_control_settings
from plantainstage._transport.rpc import RpcServer

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
    "--statsd-address",
    default="",
    help="IP:port that takes metrics over UDP; none are sent by default.",
)
@click.option(
    "--log-level",
    default="INFO",
    show_default=True,
    help="DEBUG, INFO, WARNING or ERROR.",
)
def main(**options):
    """Run one control replica."""
    settings = build_settings(
        lambda: check_control_settings(
            peer_listen="", data_folder="", mode="memory", peers=(), **options
        )
    )
    configure_logs(
        level=settings.log_level, program="control", host_id=settings.replica_id
    )
    try:
        asyncio.run(run(settings))
    except PlantainstageError as error:
        logger.critical("cannot run", error=str(error), type=type(error).__name__)
        raise SystemExit(EXIT_CANNOT_RUN) from None


async def run(settings):
    """Serves until a planned stop."""
    machine = MembershipMachine()
    log = MemoryLog(machine=machine, address=settings.listen)
    service = ControlService(
        log=log,
        machine=machine,
        count=make_counter(
            address=settings.statsd_address, replica_id=settings.replica_id
        ),
    )
    server = RpcServer(address=settings.listen, handler=service.handle)
    start_listening(server)
    reconciliation = asyncio.create_task(Reconciler(core=service.core).run())
    logger.info("listening", address=settings.listen)
    await wait_for_stop_signal()
    reconciliation.cancel()
    await server.stop()
    logger.info("stopped")


def start_listening(server):
    """Starts the server; raises ListenError."""
    try:
        server.start()
    except pynng.NNGException as error:
        raise ListenError(
            flag="--listen", address=server.address, detail=str(error)
        ) from error


if __name__ == "__main__":
    main()
