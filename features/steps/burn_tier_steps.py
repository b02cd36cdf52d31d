"""Steps for plantainstage-burn with the processes of a tier."""

import json
import os
import subprocess
import sys

from behave import then, when

from support.processes import ROOT


@when("{count:d} queries are answered by each entry host")
def send_queries(context, count):
    for name in context.linked.entries:
        for _ in range(count):
            context.linked.wait_until_answered(name, "profile-0")


def run_burn(context, *sources):
    address = context.linked.control_addresses[0]
    return subprocess.run(
        [
            *(sys.executable, "-m", "plantainstage._programs.burn", *sources),
            *("--control", address, "--minutes", "2", "--format", "json"),
        ],
        env=dict(os.environ, PYTHONPATH=str(ROOT / "src")),
        capture_output=True,
        check=False,
    )


@when("the burn program reads both entry hosts and control")
def read_hosts(context):
    sources = []
    for address in context.linked.entry_addresses.values():
        sources += ["--entry", address]
    context.finished = run_burn(context, *sources)


@then("the report is partial, since no minute may have closed")
def check_partial(context):
    report = json.loads(context.finished.stdout)
    assert context.finished.returncode in (4, 5), context.finished
    assert report["partial"]
    named = json.dumps([report["problems"], report["gaps"]])
    assert "entry-1" in named and "entry-2" in named, named
    assert any(item["profile"]["name"] == "profile-0" for item in report["profiles"])


@when("both entry hosts are stopped as planned and the burn program reads their logs")
def read_logs(context):
    sources = []
    for name in context.linked.entries:
        assert context.linked.program(name).stop() == 0
        sources += ["--log", str(context.linked.program(name).log_path)]
    context.finished = run_burn(context, *sources)


@then('it counts at least {count:d} requests of "{profile}" that were not late')
def check_counted(context, count, profile):
    report = json.loads(context.finished.stdout)
    (burn,) = [b for b in report["profiles"] if b["profile"]["name"] == profile]
    # Requests before a searcher's first announcement were refused and count as late.
    assert burn["requests"] - burn["late"] >= count, burn
    assert sum(item["requests"] for item in burn["minutes"]) == burn["requests"]
