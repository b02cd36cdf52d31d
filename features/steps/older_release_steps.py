"""Steps for releases that run side by side.

The samples were written by commit a72f0ac. The types named ``Landed`` are the fields
that it knew, as far as this release has changed them.
"""

import json
from pathlib import Path

import msgspec
from behave import then
from tornado import httputil

from plantainstage._agreement.log import decode_membership
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.messages import CallerRequest, relayed_request
from plantainstage._gateway.relay_headers import RelayOrigin
from plantainstage._messages import serving
from plantainstage._messages.agreement import Member, MemberId, Membership
from plantainstage._registry import recent
from plantainstage._registry.crash_register import SavedReport
from plantainstage._registry.machine import ConfigurationMachine
from plantainstage._serving.crash_reports import (
    CrashReport,
    CrashReportKind,
    SuspectedRequest,
)
from plantainstage._serving.searchers import Searcher, SearcherState

SAMPLES = Path(__file__).resolve().parents[1] / "support" / "landed_messages.json"
DOCUMENT = b'{"version": 7, "routes": [], "services": []}'
SEARCHER = Searcher(
    searcher_id="s-1",
    service="cards",
    address="127.0.0.1:80",
    data_centre="dc-1",
    slots=2,
    state=SearcherState.DRAINING,
    warm_up_ms=5,
    sequence=9,
    started_at_ms=1_700_000_000_000,
)
MEMBER = Member(
    member_id=MemberId(replica_id="127.0.0.1:8100", incarnation="0123456789abcdef"),
    client_address="127.0.0.1:8100",
    peer_address="127.0.0.1:8101",
    voter=False,
)
CRASH = CrashReport(
    fingerprint="ab" * 16,
    kind=CrashReportKind.ENDED,
    searcher="s-1",
    started_at_ms=3,
    age_ms=40,
)
REPORT = serving.SourceReport(
    address="127.0.0.1:8102",
    process="p1",
    cursor=4,
    data_centre="dc-1",
    hosts=2,
    age_ms=1,
    searchers=(SEARCHER,),
    silent=("s-2",),
    helpers=("127.0.0.1:90",),
)
MESSAGES = {
    "a poll of a host": (
        "sync_request",
        serving.SyncRequest(
            host_id="h",
            version=6,
            counts=True,
            cursors=(
                serving.SourceCursor(address="127.0.0.1:8102", process="p1", cursor=3),
            ),
            suspicion_digest=5,
            crash_reports=(CRASH,),
            relay_address="127.0.0.1:90",
            helpers_digest=2,
        ),
    ),
    "a reply to a host": (
        "sync_reply",
        serving.SyncReply(
            version=7,
            document=DOCUMENT,
            sources=(REPORT,),
            replicas=("127.0.0.1:8102",),
            suspected=(
                SuspectedRequest(fingerprint="ab" * 16, ends=3, proven=True, age_ms=9),
            ),
            helpers=("127.0.0.1:90",),
        ),
    ),
    "a poll of a replica": (
        "peer_sync_request",
        serving.PeerSyncRequest(
            process="p1", cursor=4, version=6, wait_ms=600, crash_number=2
        ),
    ),
    "a reply to a replica": (
        "peer_sync_reply",
        serving.PeerSyncReply(
            version=7,
            report=REPORT,
            document=DOCUMENT,
            crash_number=3,
            crash_reports=(CRASH,),
        ),
    ),
    "a notice": ("searcher_notice", serving.SearcherNotice(searcher=SEARCHER)),
    "a request to join": ("join_request", serving.JoinRequest(member=MEMBER)),
}


class LandedRecentState(msgspec.Struct, kw_only=True):
    version: int = -1
    document: bytes = b""
    searchers: tuple[Searcher, ...] = ()


class LandedPut(msgspec.Struct, kw_only=True):
    version: int
    document: bytes


class LandedPoll(msgspec.Struct, kw_only=True, tag="PeerSyncRequest", array_like=True):
    process: str = ""
    cursor: int = 0
    version: int = -1
    wait_ms: int = 0
    crash_number: int = 0


class LandedHostPoll(msgspec.Struct, kw_only=True, tag="SyncRequest", array_like=True):
    host_id: str
    version: int = -1
    counts: bool = True
    cursors: tuple[serving.SourceCursor, ...] = ()
    suspicion_digest: int = 0
    crash_reports: tuple[CrashReport, ...] = ()
    relay_address: str = ""
    cut_off: bool = False
    helpers_digest: int = 0


class LandedSearcher(msgspec.Struct, kw_only=True):
    searcher_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: SearcherState = SearcherState.READY
    warm_up_ms: int = 0
    sequence: int = 0
    started_at_ms: int = 0


class LandedHostPoll(msgspec.Struct, kw_only=True, tag="SyncRequest", array_like=True):
    host_id: str
    version: int = -1


class LandedHostReply(msgspec.Struct, kw_only=True, tag="SyncReply", array_like=True):
    version: int
    document: bytes | None = None
    sources: tuple[serving.SourceReport, ...] = ()
    replicas: tuple[str, ...] = ()
    suspected: tuple[SuspectedRequest, ...] | None = None
    helpers: tuple[str, ...] | None = None


class LandedReply(msgspec.Struct, kw_only=True, tag="PeerSyncReply", array_like=True):
    version: int
    report: serving.SourceReport
    document: bytes | None = None
    crash_number: int = 0
    crash_reports: tuple[CrashReport, ...] = ()


def evacuated_machine():
    """Returns a machine with a document and an evacuation, and the order's command."""
    machine = ConfigurationMachine()
    machine.restore_committed(version=7, document=DOCUMENT)
    order = machine.evacuation_command("dc-2", starts=True, at_ms=5)
    machine.apply(index=3, command=order)
    return machine, order


def sample(name):
    return bytes.fromhex(json.loads(SAMPLES.read_text(encoding="utf-8"))[name])


def decode(data, kind):
    return msgspec.msgpack.decode(data, type=kind)


@then("{content} of a landed release is read with its values")
def step_read_landed(context, content):
    match content:
        case "the recent file":
            state = decode(sample("recent"), recent.RecentState)
            expected = recent.RecentState(
                version=7, document=DOCUMENT, searchers=(SEARCHER,)
            )
            assert state == expected, state
        case "a command":
            machine = ConfigurationMachine()
            assert machine.apply(index=1, command=sample("command")) == 7
            assert machine.newest.document == DOCUMENT
        case "a snapshot":
            machine = ConfigurationMachine()
            machine.restore(snapshot=sample("machine_snapshot"))
            assert (machine.newest.version, machine.newest.document) == (7, DOCUMENT)
        case "a membership":
            found = decode_membership(sample("membership"))
            assert found == Membership(members=(MEMBER,)), found
        case _:
            name, expected = MESSAGES[content]
            kind = serving.ServingRequest | serving.ServingReply
            found = decode(sample(name), kind)
            assert found == expected, found


@then("{content} of this release is read by the types of a landed one")
def step_read_by_landed(context, content):
    match content:
        case "the recent file":
            written = recent.RecentState(
                version=7,
                document=DOCUMENT,
                searchers=(SEARCHER,),
                crashes=(SavedReport(report=CRASH, at_unix_ms=1),),
                evacuations=evacuated_machine()[0].evacuations,
            )
            found = decode(msgspec.msgpack.encode(written), LandedRecentState)
            assert (found.version, found.searchers) == (7, (SEARCHER,)), found
        case "an announcement":
            marked = msgspec.structs.replace(SEARCHER, heard_after=4)
            found = decode(msgspec.msgpack.encode(marked), LandedSearcher)
            assert (found.searcher_id, found.started_at_ms) == SEARCHER.start, found
        case "an evacuation order":
            # A version that is not above the newest changes nothing there.
            found = decode(evacuated_machine()[1], LandedPut)
            assert (found.version, found.document) == (-1, b""), found
        case "a snapshot":
            found = decode(evacuated_machine()[0].take_snapshot(), LandedPut)
            assert (found.version, found.document) == (7, DOCUMENT), found
        case "a poll of a host":
            sent = serving.SyncRequest(host_id="h", version=6, evacuations=3)
            found = decode(msgspec.msgpack.encode(sent), LandedHostPoll)
            assert found == LandedHostPoll(host_id="h", version=6), found
        case "a reply to a host":
            evacuations = serving.Evacuations(number=3, data_centres=("dc-2",))
            sent = serving.SyncReply(version=7, evacuations=evacuations)
            found = decode(msgspec.msgpack.encode(sent), LandedHostReply)
            assert found == LandedHostReply(version=7), found
        case "a reply to a replica":
            state = evacuated_machine()[0].evacuations
            sent = serving.PeerSyncReply(version=7, report=REPORT, evacuations=state)
            found = decode(msgspec.msgpack.encode(sent), LandedReply)
            assert found == LandedReply(version=7, report=REPORT), found
        case "a command":
            command = ConfigurationMachine.command(version=7, document=DOCUMENT)
            found = decode(command, LandedPut)
            assert (found.version, found.document) == (7, DOCUMENT), found
        case "a poll of a replica":
            sent = serving.PeerSyncRequest(process="p1", leaving=MEMBER.member_id)
            found = decode(msgspec.msgpack.encode(sent), LandedPoll)
            assert found == LandedPoll(process="p1"), found
        case "a poll of a host":
            sent = serving.SyncRequest(
                host_id="h", helpers_digest=2, knows_accounts=True, evacuations=3
            )
            found = decode(msgspec.msgpack.encode(sent), LandedHostPoll)
            assert found == LandedHostPoll(host_id="h", helpers_digest=2), found
        case "a reply to a host":
            sent = serving.SyncReply(
                version=7,
                helpers=("127.0.0.1:90",),
                leader="127.0.0.1:8102",
                evacuations=serving.Evacuations(number=1, data_centres=("dc-1",)),
            )
            found = decode(msgspec.msgpack.encode(sent), LandedHostReply)
            expected = LandedHostReply(version=7, helpers=("127.0.0.1:90",))
            assert found == expected, found


@then("a request that is passed on has the account in the searchers' header and no key")
def step_relayed_to_landed(context):
    headers = {"Authorization": "Bearer k1", "X-Client-Account": "other"}
    request = CallerRequest(
        method="GET",
        target="/x",
        headers=httputil.HTTPHeaders(headers),
        body=b"",
        request_id="r-1",
        deadline_ms=None,
        received_at=0.0,
        account="acme",
    )
    origin = RelayOrigin(
        host_id="h", version=7, route="r", counted=False, account="acme"
    )
    message = relayed_request(
        request, names=HeaderNames(), origin=origin, remaining_ms=1
    ).decode("latin1")
    assert message.count("X-Client-Account: acme\r\n") == 1, message
    assert "other" not in message and "k1" not in message, message
