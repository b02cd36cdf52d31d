"""Steps for the control group of routed requests."""

import json

from behave import given, then, when
from click.testing import CliRunner

from plantainstage._errors import RegisterFullError
from plantainstage._messages.serving import SyncRequest
from plantainstage._programs.ctl import main as ctl
from plantainstage._registry.register import MAX_SEARCHERS, SearcherRegister
from plantainstage._serving.crash_reports import CrashReport, CrashReportKind
from plantainstage._serving.searchers import Searcher
from support.routed_tier import RoutedTier, StandInSearcher

PATH = "/v1/configuration"
NEWEST_PATH = "/v1/configuration/newest"


def document(version, name="r"):
    route = {
        "name": name,
        "host": "a.example",
        "path_prefix": "/x/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "aim_ms": 100,
        "target": {"type": "OneOf", "shares": [{"service": "cards"}]},
    }
    return {"version": version, "routes": [route], "services": [{"name": "cards"}]}


def faulty_document(fault):
    content = document(8)
    route = content["routes"][0]
    match fault:
        case "bytes that cannot be read":
            return json.dumps(content).encode()[:-9]
        case "an unknown service":
            content["services"] = []
        case "two routes for one prefix":
            content["routes"].append({**route, "name": "other"})
        case "two routes for one prefix and host in another case":
            host = route["host"].upper()
            content["routes"].append({**route, "name": "other", "host": host})
        case "weights that add up to 0":
            route["target"]["shares"][0]["weight"] = 0
        case "a timeout of 0":
            route["timeout_ms"] = 0
        case "a prefix without a slash":
            route["path_prefix"] = "/x"
        case "deep nesting":
            nested = b"[" * 60_000 + b"]" * 60_000
            return json.dumps(content).encode()[:-1] + b', "other": ' + nested + b"}"
        case "a version above 64 bits":
            content["version"] = 2**64
        case "a line break in the name of a route":
            route["name"] = "r\r\nX: 1"
        case "a line break in a host":
            route["host"] = "a.example\r\nX: 1"
        case "a blank in a path prefix":
            route["path_prefix"] = "/a b/"
        case "a line break in the name of a service":
            content["services"].append({"name": "s\r\n"})
        case "a line break in a health path":
            content["services"][0]["health_path"] = "/h HTTP/1.1\r\nX: 1\r\n\r\n"
        case "a host beyond Latin-1":
            route["host"] = "\u0100.example"
    return json.dumps(content).encode()


def addresses(context):
    return list(context.tier.registries)


def read_back(context, address):
    """Reads the configuration; retries while the replica replies 503."""
    replies = []

    def is_read():
        work = context.tier.call_control(address, "GET", NEWEST_PATH)
        replies.append(context.tier.run(work))
        return replies[-1].status != 503

    context.tier.wait_for(is_read, "a confirmed read")
    assert replies[-1].status == 200, replies[-1]
    return json.loads(replies[-1].body)


def voters(context):
    leader = context.tier.leader()
    if leader is None:
        return set()
    return {m.replica_id for m in leader.replica.members() if m.voter}


@given("a control group of {count:d} replicas for routed requests")
def step_group(context, count):
    context.tier = RoutedTier(context.resources)
    context.peers = context.tier.start_group(count)


@given("configuration {version:d} was acknowledged")
def step_acknowledged(context, version):
    reply = context.tier.put_with_retries(document(version))
    assert reply.status == 200, reply


@when("a fourth replica starts that knows only the first three")
def step_start_fourth(context):
    peer = context.tier.new_peer()
    context.tier.start_registry(peer, seeds=context.peers, bootstrap=False)


@then("all {count:d} replicas become voters")
def step_voters(context, count):
    context.tier.wait_for(lambda: len(voters(context)) == count, "the membership")


@then("a configuration sent to each replica is acknowledged and read back from each")
def step_put_each(context):
    for version, address in enumerate(addresses(context), start=1):
        reply = context.tier.put_with_retries(document(version), address)
        assert reply.status == 200, reply
        for other in addresses(context):
            assert read_back(context, other)["version"] == version


@when(
    "configuration {older:d}, and another document under version {held:d}, are sent to "
    "each replica"
)
def step_send_not_higher(context, older, held):
    context.replies = [
        context.tier.put_with_retries(content, address)
        for address in addresses(context)
        for content in (document(older), document(held, name="other"))
    ]


@then("each is acknowledged")
def step_each_acknowledged(context):
    assert all(reply.status == 200 for reply in context.replies), context.replies


@then("each replica reads back the first document of version {version:d}")
def step_read_first(context, version):
    for address in addresses(context):
        assert read_back(context, address) == document(version)


@when("a configuration with {fault} is sent")
def step_send_faulty(context, fault):
    context.reply = context.tier.put_with_retries(faulty_document(fault))


@then("it is refused with 400, and the fault is named")
def step_refused_named(context):
    assert context.reply.status == 400, context.reply
    assert len(json.loads(context.reply.body)["error"]) > 20, context.reply


@when("a follower loses its folder and starts again at its address")
def step_lose_folder(context):
    leader = context.tier.leader()
    context.lost = next(a for a in addresses(context) if a != leader.own_address)
    peer, _ = context.tier.stop_registry(context.lost)
    context.tier.start_registry(peer, seeds=context.peers, bootstrap=False)


@when("a follower loses its folder and starts again with settings without the leader")
def step_lose_folder_and_leader(context):
    leader = context.tier.leader()
    context.lost = next(a for a in addresses(context) if a != leader.own_address)
    peer, _ = context.tier.stop_registry(context.lost)
    seeds = [p for p in context.peers if p.client_address != leader.own_address]
    context.tier.start_registry(peer, seeds=seeds, bootstrap=False)


@then("the group has {count:d} voters again")
def step_repaired(context, count):
    def is_repaired():
        leader = context.tier.leader()
        daemon = context.tier.registries[context.lost][0]
        if leader is None or daemon.replica is None:
            return False
        members = leader.replica.members()
        incarnations = {m.incarnation for m in members if m.voter}
        new = daemon.replica.member_id.incarnation
        return len(members) == len(incarnations) == count and new in incarnations

    context.tier.wait_for(is_repaired, "the repair")


@when("the leader is stopped as planned, and a follower loses its folder at once")
def step_planned_then_loss(context):
    leader = context.tier.leader()
    context.tier.stop_registry(leader.own_address)
    context.lost = addresses(context)[0]
    peer, _ = context.tier.stop_registry(context.lost)
    context.tier.start_registry(peer, seeds=context.peers, bootstrap=False)


@when("a follower is stopped as planned")
def step_stop_follower(context):
    leader = context.tier.leader()
    follower = next(a for a in addresses(context) if a != leader.own_address)
    context.stopped = context.tier.stop_registry(follower)


@then("the group still has {count:d} voters")
def step_still_voters(context, count):
    members = context.tier.leader().replica.members()
    assert [member.voter for member in members] == [True] * count, members


@when("the stopped replica starts again with its folder")
def step_start_again(context):
    peer, folder = context.stopped
    context.tier.start_registry(
        peer, seeds=context.peers, bootstrap=False, folder=folder
    )


@when("a follower loses its folder, and loses it again once it is a learner")
def step_lose_folder_twice(context):
    step_lose_folder(context)

    def is_learner():
        members = context.tier.leader().replica.members()
        return any(m.replica_id == context.lost and not m.voter for m in members)

    context.tier.wait_for(is_learner, "the learner")
    peer, _ = context.tier.stop_registry(context.lost)
    context.tier.start_registry(peer, seeds=context.peers, bootstrap=False)


@when("another replica is stopped permanently")
def step_stop_other(context):
    other = next(a for a in addresses(context) if a != context.lost)
    context.tier.stop_registry(other)


@then("configuration {version:d} is acknowledged and read back from a running replica")
def step_put_after_loss(context, version):
    reply = context.tier.put_with_retries(document(version), context.lost)
    assert reply.status == 200, reply
    assert read_back(context, context.lost)["version"] == version


@given('a searcher "{searcher_id}" has announced itself')
def step_announced(context, searcher_id):
    searcher = StandInSearcher(searcher_id=searcher_id, service="cards")
    context.tier.run(searcher.start())
    context.searcher = searcher
    context.resources.callback(searcher.server.close)
    for address in addresses(context):
        reply = context.tier.run(context.tier.announce(searcher, address=address))
        assert reply.status == 200, reply


@when("all replicas are stopped and one starts again alone")
def step_restart_one(context):
    saved = [daemon for daemon, *_ in context.tier.registries.values()]
    context.tier.wait_for(
        lambda: all(d.is_saved and not d.save_due.is_set() for d in saved),
        "the saved state",
    )
    stopped = [context.tier.stop_registry(address) for address in addresses(context)]
    peer, folder = stopped[0]
    context.tier.start_registry(
        peer, seeds=context.peers, bootstrap=False, folder=folder
    )


@given("{count:d} searchers have ended under a request")
def step_ended(context, count):
    """Each end is reported to another replica, and all replicas hear of it."""
    daemons = [daemon for daemon, *_ in context.tier.registries.values()]
    for number in range(count):
        report = CrashReport(
            fingerprint="ab" * 16,
            kind=CrashReportKind.ENDED,
            searcher=f"s-{number}",
            age_ms=1000 * number,
        )
        poll = SyncRequest(host_id=f"h-{number}", crash_reports=(report,))
        work = daemons[number % len(daemons)]._handle_request(poll)
        context.tier.run(work)
    context.tier.wait_for(
        lambda: all(d.crashes.records.is_proven("ab" * 16) for d in daemons),
        "the quarantine",
    )


@then("it reports to entry hosts that the request is quarantined")
def step_reports_quarantine(context):
    daemon = context.tier.registries[addresses(context)[0]][0]
    reply = context.tier.run(daemon._handle_request(SyncRequest(host_id="h")))
    assert [entry.proven for entry in reply.suspected or ()] == [True], reply


@then('it reports version {version:d} and "{searcher_id}" to entry hosts')
def step_reports_recent_state(context, version, searcher_id):
    daemon = context.tier.registries[addresses(context)[0]][0]
    reply = context.tier.run(daemon._handle_request(SyncRequest(host_id="h")))
    assert reply.version == version, reply
    assert json.loads(reply.document) == document(version), reply
    own = reply.sources[0]
    assert [s.searcher_id for s in own.searchers] == [searcher_id], reply


@then("it answers a read of the configuration with 503")
def step_read_unavailable(context):
    work = context.tier.call_control(addresses(context)[0], "GET", NEWEST_PATH)
    reply = context.tier.run(work)
    assert reply.status == 503, reply


@when(
    "the searcher announces to one replica that it drains, and the replica is stopped"
)
def step_drain_and_stop(context):
    address = addresses(context)[0]
    body = context.searcher.announcement(state=1)
    reply = context.tier.run(context.tier.announce(context.searcher, body, address))
    assert reply.status == 200, reply
    context.tier.stop_registry(address)


@when("an announcement with {fault} is sent")
def step_faulty_announcement(context, fault):
    searcher = StandInSearcher(searcher_id="s-9", service="cards")
    searcher.address = "127.0.0.1:9"
    body = searcher.announcement()
    match fault:
        case "bytes that cannot be read":
            body = body[:-7]
        case "a missing field":
            fields = json.loads(body)
            del fields["address"]
            body = json.dumps(fields).encode()
        case "slots given as text":
            body = searcher.announcement(slots="2")
        case "an unknown state":
            body = searcher.announcement(state=9)
        case "a sequence above 64 bits":
            body = searcher.announcement(sequence=2**64)
        case "deep nesting":
            body = body[:-1] + b', "other": ' + b"[" * 20_000 + b"]" * 20_000 + b"}"
        case "an id of 60000 letters":
            searcher.searcher_id = "s" * 60_000
            body = searcher.announcement()
    context.reply = context.tier.run(context.tier.announce(searcher, body))


@then("no searcher is known")
def step_no_searcher(context):
    for daemon, *_ in context.tier.registries.values():
        assert not daemon.register.entries


# ---- Entries of another writer ----------------------------------------------------------


def announced(searcher_id):
    return Searcher(
        searcher_id=searcher_id,
        service="cards",
        address="127.0.0.1:9",
        data_centre="dc-1",
        slots=1,
    )


@given("a register in which {count:d} searchers were announced once")
def step_register(context, count):
    context.register = SearcherRegister(heartbeat_s=1.0)
    for number in range(count):
        context.register.record_announcement(announced(f"s-{number}"), 0.0)


@when("{seconds:d} s have passed with one of them announcing itself")
def step_one_announces(context, seconds):
    for now in range(1, seconds + 1):
        context.register.record_announcement(announced("s-0"), float(now))
        context.register.expire(float(now))
    context.now = float(seconds)


@then("only this one is known")
def step_one_known(context):
    assert list(context.register.entries) == ["s-0"]


@when("as many searchers are announced as the register takes")
def step_fill_register(context):
    for number in range(1, MAX_SEARCHERS):
        context.register.record_announcement(announced(f"s-{number}"), context.now)


@then("another one is refused until silent ones make room")
def step_register_full(context):
    try:
        context.register.record_announcement(announced("late"), context.now)
    except RegisterFullError as error:
        assert error.limit == MAX_SEARCHERS
    else:
        raise AssertionError("the register took one more searcher")
    # The first round marks the silent ones, and the next one forgets them.
    for _ in range(2):
        context.now += 10.0
        context.register.expire(context.now)
    context.register.record_announcement(announced("late"), context.now)
    assert "late" in context.register.entries


# ---- The operator's command -----------------------------------------------------------


def run_command(context, *arguments, document=b""):
    """Runs plantainstage-ctl in a thread while the replicas run on their loop."""
    flags = [flag for a in context.controls for flag in ("--control", a)]

    def invoke():
        command = ["routes", *arguments, *flags, "--timeout", "3"]
        return CliRunner().invoke(ctl, command, input=document)

    work = context.tier.loop.run_in_executor(None, invoke)
    context.command = context.tier.run(work)


@when("the command puts configuration {version:d}")
def step_command_put(context, version):
    context.controls = addresses(context)
    content = json.dumps(document(version)).encode()
    run_command(context, "put", "-", document=content)


@when("the command shows the configuration")
def step_command_show(context):
    run_command(context, "show")


@when("the command puts a configuration with a timeout of 0")
def step_command_put_faulty(context):
    run_command(context, "put", "-", document=faulty_document("a timeout of 0"))


@when("all replicas are stopped and the command puts configuration {version:d}")
def step_command_without_replicas(context, version):
    for address in addresses(context):
        context.tier.stop_registry(address)
    content = json.dumps(document(version)).encode()
    run_command(context, "put", "-", document=content)


@then('it ends with {code:d} and "{text}"')
def step_command_ended(context, code, text):
    assert context.command.exit_code == code, context.command.output
    assert text in context.command.output, context.command.output


@then("it ends with 0 and prints configuration {version:d}")
def step_command_printed(context, version):
    assert context.command.exit_code == 0, context.command.output
    assert json.loads(context.command.output) == document(version)
