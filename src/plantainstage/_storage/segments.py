"""Log segments: append-only files of frames.

The first frame of a segment is its header. It repeats the hard state and the peers'
records, so that earlier segments can be removed. Each later frame holds what was
written between two syncs. Entries are replaced without truncating the file: on
reading, an entry replaces all earlier ones from its index on. After a crash during
a replacement the log therefore still ends with the old or with the new tail.
"""

from dataclasses import dataclass, field

import msgspec

from plantainstage._errors import CorruptLogError
from plantainstage._messages.agreement import Entry, MemberId, PeerRecord
from plantainstage._storage.folder import (
    REPLACE_REMEDY,
    Folder,
    storage_write_error,
    write_atomically,
)
from plantainstage._storage.frames import encode_frame, scan_frames

PREFIX = "log-"


class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """The current term and the vote in it."""

    term: int = 0
    vote: MemberId | None = None


class SegmentHeader(msgspec.Struct, frozen=True, kw_only=True):
    """The first frame of a segment."""

    number: int
    hard_state: HardState
    peers: tuple[PeerRecord, ...]


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The content of one frame after the header."""

    entries: tuple[Entry, ...] = ()
    hard_state: HardState | None = None
    peers: tuple[PeerRecord, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(SegmentHeader)
_batch_decoder = msgspec.msgpack.Decoder(Batch)


def segment_name(number):
    """Returns the file name of a segment; names sort by number."""
    return f"{PREFIX}{number:012d}"


def segment_numbers(folder: Folder):
    """Returns the numbers of the segments in the folder, in order."""
    names = folder.files.list_folder(folder.path)
    return [
        int(name.removeprefix(PREFIX))
        for name in names
        if name.startswith(PREFIX) and name.removeprefix(PREFIX).isdigit()
    ]


@dataclass(kw_only=True)
class LogContent:
    """The combined content of the segments after ``start_index``."""

    start_index: int
    hard_state: HardState = HardState()
    peers: dict[MemberId, PeerRecord] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    # Highest index in each segment. A snapshot of this or a later index allows the
    # removal of the segment.
    highest_indices: dict[int, int] = field(default_factory=dict)

    def add(self, number, batch: Batch):
        """Adds the content of one frame; returns false if an entry leaves a gap."""
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for record in batch.peers:
            self.peers[record.member_id] = record
        for entry in batch.entries:
            last = self.start_index + len(self.entries)
            if entry.index > last + 1:
                return False
            if entry.index > self.start_index:
                del self.entries[entry.index - self.start_index - 1 :]
                self.entries.append(entry)
            else:
                self.entries.clear()
            highest = self.highest_indices.get(number, 0)
            self.highest_indices[number] = max(highest, entry.index)
        return True


def read_segments(folder: Folder, *, first_segment, start_index) -> LogContent:
    """Reads the segments from ``first_segment`` on and truncates a torn tail.

    Raises CorruptLogError for damage that a crash cannot cause.
    """
    numbers = [n for n in segment_numbers(folder) if n >= first_segment]
    content = LogContent(start_index=start_index)
    if numbers != list(range(first_segment, first_segment + len(numbers))):
        raise _corrupt(folder, first_segment, "a segment is missing")
    if folder.identity.sealed and not numbers:
        raise _corrupt(folder, first_segment, "all segments are missing")
    for number in numbers:
        _read_segment(folder, number, content, is_last=number == numbers[-1])
    return content


def _read_segment(folder, number, content, *, is_last):
    path = folder.path_to(segment_name(number))
    try:
        data = folder.files.read(path)
    except OSError as error:
        raise _corrupt(folder, number, f"reading failed: {error}") from error
    scan = scan_frames(data)
    if scan.end != len(data):
        if not is_last or scan.intact_frame_follows:
            raise _corrupt(folder, number, f"damaged at byte {scan.end}")
        try:
            folder.files.truncate(path, scan.end)
        except OSError as error:
            raise storage_write_error(path, error) from error
    if not scan.payloads:
        # A segment is renamed to its name only after its header is synced.
        raise _corrupt(folder, number, "the header is damaged")
    try:
        header = _header_decoder.decode(scan.payloads[0])
        batches = [_batch_decoder.decode(payload) for payload in scan.payloads[1:]]
    except msgspec.MsgspecError as error:
        raise _corrupt(
            folder, number, f"the content cannot be decoded: {error}"
        ) from error
    if header.number != number:
        raise _corrupt(folder, number, f"its header is that of segment {header.number}")
    content.highest_indices.setdefault(number, 0)
    content.add(number, Batch((), header.hard_state, header.peers))
    for batch in batches:
        if not content.add(number, batch):
            raise _corrupt(folder, number, "entries are missing")


def _corrupt(folder, number, detail):
    return CorruptLogError(
        path=folder.path_to(segment_name(number)),
        detail=f"The log is damaged before its tail: {detail}.",
        remedy=REPLACE_REMEDY,
    )


class SegmentWriter:
    """Appends frames to the newest segment."""

    def __init__(self, *, folder: Folder, number: int):
        self.folder = folder
        self.number = number
        self.handle = None

    def create(self, header: SegmentHeader):
        """Creates a new segment with its header durably."""
        self.close()
        name = segment_name(header.number)
        data = encode_frame(_encoder.encode(header))
        write_atomically(self.folder.files, self.folder.path, name, data)
        self.number = header.number

    def append(self, batch: Batch):
        """Writes and syncs one frame; returns its size in bytes."""
        files = self.folder.files
        path = self.folder.path_to(segment_name(self.number))
        data = encode_frame(_encoder.encode(batch))
        try:
            if self.handle is None:
                self.handle = files.open_append(path)
            files.write(self.handle, data)
            files.sync(self.handle)
        except OSError as error:
            raise storage_write_error(path, error) from error
        return len(data)

    def close(self):
        """Closes the open segment, if any."""
        if self.handle is not None:
            self.folder.files.close(self.handle)
            self.handle = None
