"""Steps for the table of quarantined fingerprints."""

from behave import given, then, when

from plantainstage._limits.quarantine import QuarantineTable, fingerprint_of

FINGERPRINT = fingerprint_of("ditch-turns", b'"whose turn"')


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
