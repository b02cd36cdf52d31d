"""Steps for statuses that promise that a request has not run."""

from unittest import mock

from behave import then, when

from plantainstage._gateway import ingress
from plantainstage._gateway.relay_headers import RELAY_NOT_RUN, RELAY_REFUSED
from steps.cut_off_steps import KINDS, send
from steps.invalid_status_steps import SIGNATURES, answer_with, replace_helpers
from support.routed_tier import reject, reply_head, sized

HOST_HEADERS = {RELAY_NOT_RUN.lower(), RELAY_REFUSED.lower()}


async def refuse_as_helper(helper, request, writer):
    extra = [f"{RELAY_NOT_RUN}: 1", "Retry-After: 0.150"]
    head = reply_head(helper, request, status="503 Busy", extra=extra)
    writer.write(head + sized(b""))


@when("all helpers of host 1 refuse requests and vouch for it")
def step_helpers_refuse(context):
    replace_helpers(context, len(context.hosts) - 1, refuse_as_helper)


@when('all searchers reply with status "{status}"')
def step_all_reply(context, status):
    for searcher in context.tier.searchers.values():
        searcher.behave = answer_with(f'status "{status}"')


@when("each searcher rejects requests")
def step_all_reject(context):
    for searcher in context.tier.searchers.values():
        searcher.behave = reject


@then("the caller is not told when to retry")
def step_no_retry_after(context):
    assert "retry-after" not in context.reply.headers, context.reply


@then(
    "the host has logged {status:d} for it, and {received:d} as the status it received"
)
def step_logged(context, status, received):
    def lines():
        return [line for line in context.tier.events if line["event"] == "request"]

    context.tier.wait_for(lines, "the line of the request")
    line = lines()[-1]
    assert (line["status"], line["received_status"]) == (status, received), line


@then("requests of each kind to host 1 get {status:d} without headers between hosts")
def step_each_kind(context, status):
    assert_statuses(context, KINDS, status)


@then("requests to one service at host 1 get {status:d} without headers between hosts")
def step_one_service(context, status):
    assert_statuses(context, KINDS[:2], status)


@then("each of them counts as run, for the quota of its account")
def step_counts_as_run(context):
    assert len(context.started) == len(KINDS), context.started
    assert not any(request.is_untouched for request in context.started)


def assert_statuses(context, kinds, status):
    host = context.hosts[0]
    context.started = []

    def start(**arguments):
        context.started.append(start_request(**arguments))
        return context.started[-1]

    start_request = ingress.start_request
    context.resources.enter_context(mock.patch.object(ingress, "start_request", start))
    for kind in kinds:
        host.router.helpers.hosts.avoided_until.clear()
        reply = context.tier.run(send(context, host, kind))
        assert reply.status == status, (kind, reply)
        assert not HOST_HEADERS & reply.headers.keys(), (kind, reply)
        assert (status == 503) == ("retry-after" in reply.headers), (kind, reply)
        if status != 503:
            assert not SIGNATURES & reply.headers.keys(), (kind, reply)
