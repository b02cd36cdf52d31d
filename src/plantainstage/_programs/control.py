"""``plantainstage-control``: one replica of the replicated state."""

import asyncio

import click
from loguru import logger

from plantainstage._control.memory_log import MemoryLog
from plantainstage._control.reconciler import Reconciler
from plantainstage._control.service import ControlService
from plantainstage._membership.machine import MembershipMachine
from plantainstage._programs.logs import configure_logs
from plantainstage._programs.running import wait_for_stop_signal
from plantainstage._transport.rpc import RpcServer


@click.command(context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_CONTROL"})
@click.option("--replica-id", default="control-1", show_default=True)
@click.option("--listen", default="127.0.0.1:7100", show_default=True)
@click.option("--log-level", default="INFO", show_default=True)
def main(replica_id, listen, log_level):
    """Run one control replica."""
    configure_logs(level=log_level, program="control", host_id=replica_id)
    asyncio.run(run(listen))


async def run(listen):
    """Serves until a planned stop."""
    machine = MembershipMachine()
    log = MemoryLog(machine=machine, address=listen)
    service = ControlService(log=log, machine=machine)
    server = RpcServer(address=listen, handler=service.handle)
    server.start()
    reconciliation = asyncio.create_task(Reconciler(core=service.core).run())
    logger.info("listening", address=listen)
    await wait_for_stop_signal()
    reconciliation.cancel()
    await server.stop()
    logger.info("stopped")


if __name__ == "__main__":
    main()
