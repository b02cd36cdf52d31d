"""Steps for entry hosts that run as separate processes."""

import socket
import threading
import time

from behave import given, then, when

from plantainstage.messages import control
from support.many_callers import interleaved_requests, send_all
from support.processes import get_status, post_json, wait_until
from support.tier import Tier

SEED = 7
# Requests sent before the signal must still run when the host stops accepting
# requests. Above 200 ms a searcher would count as silent.
DRAIN_DELAY_S = 0.05
LONGER_THAN_DRAIN_DELAY_MS = 150


@given(
    "an entry tier of {hosts:d} hosts with {partitions:d} partitions of {replicas:d} searchers"
)
def start_entry_tier(context, hosts, partitions, replicas):
    tier = context.tier = Tier(context.resources)
    context.partitions = partitions
    tier.start_control()
    for number in range(hosts):
        tier.start_entry(f"entry-{number + 1}", "--drain-delay", DRAIN_DELAY_S)
    tier.start_searchers(partitions=partitions, replicas=replicas)
    tier.wait_until_ready()


@given("{replicas:d} more searchers of each partition in a process of their own")
def start_more_searchers(context, replicas):
    flags = ("--first-replica", replicas + 1)
    context.tier.start_searchers(
        *flags, partitions=context.partitions, replicas=replicas, name="more"
    )


@given('the entry profile "{name}" with {deadline_ms:d} ms and coverage {coverage:f}')
def publish_entry_profile(context, name, deadline_ms, coverage):
    context.tier.publish(name=name, deadline_ms=deadline_ms, minimum_coverage=coverage)
    context.tier.wait_until_full(name)


@given('{count:d} queries have built up the extra-load budget of "{profile}"')
def build_up_budget(context, count, profile):
    for address in context.tier.entry_addresses:
        requests = [(address, {"profile": profile, "query": n}) for n in range(count)]
        for start in range(0, count, 5):
            send_all(requests[start : start + 5])


# ---- Interleaved callers ------------------------------------------------------


@when('{count:d} callers send interleaved queries under "{profile}"')
def send_interleaved(context, count, profile):
    context.tier.order(behaviour={"slow_fraction": 0.1, "slow_factor": 20.0})
    context.exchanges = send_all(
        interleaved_requests(
            context.tier.entry_addresses, count=count, profile=profile, seed=SEED
        )
    )


@then("at least {count:d} callers are answered, each with its own query echoed")
def check_echoes(context, count):
    answered = [item for item in context.exchanges if item.status == 200]
    refused = {item.body.get("error") for item in context.exchanges} - {None}
    assert len(answered) >= count, (len(answered), refused)
    for item in answered:
        assert item.body["request_id"] == item.request["request_id"]
        assert item.body["hits"]
        for hits in item.body["hits"].values():
            assert [hit["echo"] for hit in hits] == [item.request["query"]]
    assert all(item.status in (200, 503) for item in context.exchanges), refused


@then("some answers lack a partition, as their queries require")
def check_partial(context):
    partial = [
        item
        for item in context.exchanges
        if item.status == 200 and item.body["coverage"]["partitions_missing"]
    ]
    assert partial


@then("every answer's coverage is that of the searchers' records")
def check_coverage(context):
    answered_runs = {}
    for run in context.tier.runs():
        if run["outcome"] == "answered":
            key = (run["request_id"], run["snapshot"], run["partition"])
            answered_runs[key] = run["documents"]
    for item in context.exchanges:
        if item.status != 200:
            continue
        body = item.body
        recomputed = sum(
            answered_runs[body["request_id"], body["snapshot"], partition]
            for partition in body["hits"]
        )
        coverage = body["coverage"]
        assert coverage["documents_answered"] == recomputed, (body, recomputed)
        missing = coverage["partitions_missing"]
        assert len(missing) + len(body["hits"]) == context.partitions
        full = coverage["documents_answered"] == coverage["documents_total"]
        assert full == (not missing), body


@then("no searcher saw more than its slots or half of its connections")
def check_caps(context):
    for record in context.tier.records():
        assert record["max_slots"] <= record["slots"], record
        assert record["max_connections"] <= record["connections"] // 2, record
        assert record["shed"] == 0, record


# ---- Invalid input ------------------------------------------------------------


@then("these bodies are refused without any run")
def check_bad_bodies(context):
    before = len(context.tier.runs())
    address = context.tier.entry_addresses[0]
    for row in context.table:
        status, body = post_json(address, "/v1/query", row["body"].encode())
        assert (status, body["error"]) == (int(row["status"]), row["error"]), (
            row["body"],
            body,
        )
        assert body["run"] == "not_run", body
        assert body["message"] and body["remedy"], body
    assert len(context.tier.runs()) == before


@then("a body of invalid UTF-8, one nested {depth:d} deep and one of 2 MiB are refused")
def check_invalid_bodies(context, depth):
    address = context.tier.entry_addresses[0]
    head = b'{"profile":"rider-gate","query":'
    for query, status, error in (
        (b'"\xff"', 400, "malformed"),
        (b"[" * depth + b"]" * depth, 400, "malformed"),
        (b'"' + b"x" * 2**21 + b'"', 413, "too_large"),
    ):
        reply = post_json(address, "/v1/query", head + query + b"}")
        assert (reply[0], reply[1]["error"]) == (status, error), reply
        assert reply[1]["run"] == "not_run", reply


@then("a body shorter than its Content-Length and bytes that are not HTTP run nothing")
def check_broken_http(context):
    host, _, port = context.tier.entry_addresses[0].rpartition(":")
    before = len(context.tier.runs())
    body = b'{"profile":"rider-gate","query":1}'
    for data in (
        b"POST /v1/query HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n" + body,
        b"POST /v1/query HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n" + body,
        b"\x00\x01\x02\r\n\r\n",
    ):
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            assert b" 200 " not in connection.recv(65536)
    assert len(context.tier.runs()) == before
    assert context.tier.answers_in_full("rider-gate", 0)


@then("announcements with invalid fields are refused with a remedy")
def check_bad_announcements(context):
    address = context.tier.entry_addresses[0]
    good = {
        "upstream_id": "new-1",
        "incarnation": "i1",
        "address": "127.0.0.1:9",
        "data_centre": "upper-canal",
        "index": "other-index",
        "slots": 1,
        "connections": 4,
        "snapshots": [
            {"snapshot": "s1", "sequence": 1, "partitions": ["p"], "manifest": {"p": 1}}
        ],
    }
    holding = good["snapshots"][0]
    for change, error in (
        ({"slots": "many"}, "malformed"),
        ({"slot": 1}, "malformed"),
        ({"slots": 0, "address": "localhost:1"}, "invalid_announcement"),
        ({"connections": 3}, "invalid_announcement"),
        ({"state": "gone"}, "invalid_announcement"),
        ({"snapshots": [{**holding, "manifest": {}}]}, "invalid_announcement"),
        ({"snapshots": [{**holding, "partitions": ["q"]}]}, "invalid_announcement"),
    ):
        status, body = post_json(address, "/v1/upstreams", {**good, **change})
        assert (status, body["error"]) == (400, error), (change, body)
        assert body["message"] and body["remedy"], body
    assert post_json(address, "/v1/upstreams", good)[0] == 200
    other = [{**holding, "manifest": {"p": 2}}]
    conflict = {**good, "upstream_id": "new-2", "snapshots": other}
    status, body = post_json(address, "/v1/upstreams", conflict)
    assert (status, body["error"]) == (409, "manifest_conflict"), body


# ---- Planned stops ------------------------------------------------------------


def _call_while_ready(tier, entry, sleep_ms, stop, replies):
    address = tier.entry_addresses[entry]
    body = {"profile": "rider-gate", "query": {"sleep_ms": sleep_ms}}
    while not stop.is_set() and get_status(address, "/readyz") == 200:
        try:
            reply = tier.query(body, entry)
        except OSError as error:
            reply = 0, {"error": repr(error)}
        replies.append(reply)


def start_load(context, stop):
    """Starts callers; returns their threads once replies arrive."""
    context.replies = []
    threads = [
        threading.Thread(
            target=_call_while_ready,
            args=(context.tier, entry, sleep_ms, stop, context.replies),
        )
        for entry in range(3)
        for sleep_ms in (2, *[LONGER_THAN_DRAIN_DELAY_MS] * 4)
    ]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(context.replies) > 30, what="the load has started")
    return threads


@when("callers send queries to ready hosts while all hosts stop")
def stop_all_under_load(context):
    threads = start_load(context, threading.Event())
    programs = context.tier.programs
    context.stopped = [programs[f"entry-{number}"] for number in (1, 2, 3)]
    for program in context.stopped:
        program.signal(15)
    context.exit_codes = [program.process.wait(60) for program in context.stopped]
    for thread in threads:
        thread.join()


@then("every host has stopped with exit code 0 and without a wait that timed out")
def check_all_stopped(context):
    assert context.exit_codes == [0, 0, 0], context.exit_codes
    for program in context.stopped:
        log = program.log_path.read_text(encoding="utf-8")
        assert "not finished in time" not in log, log[-2000:]


@when("callers send queries to ready hosts while one host and those searchers stop")
def stop_under_load(context):
    tier = context.tier
    stop = threading.Event()
    threads = start_load(context, stop)
    entry, more = tier.programs["entry-2"], tier.programs["more"]
    for program in (entry, more, entry):  # the entry host gets the signal twice
        program.signal(15)
    context.exit_codes = (entry.process.wait(60), more.process.wait(60))
    seen = len(context.replies)
    wait_until(lambda: len(context.replies) > seen + 30, what="the load continues")
    stop.set()
    for thread in threads:
        thread.join()


@then("both stop with exit code 0")
def check_exit_codes(context):
    assert context.exit_codes == (0, 0), context.exit_codes


@then(
    "every caller was answered in full, referred to another host, or refused a connection"
)
def check_answered_before_end(context):
    # The host no longer listened, so it never accepted the request.
    late = "ConnectionRefusedError"
    context.replies = [item for item in context.replies if late not in str(item)]
    check_all_answered(context)


@then("every caller got a full answer or was referred to another host")
def check_all_answered(context):
    bad = [
        (status, body)
        for status, body in context.replies
        if (status != 200 or body["coverage"]["fraction"] != 1.0)
        and (body.get("error"), body.get("run")) != ("stopping", "not_run")
    ]
    assert not bad, (len(bad), len(context.replies), bad[:3])


# ---- Frozen and dead entry hosts ----------------------------------------------


def _in_thread(call, results):
    def run():
        results.append(call())

    thread = threading.Thread(target=run)
    thread.start()
    return thread


@when("entry host 1 is frozen past its lease while it gets queries")
def freeze_entry(context):
    tier = context.tier
    tier.programs["entry-1"].freeze()
    body = {"profile": "rider-gate", "query": "while frozen"}
    context.late_replies = []
    context.late_threads = [
        _in_thread(lambda: tier.query(body, 0), context.late_replies) for _ in range(10)
    ]
    # The other host forwards these to searchers of the frozen one.
    send_all([(tier.entry_addresses[1], body)] * 10)

    def lease_ended():
        status = tier.control_call(control.QueryStatus())
        ended = [item.lease_remaining_ms <= 0 for item in status.entries]
        return len(ended) < 2 or any(ended)

    wait_until(lease_ended, what="the lease of the frozen host has expired")


@when("it resumes without any reply from control")
def resume_entry(context):
    tier = context.tier
    tier.programs["control-1"].freeze()
    for address in tier.entry_addresses[1:]:
        wait_until(
            lambda address=address: get_status(address, "/readyz") == 503,
            what="the other leases have expired too",
        )
    context.resumed_at = time.monotonic()
    tier.programs["entry-1"].resume()
    for thread in context.late_threads:
        thread.join()
    context.resources.callback(tier.programs["control-1"].resume)


@then("no searcher has run anything since it resumed")
def check_nothing_sent(context):
    late = [run for run in context.tier.runs() if run["started"] >= context.resumed_at]
    assert not late, late


@then('the queries are refused as "{code}"')
def check_late_replies(context, code):
    assert {body["error"] for _, body in context.late_replies} == {code}


@when("entry host 1 is killed while it runs a non-idempotent request")
def kill_entry_during_request(context):
    tier = context.tier
    context.booking = {
        "profile": "turn-booking",
        "query": {"sleep_ms": 1000},
        "request_id": f"{time.time_ns() // 1_000_000}-booking-1",
        "idempotent": False,
    }

    def send():
        try:
            return tier.query(context.booking, 0)
        except OSError as error:
            return 0, {"error": repr(error)}

    thread = _in_thread(send, [])

    request_id = context.booking["request_id"]
    wait_until(lambda: is_running(tier, request_id), what="the request runs")
    tier.programs["entry-1"].kill()
    thread.join()


def is_running(tier, request_id):
    """Whether a searcher is running a sub-request of this request."""
    return any(request_id in record["running"] for record in tier.records())


@when("the request is resent through entry host 2 until its outcome is final")
def resend(context):
    context.resends = []

    def final():
        context.resends.append(context.tier.query(context.booking, 1))
        return context.resends[-1][1].get("run") == "unknown" and (
            context.resends[-1][1]["error"] == "outcome_unknown"
        )

    wait_until(final, what="the outcome is final")


@then("the searchers' records show exactly {count:d} execution")
def check_executions(context, count):
    request_id = context.booking["request_id"]
    wait_until(
        lambda: not is_running(context.tier, request_id), what="nothing is running"
    )
    assert len(context.tier.runs(request_id)) == count, context.tier.runs(request_id)


@then('the resends report "{first}" and finally "{last}"')
def check_resends(context, first, last):
    codes = [body.get("error") for _, body in context.resends]
    assert set(codes) == {first, last} and codes[-1] == last, codes


# ---- Crashes and silence ------------------------------------------------------


@when("a crashing query is sent through every entry host in turn")
def send_crashing(context):
    tier = context.tier
    query = {"crash": True, "only": "rider-desk-01"}
    context.resends = []
    for entry in range(len(tier.entry_addresses)):
        for number in range(2):
            body = {
                "profile": "rider-gate",
                "query": query,
                "request_id": f"crash-{entry}-{number}",
            }
            context.resends.append(tier.query(body, entry))


@then("at most {count:d} searchers have crashed")
def check_crashes(context, count):
    crashes = sum(record["crashes"] for record in context.tier.records())
    assert 0 < crashes <= count, crashes


@then('the resends are refused as "{code}"')
def check_quarantined(context, code):
    assert {body["error"] for _, body in context.resends} == {code}, context.resends


# ---- Ports in use -------------------------------------------------------------


@given("a port that another program uses")
def use_port(context):
    listener = context.resources.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    context.used_address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.tier = Tier(context.resources)
    context.refused_programs = {}


@when("an entry host starts with this port as its {flag}")
def start_on_used_port(context, flag):
    context.tier.control_addresses = ["127.0.0.1:9"]
    name = f"refused{flag}"
    program = context.tier.start_entry(name, flag, context.used_address)
    context.refused_programs[flag] = program


@then('both have exited with {code:d}, named the flag and said "{text}"')
def check_refused_start(context, code, text):
    for flag, program in context.refused_programs.items():
        assert program.process.wait(60) == code
        output = program.log_path.read_text(encoding="utf-8")
        assert f"{flag}: " in output and text in output, output
