"""Steps for invalid settings; each step starts the real program."""

import os
import re
import shlex
import socket
import subprocess
import sys
import tempfile

from behave import then, when

from support.processes import ROOT, free_address

START_TIMEOUT_S = 60  # a program that accepts an invalid setting does not exit
VALID = {
    "burn": ["--entry", "127.0.0.1:7200", "--profiles", "/dev/null"],
    "control": [],
    "ctl": [],
    "entry": [
        *("--entry-id", "e1", "--data-centre", "z1", "--control", "127.0.0.1:7100"),
        *("--listen", "FREE", "--forward-listen", "FREE"),
    ],
    "gateway": ["--listen", "FREE", "--ready-listen", "FREE"],
    "registry": ["--listen", "FREE"],
}
_VARIABLE = re.compile(r"[A-Z_]+=.*")
_ERROR = re.compile(r"^error: (--[a-z/-]+): ", re.MULTILINE)


@when('"{program}" starts with {change}')
def start_program(context, program, change):
    context.used = used_address(context)
    parts = shlex.split(change.replace("USED", context.used))
    variables = [part for part in parts if _VARIABLE.fullmatch(part)]
    flags = [part for part in parts if part not in variables]
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    environment.update(variable.split("=", 1) for variable in variables)
    context.finished = subprocess.run(
        [
            *(sys.executable, "-m", f"plantainstage._programs.{program}"),
            *(resolve_placeholder(context, part) for part in (*VALID[program], *flags)),
        ],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
        check=False,
    )
    context.errors = context.finished.stderr


def used_address(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.resources.callback(listener.close)
    return f"127.0.0.1:{listener.getsockname()[1]}"


def resolve_placeholder(context, part):
    match part:
        case "FREE":
            return free_address()
        case "FOLDER":
            folder = tempfile.TemporaryDirectory()
            return context.resources.enter_context(folder)
    return part


def check_exit(context):
    assert context.finished.returncode == 2, (context.finished, context.errors)


@then(
    "it exits with 2 and prints \"{flag}: '{value}' is not valid; expected {expected}\" with a remedy"
)
def check_error(context, flag, value, expected):
    check_exit(context)
    value = value.replace("USED", context.used)
    start = f"error: {flag}: '{value}' is not valid; expected {expected}"
    lines = [line for line in context.errors.splitlines() if line.startswith(start)]
    assert lines, context.errors
    assert len(lines[0]) > len(start) + 10, lines[0]


@then(
    "it exits with 2 and prints \"{flag}: '' is not valid; expected {expected}\" with a remedy"
)
def check_error_empty(context, flag, expected):
    check_error(context, flag, "", expected)


@then("it exits with 2 and its errors name exactly {flags}")
def check_flags(context, flags):
    check_exit(context)
    assert sorted(set(_ERROR.findall(context.errors))) == flags.split(), context.errors


@then('it exits with 2 and its text contains "{text}"')
def check_text(context, text):
    check_exit(context)
    assert text in context.errors, context.errors
