"""The recent state of a control replica, saved for the time right after a restart.

After a power loss of all machines the group first has to elect a leader, and
searchers announce themselves again only after a while. Until then entry hosts are
answered from this file: the last committed configuration, the searchers with their
known departures, and what is known of requests that end searchers. The file is only a
hint; the durable state is in the replica's log.
"""

import asyncio
import os
from concurrent.futures import ThreadPoolExecutor

import msgspec

from plantainstage._decoding import decode_bytes
from plantainstage._errors import StorageError
from plantainstage._registry.crash_register import SavedReport
from plantainstage._serving.evacuations import EvacuationState
from plantainstage._serving.searchers import Searcher
from plantainstage._storage.files import SystemFiles
from plantainstage._storage.folder import read_single_frame, write_atomically
from plantainstage._storage.frames import encode_frame

FILE_NAME = "recent"


class RecentState(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the file; version -1 means that there is no configuration.

    Releases before ``crashes`` and ``evacuations`` ignore these and write files without
    them.
    """

    version: int = -1
    document: bytes = b""
    searchers: tuple[Searcher, ...] = ()
    crashes: tuple[SavedReport, ...] = ()
    evacuations: EvacuationState = EvacuationState()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecentState)


class RecentFile:
    """Reads and writes the file in ``folder``, one write at a time.

    If a write fails or hangs, only the hint is lost; a failure is logged as an event.
    """

    def __init__(self, *, folder: str, events):
        self.folder = folder
        self.events = events
        self.files = SystemFiles()
        self.disk_thread = ThreadPoolExecutor(max_workers=1)
        self.writing = None

    def read(self) -> RecentState:
        """Returns the content, or an empty state if the file cannot be read."""
        path = os.path.join(self.folder, FILE_NAME)
        try:
            if not self.files.exists(self.folder):
                self.files.make_folder(self.folder)
            if not self.files.exists(path):
                return RecentState()
            return decode_bytes(_decoder, read_single_frame(self.files, path))
        except (StorageError, OSError, msgspec.MsgspecError) as error:
            self.events.log_event("recent_state_unreadable", reason=str(error)[:300])
            return RecentState()

    async def write(self, state: RecentState, *, timeout_s: float) -> bool:
        """Writes the content; returns whether it was durable within the time.

        Raises nothing, whatever fails: nobody's request depends on the hint.
        """
        loop = asyncio.get_running_loop()
        if self.writing is not None and not self.writing.done():
            await asyncio.wait([self.writing], timeout=timeout_s)
            if not self.writing.done():
                return False
        self.writing = loop.run_in_executor(self.disk_thread, self._write, state)
        await asyncio.wait([self.writing], timeout=timeout_s)
        return self.writing.done() and self.writing.result()

    def _write(self, state):
        try:
            data = encode_frame(_encoder.encode(state))
            write_atomically(self.files, self.folder, FILE_NAME, data)
        except Exception as error:
            self.events.log_threadsafe(
                "recent_state_unwritten",
                error=type(error).__name__,
                reason=str(error)[:300],
            )
            return False
        return True
