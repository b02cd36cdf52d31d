"""Steps for batches of claims, between an entry host and the control service."""

import asyncio

from behave import given, then, when

from plantainstage._entry.claim_batches import ClaimBatches
from plantainstage.messages import control
from support.direct_client import NOW_MS, DirectClient

TIMEOUT_S = 30.0
MEBIBYTE = 1024 * 1024
ANSWERED = control.ClaimOutcomeKind.ANSWERED


def claim(name, *, nonce="", digest="digest"):
    return control.ClaimRequest(
        request_id=f"{NOW_MS}-booking-{name}",
        nonce=nonce or f"nonce-{name}",
        digest=digest,
        entry_id="entry-1",
        incarnation="i1",
        deadline_ms=1000,
    )


def outcome(name, *, body=b"", kind=ANSWERED):
    return control.CompleteClaim(
        request_id=claim(name).request_id,
        attempt=1,
        outcome=control.ClaimOutcome(kind=kind, body=body),
    )


async def send(context, members):
    """Sends members together; returns their replies in the same order."""
    batches = context.batches
    calls = (batches.call(member, timeout_s=TIMEOUT_S) for member in members)
    return await asyncio.gather(*calls)


def answer_bytes(items):
    outcomes = (item.outcome for item in items if hasattr(item, "outcome"))
    return sum(len(item.body) for item in outcomes)


@given("an entry host's batches")
def make_batches(context):
    context.client = DirectClient()
    context.batches = ClaimBatches(client=context.client)


@given("an entry host's batches whose first reply is lost")
def make_lossy_batches(context):
    context.client = DirectClient(lost_replies=1)
    context.batches = ClaimBatches(client=context.client)


@given("a request that was answered and one whose outcome is unknown")
def make_finished(context):
    make_batches(context)
    unknown = control.ClaimOutcomeKind.UNKNOWN
    asyncio.run(send(context, [claim("answered"), claim("unknown1")]))
    members = [outcome("answered", body=b"{}"), outcome("unknown1", kind=unknown)]
    asyncio.run(send(context, members))


@when("3 claims are sent together and a fourth while their batch is in flight")
def send_with_late_claim(context):
    async def run():
        first = asyncio.ensure_future(
            send(context, [claim(f"first{n}") for n in "123"])
        )
        await context.client.request_handled.wait()
        last = asyncio.create_task(
            context.batches.call(claim("fourth01"), timeout_s=TIMEOUT_S)
        )
        await asyncio.sleep(0)  # lets the fourth claim join the queue
        context.client.drop_reply.set()
        return [*await first, await last]

    context.replies = asyncio.run(run())


@when("one batch has a new claim, resends of both, an id reused and an outcome")
def send_different(context):
    members = [
        claim("new00001"),
        claim("answered", nonce="resend"),
        claim("unknown1", nonce="resend"),
        claim("answered", digest="another"),
        outcome("new00001", kind=control.ClaimOutcomeKind.RUNNING),
        outcome("new00001", body=b"[]"),
    ]
    context.client.requests.clear()
    context.replies = asyncio.run(send(context, members))


@when("300 claims and then 5 outcomes of 400 KiB are sent together")
def send_many(context):
    claims = [claim(f"many-{number:03}") for number in range(300)]
    bodies = [bytes([number]) * (400 * 1024) for number in range(5)]
    outcomes = [outcome(f"many-{n:03}", body=body) for n, body in enumerate(bodies)]
    context.bodies = bodies
    granted = asyncio.run(send(context, claims))
    context.replies = [*granted, *asyncio.run(send(context, outcomes))]


@when("the 5 requests are sent again together")
def send_again(context):
    resends = [claim(f"many-{number:03}", nonce="resend") for number in range(5)]
    context.replies = asyncio.run(send(context, resends))


@then("the same message of 3 claims was sent twice and then one with the fourth")
def check_messages(context):
    first, second, third = context.client.requests
    assert first == second, (first, second)
    assert [len(first.members), len(third.members)] == [3, 1]


@then("every claim was granted as attempt 1 and is kept with one nonce")
def check_granted(context):
    assert context.replies == [control.ClaimGranted(attempt=1)] * 4, context.replies
    nonces = [record.nonces for record in context.client.state.claims.values()]
    assert len(nonces) == 4 and all(len(item) == 1 for item in nonces), nonces


@then("each member got the reply that it gets outside a batch")
def check_own_replies(context):
    assert len(context.client.requests) == 1, context.client.requests
    new, answered, unknown, reused, running, done = context.replies
    assert new == control.ClaimGranted(attempt=1), new
    assert answered.outcome == control.ClaimOutcome(kind=ANSWERED, body=b"{}")
    assert unknown.outcome.kind is control.ClaimOutcomeKind.UNKNOWN, unknown
    assert reused == control.ClaimRefused(code="request_id_reused"), reused
    assert running.code == "not_an_outcome", running
    assert isinstance(done, control.Done), done
    record = context.client.state.claims[claim("new00001").request_id]
    assert record.outcome.body == b"[]", record


@then("no message had more than 256 members or 1 MiB of answers")
def check_bounds(context):
    for request in context.client.requests:
        assert len(request.members) <= 256, len(request.members)
        assert answer_bytes(request.members) <= MEBIBYTE


@then("all of them got their replies")
def check_all_replies(context):
    granted, done = context.replies[:300], context.replies[300:]
    assert granted == [control.ClaimGranted(attempt=1)] * 300
    assert all(isinstance(reply, control.Done) for reply in done), done


@then("no reply had more than 1 MiB of answers")
def check_reply_bounds(context):
    for reply in context.client.replies:
        assert answer_bytes(reply.replies) <= MEBIBYTE


@then("each resend read its own answer")
def check_answers(context):
    assert [reply.outcome.body for reply in context.replies] == context.bodies
