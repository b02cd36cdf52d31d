"""``plantainstage-entry``: takes callers' requests and answers them."""

import asyncio
import uuid

import click
from loguru import logger
from tornado.httpserver import HTTPServer

from plantainstage._entry.control_session import ControlSession
from plantainstage._entry.scatter import Scatter
from plantainstage._entry.server import EntryHost, make_application
from plantainstage._messages.configuration import EntryHost as EntryRecord
from plantainstage._programs.logs import configure_logs
from plantainstage._programs.running import wait_for_stop_signal
from plantainstage._transport.rpc import ControlClient


@click.command(context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_ENTRY"})
@click.option("--entry-id", required=True)
@click.option("--data-centre", required=True)
@click.option("--listen", default="127.0.0.1:7200", show_default=True)
@click.option("--forward-listen", default="127.0.0.1:7300", show_default=True)
@click.option("--control", multiple=True, required=True)
@click.option("--log-level", default="INFO", show_default=True)
def main(entry_id, data_centre, listen, forward_listen, control, log_level):
    """Run one entry host."""
    configure_logs(level=log_level, program="entry", host_id=entry_id)
    record = EntryRecord(
        entry_id=entry_id,
        incarnation=uuid.uuid4().hex,
        data_centre=data_centre,
        caller_address=listen,
        forward_address=forward_listen,
    )
    asyncio.run(run(record, tuple(control)))


async def run(record, control_addresses):
    """Serves until a planned stop."""
    client = ControlClient(addresses=control_addresses)
    session = ControlSession(client=client, entry=record)
    host = EntryHost(session=session, scatter=Scatter(), client=client)
    server = HTTPServer(make_application(host))
    address, _, port = record.caller_address.rpartition(":")
    server.listen(int(port), address=address)
    renewal = asyncio.create_task(session.run())
    logger.info("listening", address=record.caller_address)
    await wait_for_stop_signal()
    host.draining = True
    server.stop()
    renewal.cancel()
    await server.close_all_connections()
    client.close()
    logger.info("stopped")


if __name__ == "__main__":
    main()
