"""Settings of ``plantainstage-gateway`` and ``plantainstage-registry``."""

from plantainstage._gateway.daemon import GatewaySettings
from plantainstage._registry.daemon import RegistrySettings
from plantainstage._registry.group_limits import GroupLimits
from plantainstage._registry.peers import Peer
from plantainstage._serving.account_bounds import QuotaBounds, WarmUpBounds
from plantainstage._serving.retry_budget import RetryBudgetLimits
from plantainstage._settings.base import SettingsCheck

# A replica listens on three consecutive ports: for operators and searchers, for
# the other replicas, and for entry hosts.
PEER_PORT_OFFSET = 1
SYNC_PORT_OFFSET = 2


def peer_from_address(address: str) -> Peer:
    """Returns the addresses of the replica whose first address is ``address``."""
    return Peer(
        client_address=address,
        peer_address=_with_port_offset(address, PEER_PORT_OFFSET),
        sync_address=sync_address_of(address),
    )


def sync_address_of(address: str) -> str:
    """Returns the address for entry hosts of the replica with this first address."""
    return _with_port_offset(address, SYNC_PORT_OFFSET)


def _with_port_offset(address, offset):
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + offset}"


def _check_quota(check, *, window, overage, slack) -> QuotaBounds:
    window_s = check.number(
        flag="--quota-window", value=window, low=0.5, high=60.0, unit="s"
    )
    checked_overage = check.number(
        flag="--quota-overage", value=overage, low=0.0, high=10.0, unit=""
    )
    # Half of the slack is lent to hosts as permits; with less than one permit an
    # account with a small quota would get no request admitted.
    checked_slack = check.number(
        flag="--quota-slack", value=slack, low=4.0, high=1e6, unit="requests"
    )
    return QuotaBounds(window_s=window_s, overage=checked_overage, slack=checked_slack)


def check_gateway_settings(
    *,
    host_id,
    data_centre,
    listen,
    ready_listen,
    relay_listen,
    metrics_listen,
    registry,
    retry_ratio,
    retry_slack,
    quota_window,
    quota_overage,
    quota_slack,
    warm_up_overage,
    warm_up_slack,
    stop,
) -> GatewaySettings:
    """Checks all flags; raises SettingsError with every error."""
    check = SettingsCheck()
    check.name(flag="--host-id", value=host_id)
    check.name(flag="--data-centre", value=data_centre)
    check.listen_address(flag="--listen", value=listen)
    check.listen_address(flag="--ready-listen", value=ready_listen)
    if relay_listen:
        check.listen_address(flag="--relay-listen", value=relay_listen)
    if metrics_listen:
        check.listen_address(flag="--metrics-listen", value=metrics_listen)
    check.addresses(flag="--registry", values=registry)
    ratio = check.number(
        flag="--retry-ratio", value=retry_ratio, low=0.0, high=1.0, unit=""
    )
    slack = check.number(
        flag="--retry-slack", value=retry_slack, low=0.0, high=1e6, unit="requests"
    )
    quota = _check_quota(
        check, window=quota_window, overage=quota_overage, slack=quota_slack
    )
    overage = check.number(
        flag="--warm-up-overage", value=warm_up_overage, low=1.0, high=100.0, unit=""
    )
    warm_up_requests = check.number(
        flag="--warm-up-slack", value=warm_up_slack, low=1.0, high=1e6, unit="requests"
    )
    stop_s = check.number(flag="--stop", value=stop, low=1.0, high=600.0, unit="s")
    check.raise_errors()
    addresses = tuple(sync_address_of(address) for address in registry)
    return GatewaySettings(
        host_id=host_id,
        data_centre=data_centre,
        listen=listen,
        ready_listen=ready_listen,
        relay_listen=relay_listen,
        metrics_listen=metrics_listen,
        control_addresses=lambda: addresses,
        budget=RetryBudgetLimits(ratio=ratio, slack=slack),
        quota=quota,
        warm_up=WarmUpBounds(overage=overage, slack=warm_up_requests),
        stop_s=stop_s,
    )


def check_registry_settings(
    *,
    host_id,
    data_centre,
    listen,
    metrics_listen,
    data_folder,
    seed,
    found,
    heartbeat,
    losses,
    catch_up,
    quota_window,
    quota_overage,
    quota_slack,
) -> RegistrySettings:
    """Checks all flags; raises SettingsError with every error."""
    check = SettingsCheck()
    check.name(flag="--host-id", value=host_id)
    check.name(flag="--data-centre", value=data_centre)
    check.listen_address(flag="--listen", value=listen)
    if metrics_listen:
        check.listen_address(flag="--metrics-listen", value=metrics_listen)
    check.writable_folder(flag="--data-folder", value=data_folder)
    check.addresses(flag="--seed", values=seed)
    check.require(
        flag="--found",
        value=found,
        condition=not found or listen in seed,
        expected="--listen among the addresses of --seed",
        remedy="Name all founders with --seed, or start without --found to join.",
    )
    heartbeat_s = check.number(
        flag="--heartbeat", value=heartbeat, low=0.05, high=60.0, unit="s"
    )
    loss_count = check.number(
        flag="--losses", value=losses, low=1, high=8, unit="replicas"
    )
    catch_up_s = check.number(
        flag="--catch-up", value=catch_up, low=1.0, high=600.0, unit="s"
    )
    quota = _check_quota(
        check, window=quota_window, overage=quota_overage, slack=quota_slack
    )
    check.raise_errors()
    seeds = tuple(map(peer_from_address, seed))
    return RegistrySettings(
        host_id=host_id,
        data_centre=data_centre,
        own=peer_from_address(listen),
        data_folder=data_folder,
        peers=lambda: seeds,
        sync_address_of=sync_address_of,
        founders=seeds if found else (),
        heartbeat_s=heartbeat_s,
        limits=GroupLimits(losses=round(loss_count), catch_up_s=catch_up_s),
        quota=quota,
        metrics_listen=metrics_listen,
    )
