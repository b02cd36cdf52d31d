"""Steps for the durable storage of a control replica."""

import errno
import tempfile
from pathlib import Path

from behave import given, then, when

from plantainstage._agreement.actions import SaveEntries, SaveHardState
from plantainstage._messages.agreement import Entry, EntryKind, Membership, Snapshot
from plantainstage._storage.frames import HEADER_BYTES, encode_frame, scan_frames
from plantainstage._storage.store import Store
from plantainstage.errors import (
    CorruptLogError,
    FolderInUseError,
    StorageFailedError,
)
from support.faulty_files import FaultyFiles

ENTRIES_PER_BATCH = 3


def open_store(context):
    context.files = FaultyFiles()
    store = Store(path=str(context.folder), replica_id="control-1", files=context.files)
    context.resources.callback(store.close)
    return store


def reopen(context):
    context.resources.pop_all().close()
    context.store = open_store(context)
    return context.store.durable


def append_batch(context, number):
    first = (number - 1) * ENTRIES_PER_BATCH + 1
    entries = tuple(
        Entry(number, first + offset, EntryKind.COMMAND, b"command")
        for offset in range(ENTRIES_PER_BATCH)
    )
    actions = [
        SaveHardState(term=number, vote=None),
        SaveEntries(entries=entries),
    ]
    context.store.persist(actions)


def newest_segment(context):
    return sorted(context.folder.glob("log-*"))[-1]


def flip_byte(path, position):
    data = bytearray(path.read_bytes())
    data[position] ^= 0xFF
    path.write_bytes(data)


@given("a store with {count:d} synced batches of entries")
def store_with_batches(context, count):
    folder = tempfile.TemporaryDirectory(prefix="store-")
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name) / "data"
    context.store = open_store(context)
    context.batches = count
    for number in range(1, count + 1):
        append_batch(context, number)


@given("a snapshot of all of them")
def snapshot_of_all(context):
    context.snapshot = Snapshot(
        index=context.batches * ENTRIES_PER_BATCH,
        term=context.batches,
        membership=Membership(),
        data=b"state",
    )
    context.store.save_snapshot(context.snapshot)


@when("the process is killed while it writes a frame that ends {how}")
def kill_in_frame(context, how):
    frame = bytearray(encode_frame(b"x" * 40))
    match how:
        case "inside its header":
            del frame[HEADER_BYTES // 2 :]
        case "inside its body":
            del frame[-7:]
        case "with a garbled body":
            frame[-3] ^= 0xFF
    with open(newest_segment(context), "ab") as file:
        file.write(frame)


@when("{damage} is damaged")
def damage_file(context, damage):
    segment = newest_segment(context)
    payloads = scan_frames(segment.read_bytes()).payloads
    match damage:
        case "the second batch":
            before = sum(HEADER_BYTES + len(payload) for payload in payloads[:2])
            flip_byte(segment, before + HEADER_BYTES + 2)
        case "the segment's header":
            flip_byte(segment, HEADER_BYTES + 2)
        case "the identity":
            flip_byte(context.folder / "identity", HEADER_BYTES + 2)
        case "the snapshot":
            flip_byte(context.folder / "snapshot", HEADER_BYTES + 2)


@when("the segments are removed")
def remove_segments(context):
    for path in context.folder.glob("log-*"):
        path.unlink()


@when("a {operation} fails with {failure}")
def fail_operation(context, operation, failure):
    context.files.fail_next = operation
    context.files.failure = getattr(errno, failure)
    context.error = None
    try:
        append_batch(context, context.batches + 1)
    except StorageFailedError as error:
        context.error = error
    if operation == "sync":
        # After a failed sync the data may be lost; here it is removed.
        segment = newest_segment(context)
        scan = scan_frames(segment.read_bytes())
        data = segment.read_bytes()
        segment.write_bytes(data[: -len(scan.payloads[-1]) - HEADER_BYTES])


@then("the store raised StorageFailedError and refuses any further write")
def check_failed(context):
    assert context.error is not None and context.error.remedy
    try:
        append_batch(context, context.batches + 1)
    except StorageFailedError:
        return
    raise AssertionError("a write was accepted after a failure")


@then("the store opens with exactly the {count:d} synced batches")
def check_batches(context, count):
    durable = reopen(context)
    assert len(durable.entries) == count * ENTRIES_PER_BATCH, durable.entries
    assert durable.term == count
    assert durable.boot == 2


@then("another batch is appended and survives a restart")
def check_append(context):
    append_batch(context, context.batches + 1)
    durable = reopen(context)
    assert len(durable.entries) == (context.batches + 1) * ENTRIES_PER_BATCH


@then("the store refuses to open with CorruptLogError and a remedy")
def check_refused(context):
    try:
        reopen(context)
    except CorruptLogError as error:
        assert error.remedy and str(context.folder) in error.path
        return
    raise AssertionError("the damaged folder was opened")


@then("a second store on the same folder raises FolderInUseError")
def check_in_use(context):
    try:
        open_store(context)
    except FolderInUseError:
        return
    raise AssertionError("the folder was opened twice")


@then("the folder has one segment without entries")
def check_one_segment(context):
    segments = list(context.folder.glob("log-*"))
    assert len(segments) == 1, segments
    assert len(scan_frames(segments[0].read_bytes()).payloads) == 1


@then("the store opens with the snapshot and no entries")
def check_snapshot(context):
    durable = reopen(context)
    assert durable.snapshot == context.snapshot
    assert durable.entries == [] and durable.term == context.batches


@then("{count:d} entries and their bytes count since the last snapshot")
def check_since_snapshot(context, count):
    since = context.store.since_snapshot
    assert since.entries == count
    assert since.bytes >= count * len(b"command")
