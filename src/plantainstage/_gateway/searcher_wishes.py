"""What searchers state of themselves in their replies: that they leave, or a pause."""

from collections.abc import Callable

from plantainstage._gateway.messages import (
    STATUS_MISDIRECTED,
    STATUS_UNAVAILABLE,
    SearcherReply,
)
from plantainstage._serving.searcher_pauses import SearcherPauses
from plantainstage._serving.searchers import Searcher

LEAVING = "1"
MAX_LOGGED_CHARACTERS = 40


class SearcherWishes:
    """Reads replies and keeps what they state; unreadable values change nothing.

    ``log_event(event, **fields)`` gets what is new.
    """

    def __init__(self, *, log_event: Callable):
        self.log_event = log_event
        self.pauses = SearcherPauses()
        self.unreadable = {}  # start -> the last such value

    @property
    def is_empty(self) -> bool:
        """Whether no searcher has stated anything that may still hold."""
        return self.pauses.is_empty

    def wait_s(self, searcher: Searcher, now: float) -> float:
        """Returns how long the searcher wants no requests; infinity if it leaves."""
        if self.pauses.is_empty:
            return 0.0
        return self.pauses.wait_s(searcher.start, now)

    def record_reply(self, searcher: Searcher, reply: SearcherReply, *, now: float):
        """Learns from a reply of this start of the searcher."""
        if reply.status == STATUS_MISDIRECTED:
            return
        if reply.leaving is not None:
            self._record_leaving(searcher, reply.leaving)
        if reply.status == STATUS_UNAVAILABLE and reply.retry_after is not None:
            self._record_pause(searcher, reply.retry_after, now)

    def removed(self, searcher: Searcher, now: float):
        """Forgets what no longer matters of a searcher that is not known any more.

        That it leaves is kept, since a replica may report it as ready again, and so is
        a pause that has not ended.
        """
        self.unreadable.pop(searcher.start, None)
        if not self.pauses.wait_s(searcher.start, now):
            self.pauses.forget_pause(searcher.start)

    def _record_leaving(self, searcher, text):
        values = {value.strip() for value in text.split(",")}
        if values != {LEAVING}:
            self._log_unreadable(searcher, text)
        elif self.pauses.record_leaving(searcher.start):
            self._log("searcher_leaves", searcher, state="stated in a reply")

    def _record_pause(self, searcher, stated, now):
        if stated.value is None:
            self._log_unreadable(searcher, stated.text)
            return
        is_new = not self.pauses.wait_s(searcher.start, now)
        pause_s = self.pauses.record_pause(searcher.start, stated.value, now)
        if is_new and pause_s:
            self._log("searcher_paused", searcher, pause_s=pause_s)

    def _log_unreadable(self, searcher, text):
        if self.unreadable.get(searcher.start) != text:
            self.unreadable[searcher.start] = text
            value = text[:MAX_LOGGED_CHARACTERS]
            self._log("searcher_statement_unreadable", searcher, value=value)

    def _log(self, event, searcher, **fields):
        self.log_event(
            event, searcher=searcher.searcher_id, service=searcher.service, **fields
        )
