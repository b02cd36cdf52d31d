"""Steps for the JSON-line log."""

import json
import os
import subprocess
import sys
import threading

from behave import given, then, when
from loguru import logger

from plantainstage._programs.line_writer import MAX_PENDING_BYTES, LineWriter
from plantainstage._programs.logs import encode_line
from support.processes import ROOT, wait_until

WORKER = """
import sys
from loguru import logger
from plantainstage._programs.logs import configure_logs
configure_logs(level="INFO", program="entry", host_id="entry-1")
for number in range(30000):
    logger.info("line", number=number, filler="x" * 500)
print("finished", flush=True)
"""


class Unprintable:
    def __str__(self):
        raise RuntimeError("no text")


VALUES = {
    "long text": "x" * 10000,
    "long list": list(range(500)),
    "nested": {"a": {"b": {"c": {"d": {"e": "nested"}}}}},
    "unprintable": Unprintable(),
    "lone surrogate": "\udc80",
    "text with line ends": 'first\n"}\nsecond',
    "huge number": 10**40 - 1,
    "not a number": float("nan"),
}


def capture_line(write):
    lines = []
    logger.remove()
    sink = logger.add(lambda message: lines.append(encode_line(message.record)))
    write()
    logger.remove(sink)
    (line,) = lines
    return line


@when("the value {name} is logged")
def log_value(context, name):
    context.line = capture_line(lambda: logger.info("event", value=VALUES[name]))


@when('the field "{name}" with the value "{value}" is logged')
def log_field(context, name, value):
    context.line = capture_line(lambda: logger.info("event", **{name: value}))


@when("an exception with a cause is logged")
def log_exception(context):
    def write():
        try:
            try:
                raise KeyError("inner")
            except KeyError as error:
                raise ValueError("bad partition") from error
        except ValueError:
            logger.exception("request failed")

    context.line = capture_line(write)


@then('the line is one JSON object of at most {size:d} bytes that contains "{text}"')
def check_line(context, size, text):
    assert "\n" not in context.line
    assert len(context.line) <= size, len(context.line)
    assert isinstance(json.loads(context.line), dict)
    assert text in context.line, context.line


@then('the line does not contain "{text}"')
def check_absent(context, text):
    assert text not in context.line, context.line


@then('the line names "{kind}", "{text}", "{cause}" and "{place}"')
def check_exception(context, kind, text, cause, place):
    found = json.loads(context.line)["exception"]
    assert (found["type"], found["text"], found["cause"]) == (kind, text, cause), found
    assert place in found["where"][-1], found


@when("a program logs 30000 lines while its standard error is {state}")
def run_worker(context, state):
    command = [sys.executable, "-c", WORKER]
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    reader, writer = os.pipe()
    match state:
        case "closed":
            options = {"preexec_fn": lambda: os.close(2)}
        case "full":
            options = {"stderr": os.open("/dev/full", os.O_WRONLY)}
            context.resources.callback(os.close, options["stderr"])
        case "not read":
            options = {"stderr": writer}
    context.worker = subprocess.run(
        command, env=environment, stdout=subprocess.PIPE, check=False, **options
    )
    os.close(reader)
    os.close(writer)


@then("the program finishes its work and exits with 0")
def check_worker(context):
    assert context.worker.stdout == b"finished\n", context.worker.stdout
    assert context.worker.returncode == 0, context.worker.returncode


@given("a log writer on a full pipe")
def make_writer(context):
    context.reader, context.pipe = os.pipe()
    context.writer = LineWriter(descriptor=context.pipe)


@when("more than 8 MiB of lines are logged and then the pipe is read")
def fill_writer(context):
    line = json.dumps({"event": "filler", "text": "x" * 1000})
    context.sent = 2 * MAX_PENDING_BYTES // len(line)
    for _ in range(context.sent):
        context.writer.put(line)
    chunks = []

    def read():
        while chunk := os.read(context.reader, 65536):
            chunks.append(chunk)

    thread = threading.Thread(target=read)
    thread.start()
    context.writer.close(timeout_s=60)
    os.close(context.pipe)
    thread.join()
    os.close(context.reader)
    context.lines = [json.loads(x) for x in b"".join(chunks).splitlines()]


@then("all lines arrive whole, or the lines that are lost are counted")
def check_lost(context):
    arrived = sum(line["event"] == "filler" for line in context.lines)
    lost = sum(line.get("lost", 0) for line in context.lines)
    assert 0 < arrived < context.sent
    assert arrived + lost == context.sent, (arrived, lost, context.sent)


@given("a log writer on a full disk that has lost {count:d} lines")
def make_full_writer(context, count):
    context.pipe = os.open("/dev/full", os.O_WRONLY)
    context.resources.callback(os.close, context.pipe)
    context.writer = LineWriter(descriptor=context.pipe)
    for number in range(count):
        context.writer.put(json.dumps({"event": "early", "number": number}))
    wait_until(lambda: context.writer.lost == count, what="the lines are lost")


@when("the disk has room again and one more line is logged")
def make_room(context):
    reader, writer = os.pipe()
    os.dup2(writer, context.pipe)
    os.close(writer)
    context.writer.put(json.dumps({"event": "late"}))
    context.writer.close(timeout_s=60)
    context.lines = [json.loads(x) for x in os.read(reader, 65536).splitlines()]
    os.close(reader)


@then("the log holds that line after a count of {count:d} lost lines")
def check_resumed(context, count):
    assert context.lines == [
        {"event": "log lines lost", "lost": count},
        {"event": "late"},
    ], context.lines


@when("it is closed with lines left, and its descriptor belongs to another pipe")
def close_full_writer(context):
    line = json.dumps({"event": "filler", "text": "x" * 1000})
    for _ in range(MAX_PENDING_BYTES // len(line)):
        context.writer.put(line)
    context.writer.close(timeout_s=0.01)
    other_reader, other_writer = os.pipe()
    os.dup2(other_writer, context.pipe)
    os.close(other_writer)
    # Ends the write that blocks on the first pipe.
    os.close(context.reader)
    context.writer.thread.join(60)
    os.close(context.pipe)
    context.written = os.read(other_reader, 65536)
    os.close(other_reader)


@then("the other pipe gets no log line")
def check_nothing_written(context):
    assert not context.writer.thread.is_alive()
    assert context.written == b"", context.written[:200]
