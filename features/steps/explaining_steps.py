"""Steps for event lines, plantainstage-explain and metrics."""

import asyncio
import json
import os
import tempfile

from behave import given, then, when
from click.testing import CliRunner
from prometheus_client import generate_latest

from plantainstage._gateway.events import EventLog
from plantainstage._programs.explain import main as explain
from plantainstage._programs.line_writer import MAX_PENDING_BYTES, LineWriter


def run_with_log(put, work):
    """Runs ``work(events)`` on an event loop and flushes the event log."""

    async def run():
        events = EventLog(program="gateway", host_id="h", put=put)
        work(events)
        events.flush()

    asyncio.run(run())


@then(
    'the event lines of "{request_id}" name the searcher "{searcher}", the inputs of '
    'its choice and "{outcome}"'
)
def step_lines(context, request_id, searcher, outcome):
    daemon = context.tier.gateways[0][0]
    daemon.events.flush()
    context.lines = context.tier.events
    own = [line for line in context.lines if line.get("request_id") == request_id]
    sent = next(line for line in own if line.get("step") == "send")
    assert sent["searcher"] == searcher, sent
    assert sent["expected_ms"] > 0 and sent["in_flight"] == 0, sent
    assert any(line.get("outcome") == outcome for line in own), own
    ended = next(line for line in own if line["event"] == "request")
    assert (ended["status"], ended["version"]) == (context.reply.status, 1), ended


@then('the event lines of "{request_id}" contain "{step}" and "{outcome}"')
def step_lines_contain(context, request_id, step, outcome):
    daemon = context.tier.gateways[0][0]
    daemon.events.flush()
    own = [e for e in context.tier.events if e.get("request_id") == request_id]
    decisions = [(line.get("step"), line.get("outcome")) for line in own]
    assert (step, outcome) in decisions, decisions


@then("plantainstage-explain shows the same from a file of these lines")
def step_explain(context):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
        for line in context.lines:
            file.write(f"12.3 some-host {json.dumps(line)}\n")
        file.flush()
        result = CliRunner().invoke(explain, ["r-1", file.name])
        unknown = CliRunner().invoke(explain, ["r-2", file.name])
    assert result.exit_code == 0, result
    for text in ("searcher s-1", "503, not run", "expected_ms", "status 503"):
        assert text in result.output, result.output
    assert unknown.exit_code == 3 and "no line" in unknown.output, unknown


@given('a log with a request line with outcome "{outcome}" and the fields {fields}')
def step_request_line(context, outcome, fields):
    words = fields.split()
    known = dict(zip(words[::2], words[1::2], strict=True))
    context.line = {
        "time": 12.5,
        "event": "request",
        "program": "gateway",
        "host": "front-1",
        "request_id": "r-1",
        "outcome": outcome,
        **known,
    }


@when("plantainstage-explain is asked for this request")
def step_explain_line(context):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
        file.write(f"{json.dumps(context.line)}\n")
        file.flush()
        context.result = CliRunner().invoke(explain, ["r-1", file.name])


def assert_request_line(context, line):
    assert line.startswith("12.500 front-1 request: "), line
    assert f"outcome {context.line['outcome']}" in line, line


@then('it prints the request line as before and one line "{reason}"')
def step_reason(context, reason):
    assert context.result.exit_code == 0, context.result
    first, second = context.result.output.splitlines()
    assert_request_line(context, first)
    assert second == reason, second


@then("it prints the request line as before and nothing else")
def step_no_reason(context):
    assert context.result.exit_code == 0, context.result
    (line,) = context.result.output.splitlines()
    assert_request_line(context, line)


@when(
    "{ordinary:d} ordinary and then {important:d} important events are logged within a second"
)
def step_log_many(context, ordinary, important):
    texts = []

    def work(events):
        events.clock = lambda: 1.0  # the whole run falls into one second
        for number in range(ordinary):
            events.log_ordinary("ordinary", number=number)
        for number in range(important):
            events.log_event("important", number=number)

    run_with_log(texts.append, work)
    context.lines = [json.loads(line) for text in texts for line in text.split("\n")]
    context.logged = ordinary + important


@then("all important events are kept")
def step_important(context):
    kept = [line for line in context.lines if line["event"] == "important"]
    assert len(kept) == 100, len(kept)


@then("the number of dropped lines is logged")
def step_dropped(context):
    dropped = sum(line.get("count", 0) for line in context.lines)
    kept = len(context.lines) - 1  # without the line that states the number
    assert dropped == context.logged - kept > 0, (dropped, kept)


@when("{count:d} events are logged to a pipe that nobody reads")
def step_full_pipe(context, count):
    reader, writer = os.pipe()
    context.resources.callback(os.close, reader)
    context.writer = LineWriter(descriptor=writer)
    context.resources.callback(os.close, writer)
    context.resources.callback(context.writer.close, 0.01)
    text = "x" * 2 * (MAX_PENDING_BYTES // count)

    def work(events):
        for _ in range(count):
            events.put(text)

    run_with_log(context.writer.put, work)


@then("the call returns and the lines that did not fit are counted")
def step_counted(context):
    assert context.writer.lost > 0


@then(
    'the metrics of the entry host count {count:d} requests of kind "{kind}" with status 200'
)
def step_gateway_metrics(context, count, kind):
    text = generate_latest(context.gateway.router.metrics.registry).decode()
    line = f'plantainstage_requests_total{{kind="{kind}",status="200"}} {count}.0'
    assert line in text, text
    assert f'plantainstage_request_seconds_count{{kind="{kind}"}} {count}.0' in text


@then("the metrics of the control replica count 1 acknowledged configuration")
def step_registry_metrics(context):
    daemon = context.tier.leader()
    text = generate_latest(daemon.metrics.registry).decode()
    outcome = 'plantainstage_configurations_total{outcome="acknowledged"} 1.0'
    assert outcome in text, text
    assert "plantainstage_configuration_version 1.0" in text, text
