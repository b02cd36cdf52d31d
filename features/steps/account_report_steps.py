"""Steps for the accounts that operators see."""

import asyncio
import json
import shlex
from functools import partial

from behave import given, then, when
from click.testing import CliRunner

from plantainstage._messages.account_rows import AccountRow
from plantainstage._programs.ctl import main as ctl
from plantainstage._serving.account_keys import key_digest
from steps.routed_control_steps import addresses, document

PATH = "/v1/accounts"
KEYS = {"acme": "key-of-acme", "globex": "key-of-globex"}


class StandInSource:
    """An AccountRowSource with fixed rows."""

    def __init__(self, rows):
        self.rows = rows

    def account_rows(self):
        return self.rows


@given(
    'a configuration {version:d} with the accounts "{one}" and "{other}" was acknowledged'
)
def step_accounts(context, version, one, other):
    accounts = [
        {"name": name, "keys": [KEYS[name]], "rate_per_s": 25, "burst": 30}
        for name in (one, other)
    ]
    content = {**document(version), "accounts": accounts}
    reply = context.tier.put_with_retries(content)
    assert reply.status == 200, reply


@given("the service of each replica reports")
def step_service(context):
    rows = tuple(
        AccountRow(
            name=row["name"],
            asked_per_s=float(row["asked"]),
            served_per_s=float(row["served"]),
            over_quota_per_s=float(row["over_quota"]),
            no_room_per_s=float(row["no_room"]),
            hosts=3 if row["age_ms"] else 0,
            age_ms=int(row["age_ms"]) if row["age_ms"] else None,
        )
        for row in context.table
    )
    for daemon, *_ in context.tier.registries.values():
        daemon.account_source = StandInSource(rows)


# ---- The interface --------------------------------------------------------------------


def read_confirmed(context, address):
    """Reads the accounts; retries while the replica replies 503."""
    replies = []

    def is_read():
        work = context.tier.call_control(address, "GET", PATH)
        replies.append(context.tier.run(work))
        return replies[-1].status != 503

    context.tier.wait_for(is_read, "a confirmed read")
    assert replies[-1].status == 200, replies[-1]
    return replies[-1]


@when("the accounts are read from each replica")
def step_read(context):
    context.replies = [read_confirmed(context, a) for a in addresses(context)]


@then(
    'each answer has version {version:d} and the accounts "{names}" without reports of '
    "hosts"
)
def step_rows(context, version, names):
    for reply in context.replies:
        report = json.loads(reply.body)
        assert report["version"] == version, report
        rows = report["accounts"]
        assert [row["name"] for row in rows] == names.split(", "), rows
        assert all(row["age_ms"] is None and not row["hosts"] for row in rows), rows


@then('each answer has the quota and the digest of the key of "{name}", and no key')
def step_digests(context, name):
    for reply in context.replies:
        rows = json.loads(reply.body)["accounts"]
        (row,) = [row for row in rows if row["name"] == name]
        assert (row["rate_per_s"], row["burst"]) == (25, 30), row
        assert row["keys"] == [key_digest(KEYS[name])], row
        assert not any(key.encode() in reply.body for key in KEYS.values())


@then("a replica that does not lead has redirected the reader")
def step_redirected(context):
    leader = context.tier.leader().own_address
    follower = next(a for a in addresses(context) if a != leader)
    reply = context.tier.run(context.tier.call(follower, target=PATH, host="control"))
    assert reply.status == 307, reply
    assert reply.headers["location"] == f"http://{leader}{PATH}", reply


# ---- The command ----------------------------------------------------------------------


@when('the command shows accounts with "{arguments}"')
def step_command(context, arguments):
    run_accounts(context, addresses(context), shlex.split(arguments))


@when('the command shows accounts with ""')
def step_command_plain(context):
    run_accounts(context, addresses(context), [])


def run_accounts(context, controls, arguments):
    """Runs the command in a thread while the replicas run on their loop."""
    flags = [flag for address in controls for flag in ("--control", address)]
    command = ["accounts", *arguments, *flags, "--timeout", "2"]
    invoke = partial(CliRunner().invoke, ctl, command)
    work = context.tier.loop.run_in_executor(None, invoke)
    context.command = context.tier.run(work)


@when("the command asks it for accounts")
def step_command_of_one(context):
    command = ["accounts", "--control", context.address, "--timeout", "0.5"]
    invoke = partial(CliRunner().invoke, ctl, command)

    async def run():
        return await asyncio.to_thread(invoke)

    context.command = context.loop.run(run())


def table_lines(context):
    """Returns the words of each account's line, by its name."""
    lines = context.command.output.splitlines()[2:]
    return {line.split()[0]: line.split()[1:] for line in lines}


@then('it ends with 0 and shows the accounts "{names}"')
def step_shown(context, names):
    assert context.command.exit_code == 0, context.command.output
    assert list(table_lines(context)) == names.split(", "), context.command.output


@then('the line of "{name}" has the words "{words}"')
def step_words(context, name, words):
    expected = words.split()
    assert table_lines(context)[name][: len(expected)] == expected


@then('the line of "{name}" has no figures of requests')
def step_no_figures(context, name):
    assert table_lines(context)[name][:6] == ["-"] * 6


@then('it ends with 0 and prints the rows "{names}" of version {version:d}')
def step_json(context, names, version):
    check_json(context, names.split(", "), version)


@then('it ends with 0 and prints the rows "" of version {version:d}')
def step_json_empty(context, version):
    check_json(context, [], version)


def check_json(context, names, version):
    assert context.command.exit_code == 0, context.command.output
    report = json.loads(context.command.output)
    assert report["version"] == version, report
    assert [row["name"] for row in report["accounts"]] == names, report
