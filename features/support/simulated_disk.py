"""An in-memory disk that loses unsynced data in a crash and injects failures."""

import errno
from dataclasses import dataclass, field


class SimulatedCrash(BaseException):
    """The simulated machine crashed during a file operation."""


@dataclass(kw_only=True)
class FileContent:
    """The content of one file; bytes up to ``synced`` survive a crash."""

    data: bytearray = field(default_factory=bytearray)
    synced: int = 0


@dataclass(kw_only=True)
class DiskImage:
    """A copy of the durable content of a disk."""

    files: dict[str, bytes]


class SimulatedDisk:
    """Implements FileOperations with all paths in one flat namespace.

    When ``operations_until_crash`` operations have completed, the next one raises
    SimulatedCrash, possibly half done. ``fail_next`` names the operation ("write" or
    "sync") that raises an OSError with the code ``failure`` once.
    """

    def __init__(self, *, random_source):
        self.random = random_source
        self.names = {}
        self.durable_names = {}
        self.name_changes = []
        self.folders = set()
        self.locked = set()
        self.operations_until_crash = None
        self.fail_next = None
        self.failure = errno.ENOSPC
        self.writes = 0

    # ---- FileOperations -------------------------------------------------------

    def make_folder(self, path):
        self.folders.add(path)

    def list_folder(self, path):
        prefix = path + "/"
        return sorted(
            name.removeprefix(prefix) for name in self.names if name.startswith(prefix)
        )

    def exists(self, path):
        return path in self.names or path in self.folders

    def read(self, path):
        return bytes(self._content(path).data)

    def size(self, path):
        return len(self._content(path).data)

    def create(self, path):
        self._crash_if_due()
        self._change_name(path, FileContent())
        return self.names[path]

    def open_append(self, path):
        return self._content(path)

    def write(self, handle, data):
        self.writes += 1
        if self._crashes_now() or self.fail_next == "write":
            handle.data += data[: self.random.randrange(len(data) + 1)]
            self._fail_or_crash("write")
        handle.data += data

    def sync(self, handle):
        if self._crashes_now() or self.fail_next == "sync":
            self._fail_or_crash("sync")
        handle.synced = len(handle.data)

    def close(self, handle):
        pass

    def truncate(self, path, size):
        self._crash_if_due()
        content = self._content(path)
        del content.data[size:]
        content.synced = size

    def rename(self, old, new):
        self._crash_if_due()
        content = self._content(old)
        self._change_name(old, None)
        self._change_name(new, content)

    def remove(self, path):
        self._crash_if_due()
        self._content(path)
        self._change_name(path, None)

    def sync_folder(self, path):
        self._crash_if_due()
        self.durable_names = dict(self.names)
        self.name_changes = []

    def lock(self, path):
        if path in self.locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self.locked.add(path)
        return path

    def unlock(self, handle):
        self.locked.discard(handle)

    # ---- Faults ---------------------------------------------------------------

    def crash(self):
        """Drops unsynced changes; a random part survives, perhaps with a garbled byte."""
        kept = self.random.randrange(len(self.name_changes) + 1)
        names = dict(self.durable_names)
        for path, content in self.name_changes[:kept]:
            if content is None:
                names.pop(path, None)
            else:
                names[path] = content
        self.names = names
        for content in self.names.values():
            self._lose_unsynced(content)
        self.durable_names = dict(self.names)
        self.name_changes = []
        self.locked = set()
        self.operations_until_crash = None
        self.fail_next = None

    def image(self):
        """Returns a copy of the content that is durable now."""
        return DiskImage(
            files={
                path: bytes(content.data[: content.synced])
                for path, content in self.durable_names.items()
            }
        )

    def restore(self, image):
        """Replaces the whole content by that of an image."""
        self.names = {
            path: FileContent(data=bytearray(data), synced=len(data))
            for path, data in image.files.items()
        }
        self.durable_names = dict(self.names)
        self.name_changes = []
        self.locked = set()

    def _lose_unsynced(self, content):
        unsynced = len(content.data) - content.synced
        if unsynced:
            kept = self.random.randrange(unsynced + 1)
            del content.data[content.synced + kept :]
            if kept and self.random.random() < 0.5:
                position = content.synced + self.random.randrange(kept)
                content.data[position] ^= 0xFF
        content.synced = len(content.data)

    def _content(self, path):
        content = self.names.get(path)
        if content is None:
            raise FileNotFoundError(errno.ENOENT, "no such file", path)
        return content

    def _change_name(self, path, content):
        if content is None:
            self.names.pop(path, None)
        else:
            self.names[path] = content
        self.name_changes.append((path, content))

    def _crashes_now(self):
        if self.operations_until_crash is None:
            return False
        self.operations_until_crash -= 1
        return self.operations_until_crash < 0

    def _crash_if_due(self):
        if self._crashes_now():
            raise SimulatedCrash

    def _fail_or_crash(self, operation):
        if self.fail_next == operation:
            self.fail_next = None
            raise OSError(self.failure, f"injected failure of {operation}")
        raise SimulatedCrash
