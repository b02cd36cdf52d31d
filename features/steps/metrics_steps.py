"""Steps for metrics by statsd."""

import socket

from behave import given, then, when

from plantainstage.reports import Metric, NullMetrics, make_metrics


def open_receiver(context):
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.resources.callback(receiver.close)
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(60)
    context.receiver = receiver
    return f"127.0.0.1:{receiver.getsockname()[1]}"


@given('a statsd receiver and metrics of entry host "{name}"')
def make_receiver(context, name):
    address = open_receiver(context)
    context.metrics = make_metrics(address=address, program="entry", host_id=name)
    context.resources.callback(context.metrics.close)


@when(
    '{count:d} refusals "{code}", a request of {elapsed:g} ms and version {version:d} are flushed'
)
def flush_few(context, count, code, elapsed, version):
    for _ in range(count):
        context.metrics.count(Metric.REFUSALS, label=code)
    context.metrics.timing(Metric.REQUEST_TIME, milliseconds=elapsed)
    context.metrics.gauge(Metric.VERSION, value=version)
    context.metrics.flush()


@then("the receiver gets these lines")
def check_lines(context):
    lines = context.receiver.recv(65536).decode().split("\n")
    assert lines == [row["line"] for row in context.table], lines


@when("{times:d} request times and {labels:d} different labels are flushed")
def flush_many(context, times, labels):
    for number in range(times):
        context.metrics.timing(Metric.REQUEST_TIME, milliseconds=number)
    for number in range(labels):
        context.metrics.count(Metric.REQUESTS, label=f"p{number}")
    context.metrics.flush()


@then("at most {values:d} values arrive in datagrams of at most {size:d} bytes")
def check_datagrams(context, values, size):
    context.receiver.setblocking(False)
    received = []
    try:
        while True:
            received.append(context.receiver.recv(65536))
    except BlockingIOError:
        pass
    assert received
    assert max(map(len, received)) <= size
    assert sum(data.count(b"\n") + 1 for data in received) <= values


@given("metrics whose receiver is {state}")
def make_metrics_for(context, state):
    address = "" if state == "not set" else open_receiver(context)
    if state == "absent":
        context.receiver.close()
    context.metrics = make_metrics(address=address, program="entry", host_id="e1")
    context.resources.callback(context.metrics.close)
    if state == "closed":
        context.metrics.close()


@then(
    "{counts:d} counts and {flushes:d} flushes raise nothing and the socket does not block"
)
def check_harmless(context, counts, flushes):
    for number in range(counts):
        context.metrics.count(Metric.REQUESTS, label="rider-gate")
        context.metrics.timing(Metric.REQUEST_TIME, milliseconds=number)
    for _ in range(flushes):
        context.metrics.gauge(Metric.LEASE_HELD, value=1)
        context.metrics.flush()
    if not isinstance(context.metrics, NullMetrics) and not context.metrics.closed:
        assert not context.metrics.client._sock.getblocking()
