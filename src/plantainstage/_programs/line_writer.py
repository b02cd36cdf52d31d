"""Writes lines to a file descriptor without ever blocking the caller."""

import os
import threading
from collections import deque

MAX_PENDING_BYTES = 8 * 1024 * 1024
CLOSE_TIMEOUT_S = 1.0


class LineWriter:
    """Writes lines in a thread, so that a pipe that nobody reads blocks only it.

    Lines beyond MAX_PENDING_BYTES, and lines whose write fails, are lost. Their
    number is written before the next line that succeeds.
    """

    def __init__(self, *, descriptor: int):
        self.descriptor = descriptor
        self.pending = deque()
        self.pending_bytes = 0
        self.lost = 0
        self.closing = False
        self.closed = False  # nothing more may be written
        self.line_incomplete = False
        self.changed = threading.Condition()
        self.thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self.thread.start()

    def put(self, line: str):
        """Queues one line, given without a line terminator."""
        data = line.encode() + b"\n"
        with self.changed:
            if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
                self.lost += 1
                return
            self.pending.append(data)
            self.pending_bytes += len(data)
            self.changed.notify()

    def close(self, timeout_s=CLOSE_TIMEOUT_S):
        """Writes the pending lines, for at most ``timeout_s``.

        Lines that are left are lost: the owner may close the descriptor now, and its
        number may then belong to another file.
        """
        with self.changed:
            self.closing = True
            self.changed.notify()
        self.thread.join(timeout_s)
        with self.changed:
            self.closed = True

    def _run(self):
        while (data := self._next()) is not None:
            self._write_line(data)

    def _next(self):
        with self.changed:
            while not self.pending and not self.closing:
                self.changed.wait()
            if self.closed or not self.pending:
                return None
            data = self.pending.popleft()
            self.pending_bytes -= len(data)
            return data

    def _write_line(self, data):
        with self.changed:
            reported = self.lost
        if reported:
            data = b'{"event":"log lines lost","lost":%d}\n%b' % (reported, data)
        try:
            self._write_all(data)
        except OSError:
            with self.changed:
                self.lost += 1
            return
        with self.changed:
            self.lost -= reported

    def _write_all(self, data):
        if self.line_incomplete:
            # A failed write cut an earlier line; a new line must not be appended to it.
            data = b"\n" + data
        while data and not self.closed:
            written = os.write(self.descriptor, data)
            self.line_incomplete = written < len(data)
            data = data[written:]
