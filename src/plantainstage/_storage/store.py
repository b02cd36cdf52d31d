"""Durable state of one replica: identity, log segments and snapshot."""

import secrets
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from plantainstage._agreement.actions import (
    InstallSnapshot,
    SaveEntries,
    SaveHardState,
    SavePeer,
    StorageAction,
)
from plantainstage._agreement.core import DurableState
from plantainstage._errors import CorruptLogError, StorageFailedError
from plantainstage._messages.agreement import PeerRecord, Snapshot
from plantainstage._storage.files import FileOperations, SystemFiles
from plantainstage._storage.folder import (
    REPLACE_REMEDY,
    TEMPORARY_SUFFIX,
    open_folder,
    read_single_frame,
    storage_write_error,
    unreadable_path_error,
)
from plantainstage._storage.segments import (
    Batch,
    HardState,
    SegmentHeader,
    SegmentWriter,
    read_segments,
    segment_name,
    segment_numbers,
)

SNAPSHOT_NAME = "snapshot"
TOKEN_BYTES = 12


class SnapshotFile(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the snapshot file.

    ``first_segment`` is the first segment that is read after the snapshot; earlier
    ones are obsolete.
    """

    snapshot: Snapshot
    first_segment: int


_encoder = msgspec.msgpack.Encoder()
_snapshot_decoder = msgspec.msgpack.Decoder(SnapshotFile)


def random_token():
    """Returns a random token that identifies an incarnation or a process."""
    return secrets.token_hex(TOKEN_BYTES)


@dataclass(kw_only=True)
class _LogSize:
    """Entries and bytes of the log since the last snapshot."""

    entries: int = 0
    bytes: int = 0


class Store:
    """Stores the durable state of the core in one data folder.

    All calls block on the disk. After a StorageFailedError the store refuses all
    further writes, since the content after a failed sync is unknown. For example::

        store = Store(path="/var/lib/plantainstage", replica_id="control-1")
        core = Core(durable=store.durable, ...)
        store.persist([SaveHardState(term=3, vote=None)])
    """

    def __init__(
        self,
        *,
        path: str,
        replica_id: str,
        files: FileOperations | None = None,
        new_token=random_token,
    ):
        self.files = files or SystemFiles()
        self.failed = False
        self.peer_records = ()
        self.since_snapshot = _LogSize()
        self.folder = open_folder(
            path=path,
            replica_id=replica_id,
            files=self.files,
            new_incarnation=new_token,
        )
        try:
            self._load(new_token())
        except OSError as error:
            self.folder.close()
            raise unreadable_path_error(path, error) from error
        except BaseException:
            self.folder.close()
            raise

    @property
    def member_id(self):
        """The member id of the folder."""
        return self.folder.member_id

    @property
    def is_empty(self):
        """Whether the folder holds neither entries nor a snapshot."""
        return self.durable.snapshot is None and not self.durable.entries

    def persist(
        self,
        actions: Sequence[StorageAction],
        peer_records: Iterable[PeerRecord] = (),
    ):
        """Makes the actions durable in order.

        The actions between two snapshot installations share one sync. New
        ``peer_records`` are written with them, so that this replica still knows after a
        restart what the others have acknowledged.

        Raises StorageFailedError; then none of the actions may be acknowledged.
        """
        self._check_usable()
        self.peer_records = peer_records
        try:
            pending = []
            for action in actions:
                match action:
                    case InstallSnapshot(snapshot=snapshot):
                        self._write_batch(pending)
                        pending = []
                        self._install(snapshot)
                    case _:
                        pending.append(action)
            self._write_batch(pending)
        except StorageFailedError:
            self.failed = True
            raise

    def save_snapshot(self, snapshot: Snapshot):
        """Makes a snapshot durable and removes the segments that it covers."""
        self._check_usable()
        try:
            self._start_segment()
            needed = [
                n for n, high in self.highest_indices.items() if high > snapshot.index
            ]
            self._write_snapshot(snapshot, min([*needed, self.writer.number]))
        except StorageFailedError:
            self.failed = True
            raise
        self.since_snapshot = _LogSize()

    def close(self):
        """Closes the files and releases the lock."""
        self.writer.close()
        self.folder.close()

    def _check_usable(self):
        if self.failed:
            raise storage_write_error(self.folder.path, "an earlier write failed")

    # ---- Loading ------------------------------------------------------------------

    def _load(self, boot_nonce):
        snapshot, first_segment = self._read_snapshot()
        self._remove_stale_files(first_segment)
        content = read_segments(
            self.folder,
            first_segment=first_segment,
            start_index=snapshot.index if snapshot else 0,
        )
        self.hard_state = content.hard_state
        self.peers = content.peers
        self.highest_indices = content.highest_indices
        number = max(content.highest_indices, default=0)
        self.writer = SegmentWriter(folder=self.folder, number=number)
        if number == 0:
            self._start_segment()
        self.folder.seal()
        self.durable = DurableState(
            member_id=self.folder.member_id,
            boot=self.folder.identity.boot,
            boot_nonce=boot_nonce,
            term=content.hard_state.term,
            vote=content.hard_state.vote,
            snapshot=snapshot,
            entries=content.entries,
            peers=content.peers,
        )
        # Entries of earlier boots are included: a replica that restarts often must
        # still take snapshots and compact its log.
        self.since_snapshot = _LogSize(
            entries=len(content.entries),
            bytes=sum(
                self.files.size(self.folder.path_to(segment_name(number)))
                for number in self.highest_indices
            ),
        )

    def _read_snapshot(self):
        path = self.folder.path_to(SNAPSHOT_NAME)
        if not self.files.exists(path):
            return None, 1
        try:
            file = _snapshot_decoder.decode(read_single_frame(self.files, path))
        except msgspec.MsgspecError as error:
            raise CorruptLogError(
                path=path,
                detail=f"The snapshot cannot be decoded: {error}.",
                remedy=REPLACE_REMEDY,
            ) from error
        return file.snapshot, file.first_segment

    def _remove_stale_files(self, first_segment):
        """Removes files that a crash left in the middle of a replacement."""
        names = [
            name
            for name in self.files.list_folder(self.folder.path)
            if name.endswith(TEMPORARY_SUFFIX)
        ]
        old = [n for n in segment_numbers(self.folder) if n < first_segment]
        self._remove([*names, *map(segment_name, old)])

    # ---- Writing ------------------------------------------------------------------

    def _write_batch(self, actions):
        if not actions:
            return
        entries = ()
        hard_state = None
        peers = []
        for action in actions:
            match action:
                case SaveEntries(entries=new):
                    entries += new
                case SaveHardState(term=term, vote=vote):
                    hard_state = HardState(term=term, vote=vote)
                case SavePeer(record=record):
                    peers.append(record)
        self.hard_state = hard_state or self.hard_state
        # A record may occur twice in the batch; the later one is the newer.
        peers.extend(r for r in self.peer_records if self.peers.get(r.member_id) != r)
        for record in peers:
            self.peers[record.member_id] = record
        size = self.writer.append(Batch(entries, hard_state, tuple(peers)))
        self.since_snapshot.bytes += size
        self.since_snapshot.entries += len(entries)
        if entries:
            highest = max(entry.index for entry in entries)
            number = self.writer.number
            self.highest_indices[number] = max(self.highest_indices[number], highest)

    def _install(self, snapshot):
        self._start_segment()
        self._write_snapshot(snapshot, self.writer.number)
        self.since_snapshot = _LogSize()

    def _start_segment(self):
        number = self.writer.number + 1
        self.writer.create(
            SegmentHeader(
                number=number,
                hard_state=self.hard_state,
                peers=tuple(self.peers.values()),
            )
        )
        self.highest_indices[number] = 0

    def _write_snapshot(self, snapshot, first_segment):
        file = SnapshotFile(snapshot=snapshot, first_segment=first_segment)
        self.folder.replace(SNAPSHOT_NAME, _encoder.encode(file))
        # The snapshot file names the first segment in use. If the process crashes
        # before the removal, the next start removes the obsolete segments.
        old = [number for number in self.highest_indices if number < first_segment]
        for number in old:
            del self.highest_indices[number]
        self._remove(map(segment_name, old))

    def _remove(self, names):
        try:
            for name in names:
                self.files.remove(self.folder.path_to(name))
        except OSError as error:
            raise storage_write_error(self.folder.path, error) from error
