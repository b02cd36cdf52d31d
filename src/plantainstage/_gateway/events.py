"""Event log on standard output: one JSON object per line.

Lines are buffered and passed to the writer in batches, so that a request does not
wake up the writer thread. The number of lines per second is limited. Lines about
ordinary requests are dropped before those about failed or late ones, and these before
those about the configuration; the next batch states the number of dropped lines.
"""

import asyncio
import time
from collections import Counter
from functools import partial

import msgspec

FLUSH_INTERVAL_S = 0.25
LINES_PER_SECOND = 200
# Above this share of the limit, ordinary lines are dropped.
ORDINARY_SHARE = 0.5
# Up to this multiple of the limit, lines of rare events are written all the same.
RARE_SHARE = 1.25

_encoder = msgspec.json.Encoder()


class EventLog:
    """Writes events as JSON lines with ``put``, a function that must not block.

    ``counts`` has the number of events by name, dropped lines included.
    """

    def __init__(self, *, program: str, host_id: str, put):
        self.program = program
        self.host_id = host_id
        self.put = put
        self.lines = []
        self.second = 0
        self.in_second = 0
        self.dropped = 0
        self.dropped_total = 0
        self.counts = Counter()
        self.timer = None
        self.loop = asyncio.get_running_loop()
        self.clock = time.monotonic

    def log_event(self, event: str, **fields):
        """Logs a change of known state, a lifecycle event or a failed request."""
        self._add(event, fields, LINES_PER_SECOND)

    def log_ordinary(self, event: str, **fields):
        """Logs an ordinary request; such lines are dropped first under load."""
        self._add(event, fields, LINES_PER_SECOND * ORDINARY_SHARE)

    def log_rare(self, event: str, **fields):
        """Logs an event that others must not keep out of the log, however many."""
        self._add(event, fields, LINES_PER_SECOND * RARE_SHARE)

    def log_threadsafe(self, event: str, **fields):
        """Logs an event from a thread other than the event loop's."""
        self.loop.call_soon_threadsafe(partial(self.log_event, event, **fields))

    def flush(self):
        """Passes the buffered lines to the writer."""
        self.timer = None
        if self.dropped:
            self.lines.append(self._encode("lines_dropped", {"count": self.dropped}))
            self.dropped = 0
        if self.lines:
            self.put("\n".join(self.lines))
            self.lines = []

    def _add(self, event, fields, limit):
        self.counts[event] += 1
        second = int(self.clock())
        if second != self.second:
            self.second, self.in_second = second, 0
        if self.in_second >= limit:
            self.dropped += 1
            self.dropped_total += 1
            return
        self.in_second += 1
        self.lines.append(self._encode(event, fields))
        if self.timer is None:
            self.timer = self.loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def _encode(self, event, fields):
        line = {
            "time": round(time.time(), 3),
            "event": event,
            "program": self.program,
            "host": self.host_id,
            **fields,
        }
        return _encoder.encode(line).decode()
