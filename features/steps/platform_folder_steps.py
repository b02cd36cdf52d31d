"""Steps for the folder ``platform``."""

import importlib.util
import json
import re
import subprocess
import sys
from pathlib import Path

from behave import then

from plantainstage._registry.daemon import DEFERRED_MODULES

ROOT = Path(__file__).resolve().parents[2]
FOLDER = ROOT / "platform"
PLATFORM_NAMES = (
    "Request-Id",
    "Deadline-Ms",
    "Expect-Instance",
    "Server-Stamp",
    "Part-Stamps",
    "Missing-Parts",
    "Server-Load",
    "Server-Limit",
    "Not-Executed",
    "warmupLeftMs",
    "warmup_left",
    "heartbeatAddr",
    "pathPrefix",
    "trafficSplit",
    "minCoverage",
    "maxAttempts",
    "/api/config",
    "/api/instances",
    "PLANTAINSTAGE_BOOT",
    "internalPorts",
)
ABOVE_64_BITS = 2**64
HEARTBEAT = {
    "service": "cards",
    "address": "127.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def run_python(code, folder=ROOT):
    """Runs Python code in a folder and returns its standard output."""
    result = subprocess.run(
        [sys.executable, "-"],
        input=code.encode(),
        cwd=folder,
        capture_output=True,
        check=True,
    )
    return result.stdout.decode().strip()


def nested(fields):
    """Returns the fields with one more, whose value is nested too deep to be read."""
    body = json.dumps(fields).encode()
    return body[:-1] + b', "other": ' + b"[" * 60_000 + b"]" * 60_000 + b"}"


def in_folder(code):
    paths = f"import sys; sys.path[:0] = [{str(FOLDER)!r}, {str(ROOT / 'src')!r}]\n"
    return run_python(paths + code)


@then("no source file outside the folder contains a name of the platform")
def step_names(context):
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in (ROOT / "src").rglob("*.py")
        for name in PLATFORM_NAMES
        # The product's own header names, with the prefix X-, contain some of these.
        if re.search(rf"(?<!X-){re.escape(name)}", path.read_text(encoding="utf-8"))
    ]
    assert found == [], found


@then("the standard module is found from the root and from the folder")
def step_standard_module(context):
    for folder in (ROOT, FOLDER):
        assert run_python("import platform; print(platform.system())", folder)


@then("neither program of the folder loads a plotting library")
def step_no_plotting(context):
    for program in ("front", "core"):
        code = f"import {program}; print('matplotlib' in sys.modules)"
        assert in_folder(code) == "False", program


@then("a heartbeat with {fault} is refused")
def step_heartbeat(context, fault):
    fields = dict(HEARTBEAT)
    body = None
    match fault:
        case "no start":
            del fields["born"]
        case "a start that is a string":
            fields["born"] = "1700000000000"
        case "a start that is true":
            fields["born"] = True
        case "an unknown state":
            fields["state"] = "resting"
        case "an address without a port":
            fields["address"] = "127.0.0.1"
        case "no slots":
            fields["slots"] = 0
        case "bytes that are not JSON":
            body = b"\xff{"
        case "a sequence above 64 bits":
            fields["seq"] = ABOVE_64_BITS
        case "a start above 64 bits":
            fields["born"] = ABOVE_64_BITS
        case "slots above 64 bits":
            fields["slots"] = ABOVE_64_BITS
        case "warm-up above 64 bits":
            fields["warmupLeftMs"] = ABOVE_64_BITS
        case "deep nesting":
            body = nested(fields)
        case "a port out of range":
            fields["address"] = "127.0.0.1:70000"
        case "a port of 5000 digits":
            fields["address"] = "127.0.0.1:" + "0" * 4998 + "80"
        case "a zone of 60000 letters":
            fields["zone"] = "z" * 60_000
    body = body or json.dumps(fields).encode()
    code = f"""
from control_formats import decode_heartbeat
from plantainstage._errors import InvalidAnnouncementError
decode_heartbeat("s-1", {json.dumps(HEARTBEAT).encode()!r})
try:
    decode_heartbeat("s-1", {body!r})
except InvalidAnnouncementError:
    print("refused")
"""
    assert in_folder(code) == "refused"


@then("a platform's configuration with {fault} is refused")
def step_configuration_refused(context, fault):
    route = {"name": "a", "host": "h", "pathPrefix": "/a/", "kind": "safe"}
    route |= {"timeoutMs": 9, "trafficSplit": [{"service": "s", "weight": 1}]}
    fields = {"version": 7, "routes": [route], "services": [{"name": "s"}]}
    valid = json.dumps(fields).encode()
    body = None
    match fault:
        case "deep nesting":
            body = nested(fields)
        case "a version above 64 bits":
            fields["version"] = ABOVE_64_BITS
        case "a timeout above 64 bits":
            route["timeoutMs"] = ABOVE_64_BITS
        case "a weight of 1e300":
            route["trafficSplit"][0]["weight"] = 1e300
    body = body or json.dumps(fields).encode()
    code = f"""
from wire_formats import decode_configuration
from plantainstage._errors import InvalidConfigurationError
from plantainstage._serving.configuration_ranges import check_number_ranges
check_number_ranges(decode_configuration({valid!r}))
try:
    check_number_ranges(decode_configuration({body!r}))
except InvalidConfigurationError:
    print("refused")
"""
    assert in_folder(code) == "refused"


@then("the routes of a platform's configuration have the product's types")
def step_configuration(context):
    routes = [
        {"name": "a", "host": "h", "pathPrefix": "/a/", "kind": "safe"}
        | {"timeoutMs": 1500, "targetLatencyMs": 118, "priority": 1, "topK": 20}
        | {"gather": ["s", "t"], "maxAttempts": 2, "minCoverage": 0.89},
        {"name": "b", "host": "h", "pathPrefix": "/b/", "kind": "unsafe"}
        | {"timeoutMs": 9, "trafficSplit": [{"service": "s", "weight": 3}]},
        {"name": "c", "host": "h", "pathPrefix": "/c/", "kind": "safe"}
        | {"timeoutMs": 9, "service": "t"},
    ]
    services = [{"name": "s", "maxConns": 26}, {"name": "t"}]
    document = json.dumps({"version": 7, "routes": routes, "services": services})
    code = f"""
from wire_formats import decode_configuration
from plantainstage._serving.configuration import AllOf, OneOf, RouteKind, Share
c = decode_configuration({document.encode()!r})
a, b, d = c.routes
assert c.version == 7 and c.services[0].connections == 26
assert a.target == AllOf(shards=("s", "t"), top_records=20, minimum_coverage=0.89)
assert (a.timeout_ms, a.aim_ms, a.attempts, a.priority) == (1500, 118, 2, 1)
assert a.kind is RouteKind.IDEMPOTENT and b.kind is RouteKind.AT_MOST_ONCE
assert b.target == OneOf(shares=(Share(service="s", weight=3.0),))
assert d.target == OneOf(shares=(Share(service="t"),)) and d.aim_ms == 9
print("same")
"""
    assert in_folder(code) == "same"


def loaded_modules(program):
    """Returns the modules that a program of the folder imports at start-up."""
    code = f"import {program}; print(*sys.modules)"
    return set(in_folder(code).split())


@then('the program "front" loads none of the modules that only "core" needs')
def step_front_modules(context):
    loaded = loaded_modules("front")
    control = ("_agreement", "_control", "_storage", "_registry.daemon")
    found = [
        name
        for name in loaded
        if name.startswith(tuple(f"plantainstage.{package}." for package in control))
    ]
    assert found == [], found


@then('the program "core" starts without its later modules, each of which exists')
def step_core_modules(context):
    loaded = loaded_modules("core")
    assert not loaded & set(DEFERRED_MODULES), loaded & set(DEFERRED_MODULES)
    for name in DEFERRED_MODULES:
        assert importlib.util.find_spec(name) is not None, name
