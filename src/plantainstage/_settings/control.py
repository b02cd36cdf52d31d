"""Settings of ``plantainstage-control``."""

from dataclasses import dataclass

from plantainstage._settings.base import SettingsCheck, is_address, is_name

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
KEPT_ANSWERS_RANGE_MIB = (1, 1024)  # one answer is at most 1 MiB
_PEER_EXPECTED = "ID=CLIENT,PEER with two addresses of IP:port"
_PEER_REMEDY = (
    "Give the values of --replica-id, --listen and --peer-listen of that replica, "
    "for example control-2=10.0.0.2:7100,10.0.0.2:7150."
)


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another replica of a new group."""

    replica_id: str
    client_address: str
    peer_address: str


@dataclass(frozen=True, kw_only=True)
class ControlSettings:
    """Settings of a control replica, fixed at its start.

    With ``bootstrap``, a replica with an empty folder founds a new group with
    ``peers``; without it, the replica waits until an operator adds it to a group.
    The flag has no effect on a folder that belongs to a group. ``data_folder`` is
    empty for a single replica in memory, which persists nothing.
    ``kept_answers_mib`` applies while this replica is the leader.
    """

    replica_id: str
    listen: str
    peer_listen: str
    data_folder: str
    bootstrap: bool
    peers: tuple[Peer, ...]
    kept_answers_mib: int
    statsd_address: str
    log_level: str

    @property
    def in_memory(self):
        """Whether nothing is replicated or persisted."""
        return not self.data_folder


def check_control_settings(
    *,
    replica_id,
    listen,
    peer_listen,
    data_folder,
    bootstrap,
    peers,
    kept_answers_mib,
    statsd_address,
    log_level,
):
    """Returns the settings or raises SettingsError with every error.

    ``bootstrap`` is None when neither --bootstrap nor --join was given.
    """
    check = SettingsCheck()
    check.name(flag="--replica-id", value=replica_id)
    check.listen_address(flag="--listen", value=listen)
    check.choice(flag="--log-level", value=log_level, choices=LOG_LEVELS)
    if statsd_address:
        check.address(flag="--statsd-address", value=statsd_address)
    parsed = tuple(_parse_peer(check, value) for value in peers)
    if data_folder:
        check.writable_folder(flag="--data-folder", value=data_folder)
        _check_peer_listen(check, listen, peer_listen)
    kept_mib = check.integer(
        flag="--kept-answers-mib",
        value=kept_answers_mib,
        low=KEPT_ANSWERS_RANGE_MIB[0],
        high=KEPT_ANSWERS_RANGE_MIB[1],
        unit="MiB",
    )
    _check_mode(check, data_folder, bootstrap, peers)
    _check_distinct(check, replica_id, parsed)
    check.raise_errors()
    return ControlSettings(
        replica_id=replica_id,
        listen=listen,
        peer_listen=peer_listen,
        data_folder=data_folder,
        bootstrap=bool(bootstrap),
        peers=parsed,
        kept_answers_mib=kept_mib,
        statsd_address=statsd_address,
        log_level=log_level,
    )


def _check_mode(check, data_folder, bootstrap, peers):
    check.require(
        flag="--bootstrap/--join",
        value=bootstrap,
        condition=(bootstrap is None) == (not data_folder),
        expected="one of the two exactly when --data-folder is given",
        remedy="Use --bootstrap for all replicas of a new deployment, --join for "
        "one that replaces another; leave out all three for a trial in memory.",
    )
    check.require(
        flag="--peers",
        value=" ".join(peers),
        condition=not peers or bool(bootstrap),
        expected="peers only with --bootstrap",
        remedy="Leave it out; a joining replica learns its group from the leader.",
    )


def _check_peer_listen(check, listen, peer_listen):
    check.listen_address(flag="--peer-listen", value=peer_listen)
    check.require(
        flag="--peer-listen",
        value=peer_listen,
        condition=peer_listen != listen,
        expected="another address than --listen",
        remedy="Choose another port.",
    )


def _parse_peer(check, value):
    replica_id, _, addresses = value.partition("=")
    client_address, _, peer_address = addresses.partition(",")
    check.require(
        flag="--peers",
        value=value,
        condition=is_name(replica_id)
        and is_address(client_address)
        and is_address(peer_address),
        expected=_PEER_EXPECTED,
        remedy=_PEER_REMEDY,
    )
    return Peer(
        replica_id=replica_id,
        client_address=client_address,
        peer_address=peer_address,
    )


def _check_distinct(check, replica_id, peers):
    names = [replica_id, *(peer.replica_id for peer in peers)]
    check.require(
        flag="--peers",
        value=" ".join(names[1:]),
        condition=len(set(names)) == len(names),
        expected="the other replicas, each once, without this one",
        remedy="Name each other replica of the new group once.",
    )
