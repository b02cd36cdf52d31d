"""Steps for chaos runs and for their checks."""

import copy
import dataclasses
import subprocess
import sys

from behave import given, then, when

from support.processes import ROOT

sys.path.append(str(ROOT / "tools"))

from chaos.callers import BOOKING_PROFILE, QUERY_PROFILE  # noqa: E402
from chaos.checks import Checks  # noqa: E402
from chaos.history import Attempt, History, Outage  # noqa: E402


@when("the chaos run of seed {seed:d} with {steps:d} steps has ended")
def run_chaos(context, seed, steps):
    command = [sys.executable, str(ROOT / "tools" / "run_chaos.py")]
    options = ["--seed", str(seed), "--steps", str(steps), "--callers", "4"]
    context.chaos = subprocess.run(
        [*command, *options], cwd=ROOT, capture_output=True, text=True, check=False
    )


@then(
    "it had at least {answers:d} answers and {faults:d} faults, and printed no violation"
)
def check_chaos(context, answers, faults):
    output = context.chaos.stdout
    assert context.chaos.returncode == 0, output + context.chaos.stderr
    assert "violations: 0" in output, output
    assert int(output.split("answers: ")[1].split()[0]) >= answers, output
    assert output.count(" s  fault ") >= faults, output


# ---- Checks of a recorded run ----------------------------------------------------


def attempt(request_id, *, booking=False, status=200, body=None, **changes):
    values = {
        "entry": "entry-1",
        "request_id": request_id,
        "token": request_id,
        "profile": BOOKING_PROFILE if booking else QUERY_PROFILE,
        "idempotent": not booking,
        "partitions": ("a",) if booking else (),
        "sent_at": 10.0,
        "ended_at": 10.2,
        "status": status,
        "body": body or answer(request_id, ("a",) if booking else ("a", "b")),
    }
    return Attempt(**{**values, **changes})


def answer(request_id, partitions):
    documents = sum(MANIFEST[name] for name in partitions)
    return {
        "request_id": request_id,
        "snapshot": "s1",
        "coverage": {
            "documents_answered": documents,
            "documents_total": documents,
            "fraction": 1.0,
            "partitions_missing": [],
        },
        "hits": {
            name: [{"echo": {"token": request_id}, "searcher": f"{name}-1"}]
            for name in partitions
        },
    }


MANIFEST = {"a": 1000, "b": 1010}


def run_record(request_id, partition, **changes):
    values = {
        "upstream_id": f"{partition}-1",
        "request_id": request_id,
        "snapshot": "s1",
        "partition": partition,
        "documents": MANIFEST[partition],
        "started": 10.1,
        "outcome": "answered",
    }
    return {**values, **changes}


@given("the record of a chaos run without violations")
def make_record(context):
    refusal = {"error": "overloaded", "run": "not_run"}
    context.history = History(
        attempts=[
            attempt("query-1"),
            attempt("1-booking", booking=True),
            attempt("query-2", status=503, body=refusal),
        ],
        outages=[
            Outage(upstream_id="b-1", accepted_at=11.0, in_force_at=12.0, back_at=20.0)
        ],
        planned_stops=[("entry-1", 30.0)],
    )
    context.checks = Checks(
        history=context.history,
        runs=[
            run_record("query-1", "a"),
            run_record("query-1", "b"),
            run_record("1-booking", "a"),
        ],
        searchers=[
            {
                "upstream_id": "a-1",
                "slots": 3,
                "max_slots": 3,
                "connections": 30,
                "max_connections": 15,
            }
        ],
        manifests={"s1": MANIFEST, "s2": {"a": 2000, "b": 2010}},
    )
    context.checks.run_all()
    assert context.history.violations == [], context.history.violations


def set_body(context, position, change):
    item = context.history.attempts[position]
    body = copy.deepcopy(item.body)
    change(body)
    context.history.attempts[position] = dataclasses.replace(item, body=body)


@when("the record is changed so that an answer has another caller's hits")
def change_hits(context):
    set_body(context, 0, lambda b: b["hits"]["a"][0].update(echo={"token": "other"}))


@when("the record is changed so that an answer has another request's id")
def change_id(context):
    set_body(context, 0, lambda b: b.update(request_id="other"))


@when("the record is changed so that an answer overstates its coverage")
def change_coverage(context):
    del context.checks.runs[1]
    set_body(context, 0, lambda b: b["hits"].pop("b"))


@when("the record is changed so that an answer names another snapshot")
def change_snapshot(context):
    set_body(context, 0, lambda b: b.update(snapshot="s2"))


@when("the record is changed so that a refused request has run")
def change_refusal(context):
    context.checks.runs.append(run_record("query-2", "a"))


@when("the record is changed so that a booking has run twice")
def change_booking(context):
    context.checks.runs.append(run_record("1-booking", "a", upstream_id="a-2"))


@when("the record is changed so that a booking has two different answers")
def change_booking_answer(context):
    context.checks.runs.append(run_record("1-booking", "a", upstream_id="a-2"))
    context.history.attempts.append(attempt("1-booking", booking=True))
    set_body(context, -1, lambda b: b["hits"]["a"][0].update(searcher="a-2"))


@when("the record is changed so that a searcher was used beyond its cap")
def change_cap(context):
    context.checks.searchers[0]["max_connections"] = 31


@when("the record is changed so that a searcher that was taken out got work")
def change_outage(context):
    context.checks.runs.append(run_record("query-1", "b", started=13.0))


@when("the record is changed so that a planned stop interrupted a request")
def change_stop(context):
    context.history.attempts.append(
        attempt(
            "query-3",
            status=0,
            error="reply ConnectionResetError",
            sent_at=29.0,
            ended_at=30.1,
        )
    )


@then('the checks report "{text}"')
def check_reported(context, text):
    context.checks.__post_init__()
    context.checks.run_all()
    found = context.history.violations
    assert any(text in item for item in found), found
