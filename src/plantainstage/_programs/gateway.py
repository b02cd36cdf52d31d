"""``plantainstage-gateway``: an entry host of routed requests."""

import click

from plantainstage._gateway.daemon import GatewayDaemon
from plantainstage._programs.event_logs import run_daemon
from plantainstage._settings.base import build_settings
from plantainstage._settings.serving import check_gateway_settings


@click.command(context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_GATEWAY"})
@click.option("--host-id", default="gateway-1", show_default=True, help="Unique name.")
@click.option(
    "--data-centre", default="dc-1", show_default=True, help="Data centre of this host."
)
@click.option(
    "--listen", default="127.0.0.1:8200", show_default=True, help="IP:port for callers."
)
@click.option(
    "--ready-listen",
    default="127.0.0.1:8201",
    show_default=True,
    help="IP:port for the balancer's probes of /readyz.",
)
@click.option(
    "--relay-listen",
    default="",
    help="IP:port for requests of entry hosts that reach no searcher; if empty, this "
    "host neither takes nor passes on any. Only for the hosts' own network.",
)
@click.option(
    "--metrics-listen", default="", help="IP:port that serves /metrics; none if empty."
)
@click.option(
    "--registry",
    multiple=True,
    default=("127.0.0.1:8100",),
    show_default=True,
    help="IP:port of a control replica (its --listen); repeat for each one known.",
)
@click.option(
    "--retry-ratio",
    default="0.2",
    show_default=True,
    help="Hedges and retries to a service, as a share of its requests (0 to 1).",
)
@click.option(
    "--retry-slack",
    default="50",
    show_default=True,
    help="Hedges and retries beyond the ratio in any window, over all entry hosts.",
)
@click.option(
    "--quota-window",
    default="5",
    show_default=True,
    help="Window of the bound on an account's requests, in seconds (0.5 to 60); the "
    "same on all hosts and replicas.",
)
@click.option(
    "--quota-overage",
    default="0.1",
    show_default=True,
    help="Requests of an account beyond its quota in any window, as a share of it "
    "(0 to 10).",
)
@click.option(
    "--quota-slack",
    default="20",
    show_default=True,
    help="Requests of an account beyond quota and overage in any window, over all "
    "entry hosts (4 to 1000000).",
)
@click.option(
    "--warm-up-overage",
    default="1.5",
    show_default=True,
    help="Requests that a searcher which warms up may get in a second from all entry "
    "hosts, as a multiple of its warm-up rate (1 to 100).",
)
@click.option(
    "--warm-up-slack",
    default="5",
    show_default=True,
    help="Requests beyond that multiple, in any second (1 to 1000000).",
)
@click.option(
    "--stop",
    default="6",
    show_default=True,
    help="Time limit of a planned stop, in seconds (1 to 600).",
)
def main(**options):
    """Route callers' requests to searchers.

    Exit codes: 0 after a planned stop, 2 for invalid settings.
    """
    settings = build_settings(lambda: check_gateway_settings(**options))
    run_daemon(GatewayDaemon, program="gateway", settings=settings)


if __name__ == "__main__":
    main()
