"""Messages between entry hosts and control replicas about routed requests.

pynng Req0/Rep0, msgpack. An entry host polls every replica and states what it
has, so that a reply contains only what is new to it. Polls are most of the traffic
of control, which is why the structs are encoded as arrays, without field names.
"""

import msgspec

from plantainstage._messages.agreement import Member
from plantainstage._serving.searchers import Searcher


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """A poll by an entry host, with the state that it has.

    ``process`` and ``cursor`` are taken from the replica's last reply. ``version`` is
    that of the configuration in force on the host.
    """

    host_id: str
    process: str = ""
    cursor: int = 0
    version: int = -1


class SyncReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """What has changed since the cursor of the poll.

    ``silent`` lists searchers that have not announced themselves to this replica for
    a while, ``replicas`` the addresses of all replicas, and ``hosts`` is the number
    of entry hosts that polled recently. ``data_centre`` is that of the replica.
    """

    process: str
    cursor: int
    version: int
    data_centre: str = ""
    document: bytes | None = None
    searchers: tuple[Searcher, ...] = ()
    silent: tuple[str, ...] = ()
    replicas: tuple[str, ...] = ()
    hosts: int = 1


class SearcherNotice(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """A replica notifies another that a searcher drains or has left."""

    searcher: Searcher


class Noted(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """The notice was recorded."""


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """A replica that belongs to no group asks to be added."""

    member: Member


class JoinReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """``leader`` is the address to ask next, or empty if no leader is known."""

    leader: str = ""


ServingRequest = SyncRequest | SearcherNotice | JoinRequest
ServingReply = SyncReply | Noted | JoinReply

REQUEST_DECODER = msgspec.msgpack.Decoder(ServingRequest)
REPLY_DECODER = msgspec.msgpack.Decoder(ServingReply)
