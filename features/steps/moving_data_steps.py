"""Steps for snapshot roll-outs, moving partitions and lost data centres."""

import sys
import threading

from behave import given, then, when

from support.processes import ROOT, wait_until
from support.tier import Tier

sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "examples")]

from standin.deployments import KOGI, manifest_of  # noqa: E402
from support.checked_callers import CheckedCallers, send, violations  # noqa: E402

REPLIES_PER_STATE = 6  # so that queries are answered in each state of a change


def manifests_of(context):
    """Returns the documents of each partition in both snapshots."""
    first = manifest_of(KOGI, context.partitions)
    return {"s1": first, "s2": {name: 2 * count for name, count in first.items()}}


def start_callers(context, profile):
    context.callers = CheckedCallers(
        context.resources, tier=context.tier, profile=profile
    )
    context.callers.wait_for_more(REPLIES_PER_STATE)
    context.entries = set(range(len(context.tier.entry_addresses)))


def order_each(context, condition, **order):
    """Sends an order to one searcher after another, with queries in between."""
    for record in context.tier.records():
        upstream_id = record["upstream_id"]
        context.tier.order(upstream_ids=[upstream_id], **order)
        context.tier.wait_until_announced(upstream_id, condition)
        context.callers.wait_for_more(REPLIES_PER_STATE)


def hold(context, upstream_id, partitions):
    context.tier.order(
        upstream_ids=[upstream_id],
        hold={"snapshot": "s1", "partitions": partitions},
    )
    context.tier.wait_until_announced(
        upstream_id, lambda holdings: set(holdings["s1"]) == set(partitions)
    )


def holders(context, partition, data_centre_process=None):
    records = context.tier.records()
    if data_centre_process is not None:
        records = context.tier.records_of(data_centre_process)
    return [item["upstream_id"] for item in records if item["partition"] == partition]


# ---- Snapshot roll-out -----------------------------------------------------------


@when(
    'callers query under "{profile}" while one searcher after the other takes snapshot "{snapshot}"'
)
def take_snapshot(context, profile, snapshot):
    start_callers(context, profile)
    manifest = manifests_of(context)[snapshot]
    order_each(
        context,
        lambda holdings: snapshot in holdings,
        take={"snapshot": snapshot, "sequence": 2, "manifest": manifest},
    )


@when('every caller has an answer from "{snapshot}"')
def wait_for_snapshot(context, snapshot):
    context.callers.wait_for_each(
        lambda body: body["snapshot"] == snapshot,
        entries=context.entries,
        what=f"answers from {snapshot}",
    )


@when('one searcher after the other drops "{snapshot}"')
def drop_snapshot(context, snapshot):
    order_each(context, lambda holdings: snapshot not in holdings, drop=snapshot)


@then(
    'every query was answered in full, some from "{old}" and the last ones from "{new}"'
)
def check_all_full(context, old, new):
    attempts = context.callers.attempts
    assert all(item.status == 200 for item in attempts), [
        item.body for item in attempts if item.status != 200
    ]
    assert not any(item.body["coverage"]["partitions_missing"] for item in attempts)
    snapshots = [item.body["snapshot"] for item in attempts]
    assert old in snapshots
    assert set(snapshots[-REPLIES_PER_STATE:]) == {new}, snapshots[-REPLIES_PER_STATE:]


# ---- Moving partitions -----------------------------------------------------------


@when('callers query under "{profile}" while every searcher of "{partition}" drops it')
def drop_partition(context, profile, partition):
    start_callers(context, profile)
    for upstream_id in holders(context, partition):
        hold(context, upstream_id, [])
        context.callers.wait_for_more(REPLIES_PER_STATE)


@when('the searcher "{upstream_id}" takes "{partition}" as well')
def take_partition(context, upstream_id, partition):
    own = upstream_id.rpartition("-")[0]
    hold(context, upstream_id, [own, partition])


@when('every caller has an answer without "{partition}"')
def wait_for_missing(context, partition):
    context.callers.wait_for_each(
        lambda body: body["coverage"]["partitions_missing"] == [partition],
        entries=context.entries,
        what=f"answers without {partition}",
    )


@when('every caller has an answer with "{partition}"')
def wait_for_partition(context, partition):
    context.callers.wait_for_each(
        lambda body: partition in body["hits"],
        entries=context.entries,
        what=f"answers with {partition}",
    )


@then('the last hits for "{partition}" are from "{upstream_id}"')
def check_holder(context, partition, upstream_id):
    hits = [
        item.body["hits"][partition]
        for item in context.callers.answers()
        if partition in item.body["hits"]
    ]
    assert [hit["searcher"] for hit in hits[-1]] == [upstream_id], hits[-1]


# ---- A lost data centre ----------------------------------------------------------


@given(
    "an entry tier over 3 data centres with {partitions:d} partitions of 3 searchers"
)
def start_data_centres(context, partitions):
    tier = context.tier = Tier(context.resources)
    context.partitions = partitions
    tier.start_control()
    for number, centre in enumerate(KOGI.data_centres, start=1):
        tier.start_entry(f"entry-{number}", data_centre=centre)
    for centre in KOGI.data_centres:
        tier.start_standins(
            *("--partitions", partitions, "--data-centre", centre),
            count=partitions,
            name=centre,
        )
    tier.wait_until_ready()


@given('only searchers of "{centre}" hold "{partition}"')
def hold_in_one(context, centre, partition):
    for other in set(KOGI.data_centres) - {centre}:
        for upstream_id in holders(context, partition, other):
            hold(context, upstream_id, [])


@given(
    'a query of {sleep_ms:d} ms under "{profile}" that runs on every partition through entry host {entry:d}'
)
def start_long_query(context, sleep_ms, profile, entry):
    context.long = []
    address = context.tier.entry_addresses[entry - 1]

    def run():
        context.long.append(
            send(
                address,
                entry=entry - 1,
                token="long",
                profile=profile,
                query={"sleep_ms": sleep_ms},
            )
        )

    context.thread = threading.Thread(target=run, daemon=True)
    context.thread.start()

    def runs_everywhere():
        running = [
            item["partition"]
            for item in context.tier.records()
            if "long" in item["running"]
        ]
        return len(set(running)) == context.partitions

    wait_until(runs_everywhere, what="the query runs on every partition")


@when('all processes of "{centre}" are killed while callers query under "{profile}"')
def kill_data_centre(context, centre, profile):
    start_callers(context, profile)
    number = KOGI.data_centres.index(centre)
    context.tier.kill(f"entry-{number + 1}", centre)
    context.entries.discard(number)


@when('every caller of another host has an answer without "{partition}"')
def wait_for_others(context, partition):
    wait_for_missing(context, partition)


@then('the running query was refused as "{run}"')
def check_long_query(context, run):
    context.thread.join()
    (attempt,) = context.long
    assert attempt.status != 200 and attempt.body["run"] == run, attempt
    context.callers.attempts.append(attempt)


@then(
    'new queries under "{profile}" are refused as "{run}" once control knows of the loss'
)
def check_new_queries(context, profile, run):
    sent = context.callers.attempts

    def refused(entry):
        attempt = send(
            context.tier.entry_addresses[entry],
            entry=entry,
            token=f"new-{len(sent)}",
            profile=profile,
        )
        sent.append(attempt)
        assert attempt.status != 200, attempt
        return attempt.body["run"] == run

    context.callers.stop()
    for entry in sorted(context.entries):
        wait_until(lambda entry=entry: refused(entry), what=f"a refusal as {run}")


# ---- All -------------------------------------------------------------------------


@then(
    "every answer is for its own query, from one snapshot, with the coverage that the records show"
)
def check_all_answers(context):
    context.callers.stop()
    assert context.callers.answers()
    broken = violations(context.tier, context.callers.attempts, manifests_of(context))
    assert not broken, broken
