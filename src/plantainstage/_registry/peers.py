"""The addresses of control replicas."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Peer:
    """The addresses of one control replica, each ``IP:port``."""

    client_address: str
    peer_address: str
    sync_address: str
