"""``plantainstage-registry``: a control replica of routed requests."""

import click

from plantainstage._programs.event_logs import run_daemon
from plantainstage._registry.daemon import RegistryDaemon
from plantainstage._settings.base import build_settings
from plantainstage._settings.serving import check_registry_settings


@click.command(context_settings={"auto_envvar_prefix": "PLANTAINSTAGE_REGISTRY"})
@click.option("--host-id", default="registry-1", show_default=True, help="Unique name.")
@click.option(
    "--data-centre", default="dc-1", show_default=True, help="Data centre of this host."
)
@click.option(
    "--listen",
    default="127.0.0.1:8100",
    show_default=True,
    help="IP:port for operators and searchers; the next two ports are used too.",
)
@click.option(
    "--metrics-listen", default="", help="IP:port that serves /metrics; none if empty."
)
@click.option(
    "--data-folder",
    default="registry-data",
    show_default=True,
    help="Data folder on a local disk; it is created if it does not exist.",
)
@click.option(
    "--seed",
    multiple=True,
    default=("127.0.0.1:8100",),
    show_default=True,
    help="IP:port of a replica (its --listen); repeat for each one known.",
)
@click.option(
    "--found/--join",
    default=False,
    show_default=True,
    help="With an empty data folder: found a new group with all of --seed, or ask to "
    "join the group of any of them. Ignored if the folder belongs to a group.",
)
@click.option(
    "--heartbeat",
    default="1",
    show_default=True,
    help="Interval of the searchers' announcements, in seconds (0.05 to 60).",
)
@click.option(
    "--losses",
    default="1",
    show_default=True,
    help="Replicas that may be lost at a time, with their folders (1 to 8).",
)
@click.option(
    "--catch-up",
    default="12",
    show_default=True,
    help="Time that a replica has after its start before the next one may be lost, in "
    "seconds (1 to 600).",
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
def main(**options):
    """Store the configuration and accept announcements of searchers.

    Exit codes: 0 after a planned stop, 2 for invalid settings.
    """
    settings = build_settings(lambda: check_registry_settings(**options))
    run_daemon(RegistryDaemon, program="registry", settings=settings)


if __name__ == "__main__":
    main()
