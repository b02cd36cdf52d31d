"""Steps for the policy that decides when a snapshot is due."""

from behave import then

from plantainstage._control.snapshot_policy import SnapshotPolicy

KIB = 1024


@then(
    "with {entries:d} entries and {log:d} KiB of log, {age:g} s after a snapshot of "
    "{size:d} KiB, one is {due}"
)
def check_due(context, entries, log, age, size, due):
    is_due = SnapshotPolicy().is_due(
        log_entries=entries,
        log_bytes=log * KIB,
        snapshot_bytes=size * KIB,
        age_s=age,
    )
    assert is_due == (due == "due")
