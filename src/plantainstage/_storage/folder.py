"""The data folder: its lock, its identity file and atomic file replacement."""

import os
from dataclasses import dataclass

import msgspec

from plantainstage._errors import (
    CorruptLogError,
    FolderInUseError,
    StorageError,
    StorageFailedError,
)
from plantainstage._messages.agreement import MemberId
from plantainstage._storage.files import FileOperations
from plantainstage._storage.frames import encode_frame, scan_frames

IDENTITY_NAME = "identity"
LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".new"
REPLACE_REMEDY = (
    "Move the folder away, start with an empty one and replace the replica: add "
    "the new incarnation as a learner, promote it, remove the old one."
)


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the identity file; ``boot`` counts the starts with this folder.

    ``sealed`` is set once the first log segment exists. A sealed folder without a
    log segment has lost its log.
    """

    replica_id: str
    incarnation: str
    boot: int
    sealed: bool = False


_encoder = msgspec.msgpack.Encoder()
_identity_decoder = msgspec.msgpack.Decoder(Identity)


def storage_write_error(path, error):
    """Returns the error for a failed write or sync, which stops the replica."""
    return StorageFailedError(
        path=path,
        detail=f"Writing failed: {error}. None of this write was acknowledged.",
        remedy="Free space or replace the disk, then start the replica again.",
    )


def unreadable_path_error(path, error):
    """Returns the error for a path that cannot be read."""
    return StorageError(
        path=path,
        detail=f"Reading failed: {error}.",
        remedy="Check the disk and the owner of the folder.",
    )


@dataclass(kw_only=True)
class Folder:
    """An opened and locked data folder."""

    path: str
    files: FileOperations
    lock: object
    identity: Identity

    @property
    def member_id(self):
        """The member id: replica id and incarnation of this folder."""
        return MemberId(
            replica_id=self.identity.replica_id,
            incarnation=self.identity.incarnation,
        )

    def seal(self):
        """Records durably that the folder contains a log."""
        if not self.identity.sealed:
            self.identity = msgspec.structs.replace(self.identity, sealed=True)
            self.replace(IDENTITY_NAME, _encoder.encode(self.identity))

    def path_to(self, name):
        """Returns the path of a file in the folder."""
        return os.path.join(self.path, name)

    def replace(self, name, payload):
        """Replaces a file atomically and durably by one frame with ``payload``."""
        write_atomically(self.files, self.path, name, encode_frame(payload))

    def close(self):
        """Releases the lock of the folder."""
        self.files.unlock(self.lock)


def write_atomically(files, folder, name, data):
    """Writes a file under a temporary name, syncs it and renames it durably."""
    path = os.path.join(folder, name)
    temporary = path + TEMPORARY_SUFFIX
    try:
        handle = files.create(temporary)
        try:
            files.write(handle, data)
            files.sync(handle)
        finally:
            files.close(handle)
        files.rename(temporary, path)
        files.sync_folder(folder)
    except OSError as error:
        raise storage_write_error(path, error) from error


def read_single_frame(files, path):
    """Returns the payload of a file that consists of one frame."""
    try:
        data = files.read(path)
    except OSError as error:
        raise unreadable_path_error(path, error) from error
    scan = scan_frames(data)
    if len(scan.payloads) != 1 or scan.end != len(data):
        raise CorruptLogError(
            path=path,
            detail="The file is damaged: it is not a single intact frame.",
            remedy=REPLACE_REMEDY,
        )
    return scan.payloads[0]


def open_folder(*, path, replica_id, files, new_incarnation) -> Folder:
    """Locks the folder and increments its boot counter durably.

    An empty folder gets a new identity, with the incarnation that
    ``new_incarnation`` returns. Raises FolderInUseError, StorageError or
    CorruptLogError.
    """
    try:
        if not files.exists(path):
            files.make_folder(path)
            files.sync_folder(os.path.dirname(os.path.abspath(path)))
        lock = files.lock(os.path.join(path, LOCK_NAME))
    except BlockingIOError as error:
        raise FolderInUseError(
            path=path,
            detail="Another process holds the lock of this folder.",
            remedy="Stop that process, or give each replica its own folder.",
        ) from error
    except OSError as error:
        raise storage_write_error(path, error) from error
    try:
        identity = _next_identity(path, replica_id, files, new_incarnation)
        data = encode_frame(_encoder.encode(identity))
        write_atomically(files, path, IDENTITY_NAME, data)
    except BaseException:
        files.unlock(lock)
        raise
    return Folder(path=path, files=files, lock=lock, identity=identity)


def _next_identity(path, replica_id, files, new_incarnation):
    try:
        listed = files.list_folder(path)
    except OSError as error:
        raise unreadable_path_error(path, error) from error
    names = {name for name in listed if not name.endswith(TEMPORARY_SUFFIX)}
    if IDENTITY_NAME not in names:
        if names - {LOCK_NAME}:
            raise CorruptLogError(
                path=path,
                detail="The folder contains files but no identity.",
                remedy=REPLACE_REMEDY,
            )
        return Identity(replica_id=replica_id, incarnation=new_incarnation(), boot=1)
    identity_path = os.path.join(path, IDENTITY_NAME)
    payload = read_single_frame(files, identity_path)
    identity = _identity_decoder.decode(payload)
    if identity.replica_id != replica_id:
        raise StorageError(
            path=path,
            detail=f"The folder belongs to replica {identity.replica_id!r}, "
            f"not to {replica_id!r}.",
            remedy="Give each replica its own folder and keep its id.",
        )
    return msgspec.structs.replace(identity, boot=identity.boot + 1)
