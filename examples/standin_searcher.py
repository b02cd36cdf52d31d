"""Stand-in searchers for demos and tests; not part of the product.

One process runs the searchers of one deployment. They implement the upstream
protocol; flags and HTTP requests (``--control-listen``) set their behaviour. For
example, 3 partitions of 2 searchers each, announced to one entry host::

    python examples/standin_searcher.py --entry 127.0.0.1:7200 \
        --partitions 3 --replicas 2 --control-listen 127.0.0.1:7399
"""

import asyncio
import logging
import signal

import click

from standin.control import start_control
from standin.deployments import DEPLOYMENTS, manifest_of, placements_of
from standin.searcher import Behaviour, Searcher
from standin.server import SearcherService


@click.command(context_settings={"auto_envvar_prefix": "STANDIN"})
@click.option("--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="kogi")
@click.option("--address", default="127.0.0.1", show_default=True)
@click.option("--first-port", default=7400, show_default=True)
@click.option(
    "--control-listen",
    default="",
    help="IP:port for HTTP requests that set the behaviour.",
)
@click.option(
    "--partitions", type=int, help="Maximum number of partitions; default: all."
)
@click.option("--replicas", type=int, help="Searchers of each partition.")
@click.option("--first-replica", default=1, show_default=True)
@click.option(
    "--data-centre", default="", help="Run only the searchers of this data centre."
)
@click.option(
    "--runs-file", default="", help="File to which each run is written as a JSON line."
)
@click.option("--entry", multiple=True, required=True, help="IP:port, repeatable.")
@click.option("--seed", default=1, show_default=True)
@click.option("--service-ms", default=3.0, show_default=True)
@click.option("--jitter-ms", default=2.0, show_default=True)
@click.option("--slow-fraction", default=0.0, show_default=True)
@click.option("--slow-factor", default=10.0, show_default=True)
@click.option("--shed-fraction", default=0.0, show_default=True)
@click.option("--load", type=click.Choice(["honest", "lag", "lie"]), default="honest")
@click.option("--cold-factor", default=1.0, show_default=True)
@click.option("--cold-ms", default=0.0, show_default=True)
@click.option("--crash-ms", default=1000.0, show_default=True)
def main(
    deployment,
    address,
    first_port,
    control_listen,
    partitions,
    replicas,
    first_replica,
    data_centre,
    runs_file,
    entry,
    seed,
    **behaviour,
):
    """Run the stand-in searchers of a deployment in one process."""
    logging.getLogger("tornado").setLevel(logging.ERROR)
    selected = DEPLOYMENTS[deployment]
    manifest = manifest_of(selected, partitions)
    placements = placements_of(
        selected, partitions, replicas, first_replica, data_centre
    )
    # Stays open until the process ends, including by a signal.
    runs = open(runs_file, "ab", buffering=0) if runs_file else None  # noqa: SIM115
    searchers = [
        Searcher(
            placement=placement,
            address=f"{address}:{first_port + position}",
            index=selected.index,
            manifest=manifest,
            seed=seed,
            behaviour=Behaviour(**behaviour),
            runs_file=runs,
        )
        for position, placement in enumerate(placements)
    ]
    asyncio.run(run(searchers, entry, control_listen))


async def run(searchers, entries, control_listen):
    """Serves until SIGTERM or SIGINT, then drains and stops."""
    services = []
    for position, searcher in enumerate(searchers):
        shift = position % len(entries)
        entry_order = (*entries[shift:], *entries[:shift])
        services.append(SearcherService(searcher=searcher, entries=entry_order))
    for service in services:
        service.listen()
    if control_listen:
        start_control(services, control_listen)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    tasks = [asyncio.create_task(service.run()) for service in services]
    await stop.wait()
    for service in services:
        service.drain()
    for service in services:
        await service.wait_drained()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    main()
