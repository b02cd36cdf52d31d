"""Settings of ``plantainstage-entry``."""

from dataclasses import dataclass

from plantainstage._settings.base import SettingsCheck

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MAX_DRAIN_DELAY_S = 600.0


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of an entry host, fixed at its start.

    ``listen`` is for callers and searchers, ``forward_listen`` for other entry
    hosts; both are also the addresses that others use to reach this host.
    """

    entry_id: str
    data_centre: str
    listen: str
    forward_listen: str
    control: tuple[str, ...]
    drain_delay_s: float
    statsd_address: str
    log_level: str


def check_entry_settings(
    *,
    entry_id,
    data_centre,
    listen,
    forward_listen,
    control,
    drain_delay,
    statsd_address,
    log_level,
):
    """Returns the settings or raises SettingsError with every error."""
    check = SettingsCheck()
    check.name(flag="--entry-id", value=entry_id)
    check.name(flag="--data-centre", value=data_centre)
    check.listen_address(flag="--listen", value=listen)
    check.listen_address(flag="--forward-listen", value=forward_listen)
    check.require(
        flag="--forward-listen",
        value=forward_listen,
        condition=forward_listen != listen,
        expected="another address than --listen",
        remedy="Choose another port.",
    )
    check.addresses(flag="--control", values=tuple(control))
    drain_delay_s = check.number(
        flag="--drain-delay",
        value=drain_delay,
        low=0.0,
        high=MAX_DRAIN_DELAY_S,
        unit="seconds",
    )
    if statsd_address:
        check.address(flag="--statsd-address", value=statsd_address)
    check.choice(flag="--log-level", value=log_level, choices=LOG_LEVELS)
    check.raise_errors()
    return EntrySettings(
        entry_id=entry_id,
        data_centre=data_centre,
        listen=listen,
        forward_listen=forward_listen,
        control=tuple(control),
        drain_delay_s=drain_delay_s,
        statsd_address=statsd_address,
        log_level=log_level,
    )
