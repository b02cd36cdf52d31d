"""Settings of ``plantainstage-control``."""

from dataclasses import dataclass

from plantainstage._settings.base import SettingsCheck

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MODES = ("bootstrap", "join", "memory")


@dataclass(frozen=True, kw_only=True)
class ControlSettings:
    """Everything that a control replica is told at its start.

    ``mode`` is ``bootstrap`` for the first replica of a new deployment,
    ``join`` for every other one, and ``memory`` for a single replica that
    keeps nothing.
    """

    replica_id: str
    listen: str
    peer_listen: str
    data_folder: str
    mode: str
    peers: tuple[str, ...]
    statsd_address: str
    log_level: str

    @property
    def in_memory(self):
        """Whether nothing is replicated or kept."""
        return self.mode == "memory"


def check_control_settings(
    *,
    replica_id,
    listen,
    peer_listen,
    data_folder,
    mode,
    peers,
    statsd_address,
    log_level,
):
    """Returns the settings or raises SettingsError with every error."""
    check = SettingsCheck()
    check.name(flag="--replica-id", value=replica_id)
    check.address(flag="--listen", value=listen)
    check.choice(flag="--log-level", value=log_level, choices=LOG_LEVELS)
    check.choice(flag="--bootstrap/--join/--in-memory", value=mode, choices=MODES)
    if statsd_address:
        check.address(flag="--statsd-address", value=statsd_address)
    if mode != "memory":
        _check_replicated(check, listen, peer_listen, data_folder, mode, peers)
    check.finish()
    return ControlSettings(
        replica_id=replica_id,
        listen=listen,
        peer_listen=peer_listen,
        data_folder=data_folder,
        mode=mode,
        peers=tuple(peers),
        statsd_address=statsd_address,
        log_level=log_level,
    )


def _check_replicated(check, listen, peer_listen, data_folder, mode, peers):
    check.address(flag="--peer-listen", value=peer_listen)
    check.require(
        flag="--peer-listen",
        value=peer_listen,
        condition=peer_listen != listen,
        expected="another address than --listen",
        remedy="Choose another port.",
    )
    check.require(
        flag="--data-folder",
        value=data_folder,
        condition=bool(data_folder),
        expected="the folder that keeps the log of this replica",
        remedy="Give a folder on a local disk that is kept across restarts.",
    )
    if data_folder:
        check.writable_folder(flag="--data-folder", value=data_folder)
    if peers or mode == "join":
        check.addresses(flag="--peers", values=tuple(peers))
