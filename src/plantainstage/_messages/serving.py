"""Messages between entry hosts and control replicas about routed requests.

pynng Req0/Rep0, msgpack. An entry host polls every replica and names what it
holds, so that a reply carries only what is new to it. Polls are most of the traffic
of control, which is why their fields travel without names.
"""

import msgspec

from plantainstage._messages.agreement import Member
from plantainstage._serving.searchers import Searcher


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """What an entry host holds.

    ``process`` and ``cursor`` are those of the replica's last reply, ``version``
    is that of the configuration in force on the host.
    """

    host_id: str
    process: str = ""
    cursor: int = 0
    version: int = -1


class SyncReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """What is new since the cursor.

    ``silent`` names searchers that this replica has not heard for a while,
    ``replicas`` the addresses of all replicas and ``hosts`` the number of entry
    hosts that polled lately. ``data_centre`` is that of the replica.
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
    """A replica tells another that a searcher drains or has left."""

    searcher: Searcher


class Noted(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """The notice was taken."""


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """A replica that is in no group asks to be added."""

    member: Member


class JoinReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """``leader`` is the address to ask next, or empty when none is known."""

    leader: str = ""


ServingRequest = SyncRequest | SearcherNotice | JoinRequest
ServingReply = SyncReply | Noted | JoinReply

REQUEST_DECODER = msgspec.msgpack.Decoder(ServingRequest)
REPLY_DECODER = msgspec.msgpack.Decoder(ServingReply)
