"""Steps for silent connections and slow searchers in a small tier."""

import time

from behave import given, then, when

# The router prefers the faster searcher, so on a busy machine many requests may be
# answered before one uses a silent connection.
MOST_REQUESTS = 1000


@when('all open connections of the searcher "{upstream_id}" go silent')
def silence_connections(context, upstream_id):
    assert context.tier.order(upstream_ids=[upstream_id], silence=-1) > 0


@when("non-idempotent requests are sent through all entry hosts until one is lost")
def send_until_lost(context):
    tier = context.tier
    context.answered = []
    for number in range(MOST_REQUESTS):
        body = {
            "profile": "turn-booking",
            "query": "book",
            "request_id": f"{time.time_ns() // 1_000_000}-silent-{number}",
            "idempotent": False,
        }
        started = time.monotonic()
        status, reply = tier.query(body, number % len(tier.entry_addresses))
        if status != 200:
            context.lost = (reply, time.monotonic() - started)
            return
        context.answered.append(reply)
    raise AssertionError("no request used a silent connection")


@then(
    'the lost request was refused with "{run}" before half of its {deadline_s:d} s had passed'
)
def check_early_unknown(context, run, deadline_s):
    # Detection takes a few hundred milliseconds; without it, the outcome would be
    # known only at the deadline.
    reply, elapsed_s = context.lost
    assert reply["run"] == run, reply
    assert elapsed_s < deadline_s / 2, elapsed_s


@then("every other request was answered and every host answers in full")
def check_answers_again(context):
    assert all(reply["coverage"]["fraction"] == 1.0 for reply in context.answered)
    context.tier.wait_until_full("turn-booking")
    assert sum(record["silenced"] for record in context.tier.records()) > 0


@when("every searcher needs {service_ms:d} ms for each query")
def slow_down(context, service_ms):
    context.tier.order(behaviour={"service_ms": service_ms})


@given("searchers that {offer} the status request")
def offer_status(context, offer):
    context.tier.order(behaviour={"offer_status": offer == "offer"})


@when("a non-idempotent query that takes {sleep_ms:d} ms is sent")
def send_long_query(context, sleep_ms):
    context.request_id = f"{time.time_ns() // 1_000_000}-long-query"
    body = {
        "profile": "turn-booking",
        "query": {"sleep_ms": sleep_ms},
        "request_id": context.request_id,
        "idempotent": False,
    }
    context.reply = context.tier.query(body)


@then("it was answered by its only run, after the searcher was asked about it")
def check_long_query(context):
    status, body = context.reply
    assert status == 200, body
    (run,) = context.tier.runs(context.request_id)
    assert run["outcome"] == "answered", run
    assert sum(item["status_requests"] for item in context.tier.records()) > 0


@then('every host still answers in full under "{profile}"')
def check_slow_answers(context, profile):
    context.tier.wait_until_full(profile)
