"""Steps for unexpected errors in the work of a request."""

import asyncio
import re
from unittest import mock

from behave import given, then, when

from plantainstage._gateway import (
    gather_request,
    messages,
    routed_request,
    single_request,
)
from plantainstage._gateway.service_request import ServiceRequest
from plantainstage._serving.searchers import Searcher
from support.routed_tier import NAMES, CallerReply, read_message, until

SERVICE_OF_LAST_SHARD = -1


class InjectedError(Exception):
    """Stands for a fault of the program."""


def fail(*arguments, **named):
    raise InjectedError


def fail_after(function):
    """Returns a function that does its work and then fails."""

    def do_and_fail(*arguments, **named):
        function(*arguments, **named)
        raise InjectedError

    return do_and_fail


def fail_for(service, function):
    """Returns the method of a part, which fails for one service."""

    def fail_or_do(part, *arguments, **named):
        if part.service == service:
            raise InjectedError
        return function(part, *arguments, **named)

    return fail_or_do


def broken_headers(reply, names):
    headers = messages.reply_headers(reply, names)
    headers._dict["X-Broken"] = "a\nb"
    return headers


def patch_of(context, step):
    fleet = context.gateway.router.fleet
    match step:
        case "the construction of requests":
            return mock.patch.object(routed_request, "request_head", fail)
        case "the first step of a request":
            return mock.patch.object(context.gateway.router, "next_service", fail)
        case "the choice of a searcher":
            return mock.patch.object(fleet, "choose", fail)
        case "a send that may have happened":
            return mock.patch.object(fleet, "send", fail_after(fleet.send))
        case "the handling of a reply":
            return mock.patch.object(
                single_request.SingleRequest, "_forward_reply", fail
            )
        case "the headers of an answer":
            return mock.patch.object(single_request, "reply_headers", broken_headers)
        case "the send to the last shard":
            shard = context.configuration["services"][SERVICE_OF_LAST_SHARD]["name"]
            return mock.patch.object(
                ServiceRequest, "_send", fail_for(shard, ServiceRequest._send)
            )
        case "the decision on the next step":
            return mock.patch.object(gather_request.gathering, "next_step", fail)
        case "the merge of the records":
            return mock.patch.object(gather_request, "greatest_records", fail)
    raise AssertionError(step)


@given("{step} fails unexpectedly")
def step_fails(context, step):
    context.fault = patch_of(context, step)
    context.fault.start()
    context.resources.callback(mock.patch.stopall)


@when("the fault is over")
def step_fault_over(context):
    context.fault.stop()


@when('{count:d} callers send GET "{target}" one after the other on one connection')
def step_send_on_one(context, count, target):
    async def ask():
        address = context.gateway.settings.listen
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        replies = []
        for number in range(count):
            request_id = f"on-one-{number}"
            writer.write(
                f"GET {target} HTTP/1.1\r\nHost: a.example\r\n"
                f"{NAMES.request_id}: {request_id}\r\n{NAMES.deadline}: 1500\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            line, headers, body = await read_message(reader)
            status = int(line.split(" ")[1])
            replies.append(CallerReply(status=status, headers=headers, body=body))
        writer.close()
        return replies

    for searcher in context.tier.searchers.values():
        searcher.received.clear()
    context.replies = context.tier.run(ask())


@then("each caller gets one of {statuses}, and none is refused that has run")
def step_statuses(context, statuses):
    allowed = {int(status) for status in re.findall("[0-9]+", statuses)}
    assert {reply.status for reply in context.replies} <= allowed, context.replies
    ran = [r for s in context.tier.searchers.values() for r in s.received]
    refused = [reply for reply in context.replies if reply.status == 503]
    assert not (refused and ran), (refused, ran)


@then("the host has counted and logged the errors")
def step_counted(context):
    counter = context.gateway.router.metrics.internal_errors
    assert counter._value.get() >= len(context.replies)
    context.tier.wait_for(
        lambda: any(
            event["event"] == "request_failed"
            and "InjectedError" in event["trace"]
            or event["event"] == "request_failed"
            and "X-Broken" in event["trace"]
            for event in context.tier.events
        ),
        "a log line with the trace",
    )


@when("two requests wait for room, of which the first one fails")
def step_two_wait(context):
    fleet = context.gateway.router.fleet

    async def ask_and_wait(number):
        work = context.tier.request(target="/read/x", request_id=f"wait-{number}")
        asked = asyncio.ensure_future(work)
        await until(lambda: len(fleet.waiting["cards"]) > number)
        return asked

    async def ask():
        with mock.patch.object(fleet, "choose", lambda *a, **n: None):
            asked = [await ask_and_wait(0), await ask_and_wait(1)]
        first = min(fleet.waiting["cards"])[2].__self__
        with mock.patch.object(first, "_remaining_s", fail):
            fleet.retry_waiting("cards")
        return await asyncio.gather(*asked)

    context.replies = context.tier.run(ask())


@then("the second one is answered once there is room")
def step_second_answered(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [503, 200], statuses


@when("a replica reports three searchers, of which the host cannot apply the second")
def step_report_three(context):
    registry = next(iter(context.tier.registries.values()))[0]
    fleet = context.gateway.router.fleet

    def update(searcher, known=fleet.update_searcher):
        if searcher.searcher_id == "n-2":
            raise InjectedError
        known(searcher)

    context.resources.enter_context(mock.patch.object(fleet, "update_searcher", update))
    now = context.tier.loop.time()
    for number in (1, 2, 3):
        searcher = Searcher(
            searcher_id=f"n-{number}",
            service="cards",
            address=f"127.0.0.1:{number}",
            data_centre="dc-1",
            slots=2,
        )
        registry.register.record_announcement(searcher, now)


@then("the host knows the other two and has logged the one")
def step_two_known(context):
    members = context.gateway.router.fleet.members
    context.tier.wait_for(lambda: {"n-1", "n-3"} <= members.keys(), "two searchers")
    assert "n-2" not in members
    context.tier.wait_for(
        lambda: any(
            event["event"] == "task_failed"
            and event["task"] == "searcher n-2"
            and "InjectedError" in event["trace"]
            for event in context.tier.events
        ),
        "a log line with the trace",
    )
