"""The file operations that the storage uses.

Tests pass another implementation to inject torn writes, a full disk, a failed
sync or the loss of unsynced data.
"""

import fcntl
import os
from typing import Protocol


class FileOperations(Protocol):
    """Paths are strings; handles are opaque. All calls may raise OSError."""

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
    """The operating system's files."""

    def make_folder(self, path):
        """Creates a folder and its parents; an existing one is fine."""
        os.makedirs(path, exist_ok=True)

    def list_folder(self, path):
        """Returns the names in a folder, sorted."""
        return sorted(os.listdir(path))

    def exists(self, path):
        """Whether the path exists."""
        return os.path.exists(path)

    def read(self, path):
        """Returns the whole content."""
        with open(path, "rb") as file:
            return file.read()

    def size(self, path):
        """Returns the size in bytes."""
        return os.path.getsize(path)

    def create(self, path):
        """Opens an empty file for writing; earlier content is dropped."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)

    def open_append(self, path):
        """Opens an existing file for appending."""
        return os.open(path, os.O_WRONLY | os.O_APPEND)

    def write(self, handle, data):
        """Writes all of ``data``."""
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, handle):
        """Makes the content and the size durable."""
        os.fdatasync(handle)

    def close(self, handle):
        """Closes a handle."""
        os.close(handle)

    def truncate(self, path, size):
        """Cuts a file off and makes that durable."""
        handle = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(handle, size)
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old, new):
        """Replaces ``new`` by ``old``."""
        os.replace(old, new)

    def remove(self, path):
        """Removes a file."""
        os.remove(path)

    def sync_folder(self, path):
        """Makes the names in a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path):
        """Locks a file; raises BlockingIOError if another process holds it."""
        handle = os.open(path, os.O_RDWR | os.O_CREAT, 0o640)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle

    def unlock(self, handle):
        """Ends a lock."""
        os.close(handle)
