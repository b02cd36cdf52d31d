"""Steps for control replicas that hold a configuration with client accounts."""

import json
import os
import socket
import stat
import tempfile
from pathlib import Path

from behave import given, then, when

from plantainstage._errors import InvalidConfigurationError
from plantainstage._messages.serving import SyncRequest
from plantainstage._serving.account_keys import key_digest
from plantainstage._serving.configuration import decode_configuration
from steps.client_account_steps import send_with_key
from steps.routed_control_steps import addresses, document, run_command
from support.processes import Program, free_address, wait_until

OLD = "key-that-is-revoked"
NEW = "key-that-is-new"
MALFORMED = (
    b"GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\x01\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\x00\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nAuthorization Bearer %s\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nBearer %s: Authorization\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\n",
    b"Bearer %s\r\n\r\n",
)


def with_account(version, key):
    accounts = [{"name": "acme", "keys": [key]}]
    return {**document(version), "accounts": accounts}


def put(context, content):
    reply = context.tier.put_with_retries(content)
    assert reply.status == 200, reply


def daemons(context):
    return [daemon for daemon, *_ in context.tier.registries.values()]


def poll(context, *, knows, version=-1):
    request = SyncRequest(host_id="h-1", version=version, knows_accounts=knows)
    return context.tier.run(daemons(context)[0]._handle_request(request))


@given("configuration {version:d} with accounts is acknowledged")
@when("configuration {version:d} with accounts is acknowledged")
def step_put_accounts(context, version):
    put(context, with_account(version, OLD))


@when("configuration {version:d} is acknowledged")
def step_put_plain(context, version):
    put(context, document(version))


@then("a poll {knowledge} knowledge of accounts gets version {version:d}")
def step_poll(context, knowledge, version):
    reply = poll(context, knows=knowledge == "with")
    assert reply.document is not None, reply
    assert json.loads(reply.document)["version"] == version, reply


@then(
    "{count:d} polls without knowledge of accounts get no configuration, which is "
    "logged once"
)
def step_withheld(context, count):
    for version in (-1, 1, *(1 for _ in range(count - 2))):
        reply = poll(context, knows=False, version=version)
        assert reply.document is None, reply

    def withheld():
        events = context.tier.events
        return [e for e in events if e["event"] == "configuration_withheld"]

    context.tier.wait_for(withheld, "the log line")
    lines = withheld()
    assert [(e["entry_host"], e["version"]) for e in lines] == [("h-1", 2)], lines


# ---- Stale replicas -------------------------------------------------------------------


@given("configuration 2 with accounts is acknowledged and in force on a host")
def step_in_force(context):
    put(context, with_account(2, OLD))
    context.running = context.tier.start_gateway(context.peers)
    context.tier.wait_for(lambda: context.running.router.version == 2, "the version")


def wait_until_saved(context, text):
    """Waits until the recent state of each replica has a text of the configuration."""
    files = [Path(folder) / "recent" for *_, folder in context.tier.registries.values()]
    context.tier.wait_for(
        lambda: all(f.exists() and text.encode() in f.read_bytes() for f in files),
        "the recent state",
    )


def leave_alone(context, stopped):
    """Starts the first of the stopped replicas; the others stay stopped."""
    peer, folder = stopped[0]
    context.stopped_replicas = stopped[1:]
    context.stale = peer
    context.tier.start_registry(
        peer, seeds=context.peers, bootstrap=False, folder=folder
    )


@when("one replica misses configuration 3 with another key and is alone")
def step_stale(context):
    wait_until_saved(context, OLD)
    follower = next(d for d in daemons(context) if not d.replica.is_leader)
    # A crash, since a replica that stops as planned may leave the group first.
    follower.group.maintainer.leave = never_leave
    stale = context.tier.stop_registry(follower.own_address)
    put(context, with_account(3, NEW))
    router = context.running.router
    context.tier.wait_for(lambda: router.version == 3, "the version")
    others = [d.own_address for d in daemons(context)]
    for daemon in daemons(context):
        daemon.group.maintainer.leave = never_leave
    stopped = [context.tier.stop_registry(address) for address in others]
    leave_alone(context, [stale, *stopped])


async def never_leave():
    """Stands in for leaving the group: these replicas are killed."""


@when("all replicas but one are stopped and that one is alone")
def step_alone(context):
    wait_until_saved(context, "cards")
    for daemon in daemons(context):
        daemon.group.maintainer.leave = never_leave
    stopped = [context.tier.stop_registry(a) for a in addresses(context)]
    leave_alone(context, stopped)


@when("a host starts that knows only this replica")
def step_start_other(context):
    context.other = context.tier.start_gateway([context.stale])
    # Polls are answered: the host knows the replica, and none of its configurations.
    context.tier.wait_for(
        lambda: context.other.link is not None and context.other.link.sources.held(),
        "a reply of control",
    )


def status_with(context, host, key):
    return context.tier.run(send_with_key(host, key, "/x/1")).status


@then(
    "the other host replies 503 to both keys, and the running host keeps configuration 3"
)
def step_waits(context):
    assert daemons(context)[0].machine.newest.version == 2
    assert context.other.router.version == -1, context.other.router.version
    for key in (OLD, NEW):
        assert status_with(context, context.other, key) == 503
    # Without searchers a request that is accepted gets 503 as well, and not 401.
    assert status_with(context, context.running, NEW) == 503
    assert status_with(context, context.running, OLD) == 401


@when("the other replicas are back")
def step_back(context):
    for peer, folder in context.stopped_replicas:
        context.tier.start_registry(
            peer, seeds=context.peers, bootstrap=False, folder=folder
        )
    hosts = (context.running, context.other)
    context.tier.wait_for(
        lambda: all(host.router.version == 3 for host in hosts), "the version"
    )


@then("both hosts accept the new key, and reply 401 to the old one")
def step_accept_new(context):
    for host in (context.running, context.other):
        assert status_with(context, host, NEW) == 503
        assert status_with(context, host, OLD) == 401


@then("each replica knows a leader now, and none {seconds:g} s after its last event")
def step_knows_leader(context, seconds):
    for daemon in daemons(context):
        core, clock = daemon.replica.core, context.tier.loop.time
        context.tier.wait_for(
            lambda core=core, clock=clock: core.has_recent_leader(now=clock()),
            "a leader",
        )
        assert not core.has_recent_leader(now=clock() + seconds)


# ---- Files ----------------------------------------------------------------------------


def files_of(context):
    folders = [Path(folder) for *_, folder in context.tier.registries.values()]
    return [path for folder in folders for path in folder.rglob("*")]


def mode_of(path):
    return stat.S_IMODE(path.stat().st_mode)


def modes_of(list_paths):
    """Returns the modes of all files at one moment; lists again after a rename."""
    while True:
        try:
            return {path: mode_of(path) for path in list_paths()}
        except FileNotFoundError:
            continue  # the recent state was being replaced


@then("each file of the replica has mode 0600 and each new folder 0700")
def step_modes(context):
    wait_until_saved(context, OLD)
    found = files_of(context)
    for path in found:
        assert mode_of(path) == (0o700 if path.is_dir() else 0o600), path


@when("the replica restarts with files of mode 0640")
def step_open_modes(context):
    peer, folder = context.tier.stop_registry(addresses(context)[0])
    for path in Path(folder).rglob("*"):
        os.chmod(path, 0o750 if path.is_dir() else 0o640)
    context.tier.start_registry(peer, seeds=[peer], bootstrap=False, folder=folder)
    context.tier.wait_for(context.tier.leader, "a leader")


@then("each file that has a key has mode 0600")
def step_modes_of_keys(context):

    def with_key():
        return [p for p in files_of(context) if p.is_file() and has_key(p)]

    # The log and the recent state.
    context.tier.wait_for(lambda: len(modes_of(with_key)) >= 2, "the files")
    for path, mode in modes_of(with_key).items():
        assert mode == 0o600, path


def has_key(path):
    return OLD.encode() in path.read_bytes()


# ---- The operator's command -----------------------------------------------------------


@when("the command shows the configuration with digests")
def step_show_digests(context):
    context.controls = addresses(context)
    run_command(context, "show")


@then("it prints the digests of the keys and no key")
def step_digests(context):
    output = context.command.output
    assert context.command.exit_code == 0, output
    assert OLD not in output and key_digest(OLD) in output, output
    shown = json.loads(output)
    expected = with_account(2, OLD)
    expected["accounts"][0]["keys"] = [{"digest": key_digest(OLD)}]
    assert shown == expected, shown


@then("what it has printed is refused as a configuration")
def step_printed_refused(context):
    try:
        decode_configuration(context.command.output.encode())
    except InvalidConfigurationError:
        return
    raise AssertionError("digests were accepted as keys")


@when("the command shows the configuration with keys")
def step_show_keys(context):
    run_command(context, "show", "--with-keys")


@then("it prints what was sent")
def step_printed_whole(context):
    assert json.loads(context.command.output) == with_account(2, OLD)


# ---- Programs -------------------------------------------------------------------------


@given("the program of an entry host")
def step_program(context):
    folder = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.listen = free_address()
    context.program = Program(
        module=["-m", "plantainstage._programs.gateway"],
        arguments=[
            *("--listen", context.listen, "--ready-listen", free_address()),
            *("--registry", "127.0.0.1:1"),
        ],
        log_path=Path(folder) / "log",
    )
    context.resources.callback(context.program.close)
    wait_until(
        lambda: any(e["event"] == "started" for e in context.program.log_lines()),
        what="the start",
    )


@when("callers send it malformed requests with a key")
def step_malformed(context):
    ip, _, port = context.listen.rpartition(":")
    for message in MALFORMED:
        with socket.create_connection((ip, int(port)), timeout=30) as connection:
            connection.sendall(message % OLD.encode())
            assert b" 400 " in connection.recv(4096)


@then("its output has no key")
def step_output(context):
    context.program.stop()
    text = context.program.log_path.read_text(encoding="utf-8")
    assert "stopping" in text, text
    assert OLD not in text, text
