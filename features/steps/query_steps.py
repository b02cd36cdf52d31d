"""Steps for callers' requests through real processes."""

import asyncio

from behave import given, then, when

from plantainstage._transport.rpc import ControlClient
from plantainstage.messages import configuration, control
from support.processes import wait_until
from support.tier import Tier


def submit(tier, body):
    """Submits a change with the next free number; returns the reply."""

    async def run():
        client = ControlClient(addresses=tuple(tier.control_addresses))
        try:
            number = await client.call(control.QueryNextNumber(), timeout_s=30)
            change = control.Change(number=number.number, operator="test", body=body)
            return await client.call(control.SubmitChange(change=change), timeout_s=30)
        finally:
            client.close()

    return asyncio.run(run())


@given(
    "a tier with {entries:d} entry host and {partitions:d} partitions of {replicas:d} searchers"
)  # noqa: E501
def start_tier(context, entries, partitions, replicas):
    context.tier = Tier(context.resources)
    context.tier.start_control()
    for number in range(entries):
        context.tier.start_entry(f"entry-{number + 1}")
    context.tier.wait_until_ready()
    context.tier.start_searchers(partitions=partitions, replicas=replicas)


@given('the profile "{name}" with a deadline of {deadline_ms:d} ms')
def publish_profile(context, name, deadline_ms):
    profile = configuration.Profile(
        name=name, index="ditch-turns", deadline_ms=deadline_ms
    )
    reply = submit(context.tier, control.PublishProfile(profile=profile))
    assert isinstance(reply, control.ChangeVerdict), reply


@when('a caller sends a query under "{profile}"')
def send_query(context, profile):
    def answered():
        status, context.body = context.tier.query({"profile": profile, "query": 1})
        return status == 200

    wait_until(answered, what="the query is answered")


@then("the answer names one snapshot and covers all {partitions:d} partitions")
def check_answer(context, partitions):
    assert context.body["snapshot"]
    assert len(context.body["hits"]) == partitions
    coverage = context.body["coverage"]
    assert coverage["documents_answered"] == coverage["documents_total"] > 0
