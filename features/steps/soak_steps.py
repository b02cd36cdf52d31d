"""Steps for soak tests of routed requests and for their checks."""

import subprocess
import sys
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "tools"))

from soak.checks import Checks  # noqa: E402
from soak.contents import (  # noqa: E402
    SHARDS,
    configuration,
    gathered_body,
    signature,
    single_body,
)
from soak.http import HEADER_NAMES  # noqa: E402
from soak.record import (  # noqa: E402
    AcknowledgedDrain,
    Attempt,
    FaultPeriod,
    Probe,
    Record,
    Run,
)

HANG_LIMIT_S = 240


@when("the soak of seed {seed:d} with {faults:d} faults has ended")
def run_soak(context, seed, faults):
    command = [sys.executable, "tools/run_soak.py", "--story"]
    command += ["--seed", str(seed), "--faults", str(faults)]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=HANG_LIMIT_S
    )


@then("it had {faults:d} faults and answers of each kind, and found no violation")
def check_soak(context, faults):
    output = context.soak.stdout
    assert context.soak.returncode == 0, output + context.soak.stderr
    assert f"faults: {faults} " in output, output
    assert "200: " in output and "violations: 0" in output, output


# ---- Checks of a recorded run ---------------------------------------------------------


def single(request_id, path="/read/x"):
    return Attempt(
        request_id=request_id,
        path=path,
        gateway="gateway-0",
        sent_at=10.0,
        fully_sent=True,
        ended_at=10.1,
        status=200,
        body=single_body(request_id),
    )


def gathered(request_id, services=SHARDS[:3]):
    named = ", ".join(signature(request_id, service) for service in services)
    headers = {
        HEADER_NAMES.part_signatures.lower(): named,
        HEADER_NAMES.missing_parts.lower(): str(len(SHARDS) - len(services)),
    }
    return Attempt(
        request_id=request_id,
        path="/all/x",
        gateway="gateway-0",
        sent_at=10.0,
        fully_sent=True,
        ended_at=10.1,
        status=200,
        headers=headers,
        body=gathered_body(request_id, services),
    )


def run_of(request_id, at=10.05):
    return Run(request_id=request_id, service="cards", searcher="cards-0", at=at)


@given("the record of a soak without violations")
def make_record(context):
    refused = single("refused")
    refused.status, refused.body = 503, b""
    lost = single("lost")
    lost.status, lost.body = 0, b""
    context.record = Record(
        attempts=[
            single("read"),
            single("card", "/card/x"),
            gathered("all"),
            refused,
            lost,
        ],
        runs=[run_of("read"), run_of("card")],
        probes=[
            Probe(gateway="gateway-0", process_id=1, version=2, status=200, at=20.0),
        ],
        acknowledged={1: 1.0, 2: 12.0},
        documents={1: configuration(1, 1), 2: configuration(2, 1)},
        final_document=configuration(2, 1),
    )
    Checks(record=context.record).run_all()
    assert context.record.violations == [], context.record.violations


@when("the record of the soak is changed so that {change}")
def change_record(context, change):
    record = context.record
    by_id = {attempt.request_id: attempt for attempt in record.attempts}
    match change:
        case "an answer has another request's body":
            by_id["read"].body = single_body("card")
        case "a gathered answer names another request's parts":
            by_id["all"].headers = gathered("other").headers
        case "a gathered answer conceals a missing part":
            by_id["all"].headers[HEADER_NAMES.missing_parts.lower()] = "0"
        case "a gathered answer lacks its greatest record":
            by_id["all"].body = by_id["all"].body[16:]
        case "a request that runs at most once ran twice":
            record.runs.append(run_of("card"))
        case "a refused request has run":
            record.runs.append(run_of("refused"))
        case "a planned stop interrupted a request":
            record.runs.append(run_of("lost"))
            record.fault_periods.append(
                FaultPeriod(
                    kind="stop", target="gateway-0", began_at=9.0, ended_at=12.0
                )
            )
        case "a drained searcher ran a request after the limit":
            record.drains.append(AcknowledgedDrain(searcher="cards-0", at=1.0))
            record.fault_periods.append(
                FaultPeriod(kind="drain", target="cards-0", began_at=0.9, ended_at=30.0)
            )
        case "an entry host reverted a version":
            record.probes.append(
                Probe(gateway="gateway-0", process_id=1, version=2, status=404, at=21.0)
            )
        case "an entry host did not apply a version in time":
            record.probes[0] = Probe(
                gateway="gateway-0", process_id=1, version=2, status=404, at=20.0
            )
        case "the newest version was lost":
            record.final_document = configuration(1, 1)
        case "a version has content that was not published":
            record.final_document = {**configuration(2, 1), "services": []}


@then('the checks of the soak report "{text}"')
def check_reported(context, text):
    Checks(record=context.record).run_all()
    found = context.record.violations
    assert any(text in violation for violation in found), found
