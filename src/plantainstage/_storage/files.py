"""File operations used by the storage.

Tests pass other implementations that inject torn writes, a full disk, failed syncs
or the loss of unsynced data.
"""

import contextlib
import fcntl
import os
from typing import Protocol

# The files have configurations with keys of client accounts.
FILE_MODE = 0o600
FOLDER_MODE = 0o700


def _restrict(handle):
    """Restricts a file of an earlier release, which groups could read, to its owner."""
    if os.fstat(handle).st_mode & 0o077:
        # The file of another owner can be written, but its mode cannot be changed.
        with contextlib.suppress(PermissionError):
            os.fchmod(handle, FILE_MODE)


class FileOperations(Protocol):
    """Interface of the file system.

    Paths are strings, handles are opaque, and every call may raise OSError.
    """

    def make_folder(self, path): ...
    def list_folder(self, path): ...
    def exists(self, path): ...
    def read(self, path): ...
    def size(self, path): ...
    def create(self, path): ...
    def open_append(self, path): ...
    def write(self, handle, data): ...
    def sync(self, handle): ...
    def close(self, handle): ...
    def truncate(self, path, size): ...
    def rename(self, old, new): ...
    def remove(self, path): ...
    def sync_folder(self, path): ...
    def lock(self, path): ...
    def unlock(self, handle): ...


class SystemFiles:
    """FileOperations on the operating system's files."""

    def make_folder(self, path):
        """Creates a folder for its owner only, and its parents, unless it exists."""
        os.makedirs(path, mode=FOLDER_MODE, exist_ok=True)

    def list_folder(self, path):
        """Returns the sorted names in a folder."""
        return sorted(os.listdir(path))

    def exists(self, path):
        return os.path.exists(path)

    def read(self, path):
        """Returns the content of a file."""
        with open(path, "rb") as file:
            return file.read()

    def size(self, path):
        """Returns the size of a file in bytes."""
        return os.path.getsize(path)

    def create(self, path):
        """Opens a new file for writing; truncates an existing one."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        _restrict(handle)
        return handle

    def open_append(self, path):
        """Opens an existing file for appending."""
        handle = os.open(path, os.O_WRONLY | os.O_APPEND)
        _restrict(handle)
        return handle

    def write(self, handle, data):
        """Writes all of ``data``, in several system calls if necessary."""
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, handle):
        """Makes the content and the size of a file durable."""
        os.fdatasync(handle)

    def close(self, handle):
        os.close(handle)

    def truncate(self, path, size):
        """Truncates a file durably."""
        handle = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(handle, size)
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old, new):
        """Renames ``old`` to ``new`` atomically; replaces an existing file."""
        os.replace(old, new)

    def remove(self, path):
        os.remove(path)

    def sync_folder(self, path):
        """Makes the directory entries of a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path):
        """Locks a file exclusively.

        Raises BlockingIOError if another process holds the lock.
        """
        handle = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle

    def unlock(self, handle):
        """Releases a lock."""
        os.close(handle)
