"""Messages between entry hosts and control replicas about routed requests.

pynng Req0/Rep0, msgpack. Replicas poll each other, and an entry host polls a replica
of its own data centre, which reports on the others too. A poll states what the sender
has, so that a reply contains only what is new to it. Polls are most of the traffic of
control, which is why the structs are encoded as arrays, without field names.
"""

import msgspec

from plantainstage._messages.agreement import Member, MemberId
from plantainstage._serving.crash_reports import CrashReport, SuspectedRequest
from plantainstage._serving.evacuations import EndedEvacuation, EvacuationState
from plantainstage._serving.searcher_observations import (
    SearcherObservation,
    SearcherTrouble,
)
from plantainstage._serving.searchers import Searcher


class SourceCursor(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How much an entry host has of what one replica hears from searchers.

    ``process`` and ``cursor`` are taken from the replica's last report, which may have
    come through another replica.
    """

    address: str
    process: str
    cursor: int


# Of a replica from which an entry host has nothing yet.
NOTHING_HELD = SourceCursor(address="", process="", cursor=0)


class SourceReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one replica hears from searchers, as far as it changed since a cursor.

    ``silent`` lists searchers that have not announced themselves to the replica for a
    while. ``hosts`` is the number of entry hosts that count themselves at the replica.
    ``age_ms`` is how long ago the replying replica was last in contact with it; 0 for
    its own report. ``helpers`` has the relay addresses of a few of these hosts, in
    reports between replicas only.
    """

    address: str
    process: str
    cursor: int
    data_centre: str = ""
    hosts: int = 0
    age_ms: int = 0
    searchers: tuple[Searcher, ...] = ()
    silent: tuple[str, ...] = ()
    helpers: tuple[str, ...] = ()


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """A poll by an entry host, with the state that it has.

    ``version`` is that of the configuration in force on the host. ``counts`` tells
    that the replica should count the host; a host asks this of one replica at a time.
    ``crash_reports`` has what the replica has not confirmed yet, ``suspicion_digest``
    the digest of the suspected requests that it last reported. ``relay_address`` is
    where the host takes requests of hosts that are cut off, unless it is ``cut_off``
    itself. ``helpers_digest`` is the digest of the helpers that it knows.
    ``knows_accounts`` tells that the host checks keys of client accounts: others get
    no configuration that has accounts. ``evacuations`` is the number of the
    evacuations that the host knows. ``observations`` is what it observed of searchers
    since its last poll, ``troubles_digest`` the digest of the troubles that it knows.
    """

    host_id: str
    version: int = -1
    counts: bool = True
    cursors: tuple[SourceCursor, ...] = ()
    suspicion_digest: int = 0
    crash_reports: tuple[CrashReport, ...] = ()
    relay_address: str = ""
    cut_off: bool = False
    helpers_digest: int = 0
    knows_accounts: bool = False
    evacuations: int = 0
    observations: tuple[SearcherObservation, ...] = ()
    troubles_digest: int = 0


class Evacuations(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The data centres whose searchers are to get no requests.

    ``number`` grows with each change; the highest one is in force. ``ended`` has the
    last evacuations that have ended, whose searchers may have to warm up again.
    """

    number: int = 0
    data_centres: tuple[str, ...] = ()
    ended: tuple[EndedEvacuation, ...] = ()


class SyncReply(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """What has changed since the cursors of the poll.

    The first of ``sources`` is the replying replica; the others are those that it is
    in contact with, so that the host need not poll them. ``replicas`` lists the
    addresses of all replicas. ``suspected`` is None if it has not changed, and so is
    ``helpers``, the relay addresses of a few hosts that reach the searchers.
    ``leader`` is the sync address of the leader of the control group, empty while the
    replica knows none. ``evacuations`` is None if the host has them, and so is
    ``troubles``, the searchers in trouble as all hosts observe them. ``held_ms`` is
    for how long the replica has had the document.
    """

    version: int
    document: bytes | None = None
    sources: tuple[SourceReport, ...] = ()
    replicas: tuple[str, ...] = ()
    suspected: tuple[SuspectedRequest, ...] | None = None
    helpers: tuple[str, ...] | None = None
    leader: str = ""
    evacuations: Evacuations | None = None
    troubles: tuple[SearcherTrouble, ...] | None = None
    held_ms: int = 0


class PeerSyncRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """A poll by another replica, which passes the reply on to its entry hosts.

    It is answered once something has changed since the cursor, or after ``wait_ms``.
    The document is sent only if its version is above ``version``. ``crash_number``
    numbers the last crash report that the sender has got. ``leaving`` names the
    sender's data folder when it is about to stop: a leader whose group is large enough
    removes it before it replies. An older replica ignores the field. ``evacuations`` is
    the number of the evacuations that the sender knows.
    """

    process: str = ""
    cursor: int = 0
    version: int = -1
    wait_ms: int = 0
    crash_number: int = 0
    leaving: MemberId | None = None
    evacuations: int = 0


class PeerSyncReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """The report of a replica on itself, and its newest committed version.

    ``observations`` sums up what its hosts observe of searchers that may be in trouble.
    ``evacuations`` is None unless they are newer than those that the sender knows.
    """

    version: int
    report: SourceReport
    document: bytes | None = None
    crash_number: int = 0
    crash_reports: tuple[CrashReport, ...] = ()
    observations: tuple[SearcherObservation, ...] = ()
    evacuations: EvacuationState | None = None


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


class AccountUse(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a host saw of one client account since its last report.

    Of the requests ``asked``, ``over_quota`` were refused with 429, ``no_room`` were
    not served for lack of room at upstreams, and ``over_share`` were refused before, as
    the account was over its share; ``served`` ones got a success. ``used`` permits were
    taken for good, ``held`` ones are left and ``wanted`` ones asked for.
    ``reserved_per_s`` is the rate that the host may use without the leader.
    """

    account: str
    asked: int = 0
    over_quota: int = 0
    no_room: int = 0
    served: int = 0
    used: int = 0
    held: int = 0
    wanted: int = 0
    reserved_per_s: float = 0.0
    over_share: int = 0


class AccountsRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """A host reports on client accounts to the leader of the control group.

    ``process`` identifies the start of the host and ``number`` the report: one that is
    sent again is not counted twice. ``ledger`` identifies the ledger from which the
    host has its permits.
    """

    host_id: str
    process: str
    number: int
    ledger: str = ""
    uses: tuple[AccountUse, ...] = ()


class AccountGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a host may use of one client account from now on.

    It gets ``permits`` more and gives back those beyond ``keep``. Without permits,
    ``retry_after_ms`` tells when one may be there. ``room_share`` is the share of the
    account's requests that are admitted while upstreams cannot serve all.
    """

    account: str
    permits: int = 0
    keep: int = 0
    retry_after_ms: int = 0
    reserved_per_s: float = 0.0
    room_share: float = 1.0


class AccountsReply(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """The reply to an AccountsRequest with the same number.

    A replica that does not lead has an empty ``ledger`` and names the ``leader``, if it
    knows one.
    """

    number: int
    ledger: str = ""
    leader: str = ""
    grants: tuple[AccountGrant, ...] = ()


ServingRequest = (
    SyncRequest | PeerSyncRequest | SearcherNotice | JoinRequest | AccountsRequest
)
ServingReply = SyncReply | PeerSyncReply | Noted | JoinReply | AccountsReply

REQUEST_DECODER = msgspec.msgpack.Decoder(ServingRequest)
REPLY_DECODER = msgspec.msgpack.Decoder(ServingReply)
