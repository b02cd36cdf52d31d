"""Makes the disks of chosen folders refuse every write, as a full disk does."""

import errno
import os
from contextlib import ExitStack
from unittest.mock import patch

from plantainstage._storage.files import SystemFiles


class FullDisks:
    """Folders whose disk is full, or takes no new file, until it has room again."""

    def __init__(self, resources: ExitStack):
        self.full = set()
        self.without_new_files = set()
        self.refusals = 0
        for name in ("write", "create", "open_append", "truncate", "make_folder"):
            original = getattr(SystemFiles, name)
            checked = self._checked(name, original)
            resources.enter_context(patch.object(SystemFiles, name, checked))

    def _checked(self, name, original):
        def call(files, target, *arguments):
            path = os.readlink(f"/proc/self/fd/{target}") if name == "write" else target
            self._refuse(path, self.full)
            if name == "create":
                self._refuse(path, self.without_new_files)
            return original(files, target, *arguments)

        return call

    def _refuse(self, path, folders):
        if any(str(path).startswith(folder) for folder in folders):
            self.refusals += 1
            raise OSError(errno.ENOSPC, "no space left on device")

    def clear(self):
        """Gives all disks room again."""
        self.full.clear()
        self.without_new_files.clear()
