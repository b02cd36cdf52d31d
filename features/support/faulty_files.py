"""Real files with injected failures."""

import errno

from plantainstage._storage.files import SystemFiles


class FaultyFiles(SystemFiles):
    """Fails the next write, after half of it, or the next sync with ``failure``."""

    def __init__(self):
        self.fail_next = None
        self.failure = errno.EIO

    def write(self, handle, data):
        if self.fail_next == "write":
            self.fail_next = None
            super().write(handle, data[: len(data) // 2])
            raise OSError(self.failure, "injected failure of a write")
        super().write(handle, data)

    def sync(self, handle):
        if self.fail_next == "sync":
            self.fail_next = None
            raise OSError(self.failure, "injected failure of a sync")
        super().sync(handle)
