"""Steps for plantainstage-burn with generated minute records."""

import asyncio
import io
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from plantainstage._programs.burn import exit_code
from plantainstage._reports.burn import burn_report
from plantainstage._reports.burn_text import report_json, report_text
from plantainstage._reports.sources import MinuteCollection, read_entry_hosts, read_log
from plantainstage.messages import configuration
from support.minutes import FakeHost, MinutesServer, write_profiles
from support.processes import ROOT, free_address


@given(
    'the published profile "{name}" with a deadline of {deadline:d} ms, {late:g} late and {extra:g} extra'
)
def set_profile(context, name, deadline, late, extra):
    context.profile = configuration.Profile(
        name=name,
        index="ditch-turns",
        deadline_ms=deadline,
        late_fraction=late,
        extra_load_limit=extra,
    )
    context.hosts = {}
    context.unreadable = []


@given(
    'entry host "{name}" with {minutes:d} minutes of {requests:d} requests, {late:d} late and {extra:d} of {first:d} extra'
)
def add_host(context, name, minutes, requests, late, extra, first):
    host = FakeHost(name, minutes=minutes)
    host.fill(profile=context.profile.name, requests=requests, late=late, extra=extra)
    context.hosts[name] = host


@given('{late:d} more late requests of "{name}" in minute {minute:d}')
def add_late(context, late, name, minute):
    context.hosts[name].add(minute, context.profile.name, late=late)


@given('{below:d} answers of "{name}" below the minimum coverage in minute {minute:d}')
def add_below(context, below, name, minute):
    context.hosts[name].add(minute, context.profile.name, below=below)


@given("an entry host that refuses connections")
def add_unreadable(context):
    context.unreadable.append(free_address())


def serve_hosts(context):
    addresses = []
    for host in context.hosts.values():
        server = MinutesServer(host.body())
        context.resources.callback(server.close)
        addresses.append(server.address)
    return addresses


def read_over_http(context, collection):
    addresses = [*serve_hosts(context), *context.unreadable]
    asyncio.run(read_entry_hosts(collection, addresses, timeout_s=30))


def make_report(context, collection, minutes):
    context.report = burn_report(collection, [context.profile], period_minutes=minutes)


@when("the burn of the last {minutes:d} minutes is reported over HTTP")
def report_http(context, minutes):
    collection = MinuteCollection()
    read_over_http(context, collection)
    make_report(context, collection, minutes)


@when(
    "the burn of the last {minutes:d} minutes is reported over HTTP and from the same host's log"
)
def report_both(context, minutes):
    collection = MinuteCollection()
    read_over_http(context, collection)
    for host in context.hosts.values():
        read_log(collection, io.BytesIO(host.log_bytes()), source="log")
    make_report(context, collection, minutes)


@when(
    "the burn of the last {minutes:d} minutes is reported from a log truncated inside its last line"
)
def report_truncated_log(context, minutes):
    collection = MinuteCollection()
    for host in context.hosts.values():
        read_log(collection, io.BytesIO(host.log_bytes()[:-40]), source="log")
    make_report(context, collection, minutes)


@when("the burn program runs over HTTP and standard input with a PNG and an SVG")
def run_program(context):
    folder = Path(context.resources.enter_context(tempfile.TemporaryDirectory()))
    write_profiles(folder / "profiles.json", [context.profile])
    entries = [part for a in serve_hosts(context) for part in ("--entry", a)]
    context.plots = [folder / "burn.png", folder / "burn.svg"]
    (log,) = [host.log_bytes() for host in context.hosts.values()]
    for plot in context.plots:
        context.finished = subprocess.run(
            [
                *(sys.executable, "-m", "plantainstage._programs.burn", *entries),
                *("--log", "-", "--profiles", str(folder / "profiles.json")),
                *("--minutes", "10", "--format", "json", "--plot", str(plot)),
            ],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT / "src")),
            input=log,
            capture_output=True,
            check=False,
        )


@then('the exit code is {code:d} and the report starts with "{start}"')
def check_exit_code(context, code, start):
    text = report_text(context.report)
    assert text.startswith(start), text
    assert exit_code(context.report) == code, exit_code(context.report)


@then('the exit code is {code:d} and minute {minute:d} is violated by "{names}"')
def check_violations(context, code, minute, names):
    assert exit_code(context.report) == code, exit_code(context.report)
    (found,) = [m for m in context.report.profiles[0].minutes if m.minute == minute]
    assert ", ".join(v.value for v in found.violations) == names, found


@then('the exit code is {code:d} and minute {minute:d} is violated by ""')
def check_no_violations(context, code, minute):
    check_violations(context, code, minute, "")


@then("the worst minute is {minute:d} with {late:d} of {requests:d} late")
def check_worst(context, minute, late, requests):
    worst = context.report.profiles[0].worst_minute
    assert (worst.minute, worst.late, worst.requests) == (minute, late, requests)
    assert "worst minute: 1970-01-01 16:44" in report_text(context.report)


@then(
    "the burn rate over {short:d} minutes is {rate:g} and over {long:d} minutes {long_rate:g}"
)
def check_rates(context, short, rate, long, long_rate):
    rates = {r.window_minutes: r.rate for r in context.report.profiles[0].burn_rates}
    assert abs(rates[short] - rate) < 0.001, rates
    assert abs(rates[long] - long_rate) < 0.001, rates


@then("the report names the host that refuses connections")
def check_unreadable(context):
    text, data = report_text(context.report), report_json(context.report)
    for address in context.unreadable:
        assert f"Not read: {address}" in text, text
        assert address in data


@then(
    'the report names a gap of {minutes:d} minutes for "{host}" and no burn rate above {known:d} minutes is complete'
)
def check_gap(context, minutes, host, known):
    (gap,) = context.report.gaps
    assert (gap.host, gap.missing) == (host, minutes), gap
    for rate in context.report.profiles[0].burn_rates:
        assert rate.complete == (rate.window_minutes <= known), rate


@then("the report counts {requests:d} requests")
def check_requests(context, requests):
    assert context.report.profiles[0].requests == requests


@then(
    "it exits with {code:d}, prints JSON with {requests:d} requests and writes both plots"
)
def check_program(context, code, requests):
    assert context.finished.returncode == code, context.finished.stderr.decode()
    report = json.loads(context.finished.stdout)
    assert report["profiles"][0]["requests"] == requests
    assert context.plots[0].read_bytes().startswith(b"\x89PNG")
    assert b"<svg" in context.plots[1].read_bytes()
