"""``plantainstage-ctl``: the command-line tool for operators."""

import click

from plantainstage._operator.outcomes import EXIT_CODE_HELP
from plantainstage._programs.ctl_accounts import accounts_command
from plantainstage._programs.ctl_evacuations import evacuations_group
from plantainstage._programs.ctl_profiles import profile_group
from plantainstage._programs.ctl_quarantines import quarantine_group
from plantainstage._programs.ctl_replicas import replica_group
from plantainstage._programs.ctl_routes import routes_group
from plantainstage._programs.ctl_status import (
    change_group,
    status_command,
    wait_command,
)
from plantainstage._programs.ctl_upstreams import upstream_group


@click.group(epilog=EXIT_CODE_HELP)
def main():
    """Change and inspect a plantainstage tier.

    Each command takes --control, --timeout and --json; see its own --help.
    """


for command in (
    profile_group,
    upstream_group,
    quarantine_group,
    replica_group,
    routes_group,
    accounts_command,
    evacuations_group,
    change_group,
    status_command,
    wait_command,
):
    main.add_command(command)


if __name__ == "__main__":
    main()
