"""Steps for the quarantine table, its replicated state and its operators."""

from behave import given, then, when

from plantainstage._limits.quarantine import QuarantineTable
from plantainstage._limits.quarantine_times import fingerprint_of
from plantainstage._membership import commands
from plantainstage._membership.machine import MembershipMachine
from plantainstage._membership.quarantines import next_expiry_ms
from plantainstage._messages import control
from plantainstage._messages.configuration import LiftedQuarantine
from support.control_processes import ControlProcesses
from support.processes import wait_until

FINGERPRINT = fingerprint_of(b"ditch-turns", b'"whose turn"')


@given("an empty quarantine table")
def make_table(context):
    context.quarantines = QuarantineTable()


@when('searcher "{name}" of partition "{partition}" resets the query at {now:g} s')
def reset_query(context, name, partition, now):
    context.quarantines.record_reset(
        fingerprint=FINGERPRINT, upstream_id=name, partition=partition, now=now
    )


@when('partition "{partition}" answers the query')
def answer_query(context, partition):
    context.quarantines.record_answer(FINGERPRINT, partition)


@then("the query is quarantined at {now:g} s")
def check_quarantined(context, now):
    assert context.quarantines.is_quarantined(FINGERPRINT, now)


@then("the query is not quarantined at {now:g} s")
def check_not_quarantined(context, now):
    assert not context.quarantines.is_quarantined(FINGERPRINT, now)


@when("a configuration lists its lift in version {version:d} at {now:g} s")
def apply_lift(context, version, now):
    lifted = LiftedQuarantine(
        fingerprint=FINGERPRINT, version=version, expires_ms=600_000
    )
    context.quarantines.apply_lifted((lifted,), now=now)


# ---- Replicated state ---------------------------------------------------------


def apply_command(context, command):
    context.index += 1
    data = commands.encode_command(command)
    return context.machine.apply(index=context.index, command=data)


@given("a replicated state with two quarantines until 600 s, one of them lifted")
def make_state(context):
    context.machine = MembershipMachine()
    context.index = 0
    for name in ("kept", "lifted"):
        add = commands.AddQuarantine(
            fingerprint=name,
            expires_ms=600_000,
            index="ditch-turns",
            since_ms=1,
            searchers=("p1-1", "p1-2"),
        )
        apply_command(context, add)
    body = control.LiftQuarantine(fingerprint="lifted")
    change = control.Change(number=1, operator="ada", body=body)
    reply = apply_command(context, commands.ApplyChange(change=change))
    assert reply.verdict.kind is control.VerdictKind.ACCEPTED, reply


@when("the state is restored from its snapshot")
def restore_state(context):
    context.before = context.machine.configuration()
    snapshot = context.machine.take_snapshot()
    context.machine = MembershipMachine()
    context.machine.restore(snapshot=snapshot)


@then("its configuration is as before, with one quarantine and one lift")
def check_restored(context):
    after = context.machine.configuration()
    assert after == context.before, after
    assert [item.fingerprint for item in after.quarantines] == ["kept"], after
    assert after.quarantines[0].searchers == ("p1-1", "p1-2"), after
    assert [item.fingerprint for item in after.lifted] == ["lifted"], after


@when("the quarantines that end by 600 s are dropped")
def drop_ended(context):
    state = context.machine.state
    assert next_expiry_ms(state) == 600_000
    apply_command(context, commands.ExpireQuarantines(now_ms=600_000))


@then("its configuration has no quarantine and no lift")
def check_dropped(context):
    after = context.machine.configuration()
    assert (after.quarantines, after.lifted) == ((), ()), after


# ---- Operators ----------------------------------------------------------------


def run_ctl(context, *arguments):
    group = ControlProcesses(context.resources)
    group.control_addresses = context.tier.control_addresses
    return group.ctl("quarantine", *arguments)


def listed(context):
    code, body = run_ctl(context, "list")
    assert code == 0, body
    return body["quarantines"]


@then("the operator finds the fingerprint of the refusals with index and searchers")
def find_fingerprint(context):
    wait_until(lambda: listed(context), what="the quarantine is recorded")
    (item,) = listed(context)
    context.fingerprint = item["fingerprint"]
    status, refusal = context.resends[-1]
    assert status == 422 and context.fingerprint in refusal["message"], refusal
    assert item["index"] == "ditch-turns", item
    assert item["since_ms"] < item["expires_ms"], item
    crashed = {r["upstream_id"] for r in context.tier.records() if r["crashes"]}
    assert item["searchers"] and set(item["searchers"]) <= crashed, (item, crashed)


@when("the operator lifts the quarantine")
def lift(context):
    context.code, context.report = run_ctl(context, "lift", context.fingerprint)


@then("it is in force everywhere and no fingerprint is listed")
def check_lifted(context):
    outcome = (context.code, context.report["outcome"])
    assert outcome == (0, "in_force"), context.report
    assert listed(context) == []


@then("every entry host accepts the query until {count:d} more searcher has crashed")
def check_accepted(context, count):
    tier = context.tier
    tier.wait_until_full("rider-gate")
    before = sum(record["crashes"] for record in tier.records())
    body = {
        "profile": "rider-gate",
        "query": {"crash": True, "only": "rider-desk-01"},
    }
    entries = range(len(tier.entry_addresses))
    context.resends = [tier.query(body, entry) for entry in entries]
    first = context.resends[0][1]
    assert first["run"] != "not_run", first
    after = sum(record["crashes"] for record in tier.records())
    assert after == before + count, (before, after)
