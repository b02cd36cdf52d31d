"""Whether an entry host reaches the searchers, from what became of its calls.

A host may be cut off from all searchers while callers and control reach it. Nothing
tells it so but calls without a reply: connections that are refused, reset or time out,
and requests that stay unanswered for far longer than usual. One searcher without a
reply is down; a host that gets no reply from any of several is cut off.
"""

from collections.abc import Iterable

# Fewer searchers without a reply may be down at the same time.
MIN_FAILED_STARTS = 3
# From the first failure without a reply since. While new connections are refused, those
# that are open may still work: several refusals in a moment are no cut.
MIN_NO_REPLY_S = 0.1
# A request counts as unanswered after this time, or after a multiple of its usual time.
SILENT_S = 0.4
SILENT_FACTOR = 3.0
# A searcher that failed is tried again after this time.
FAILURE_VALIDITY_S = 1.5


def silent_after_s(usual_s: float) -> float:
    """Returns after which time a request counts as unanswered."""
    return max(SILENT_S, SILENT_FACTOR * usual_s)


class SearcherReach:
    """Which starts of searchers gave no reply since the last reply of any of them.

    For example::

        reach.record_failure(("s-1", 1), now=1.0)
        reach.record_failure(("s-2", 1), now=1.0)
        reach.record_failure(("s-3", 1), now=1.2)
        reach.is_cut_off     # True until a searcher replies
    """

    def __init__(self):
        self.failed = {}  # start -> time of its last failure, until it replies
        self.failed_in_row = set()  # starts without a reply, since the last one of any
        self.unconnected = set()  # those of them that refused or reset connections
        self.first_failed_at = float("inf")  # of these
        self.last_reply_at = float("-inf")
        self.is_cut_off = False

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_certain(self) -> bool:
        """Whether a request tried here would fail, and not just be slow."""
        return self.is_cut_off and len(self.unconnected) >= MIN_FAILED_STARTS

    @property
    def is_clear(self) -> bool:
        """Whether no searcher has failed lately."""
        return not self.failed and not self.is_cut_off

    def reaches_any(self, starts: Iterable, now: float) -> bool:
        """Whether one of a service's starts may reply; true if none is known."""
        if self.is_cut_off:
            return False
        failed = [self._has_failed(start, now) for start in starts]
        return not failed or not all(failed)

    def is_silent(self, now: float) -> bool:
        """Whether no searcher has replied for a while, so that calls may hang."""
        return now - self.last_reply_at > SILENT_S

    def _has_failed(self, start, now):
        failed_at = self.failed.get(start)
        return failed_at is not None and now - failed_at < FAILURE_VALIDITY_S

    # ---- Events -------------------------------------------------------------------

    def record_reply(self, start, now: float) -> bool:
        """Records a reply; returns whether a cut has ended."""
        self.failed.pop(start, None)
        self.failed_in_row.clear()
        self.unconnected.clear()
        self.first_failed_at = float("inf")
        self.last_reply_at = now
        ended, self.is_cut_off = self.is_cut_off, False
        if ended:
            self.failed.clear()
        return ended

    def record_failure(self, start, now: float, *, connected: bool = False) -> bool:
        """Records a call without a reply; returns whether the host is now cut off.

        ``connected`` tells that its connection was open, so that it may be slow only.
        """
        self.failed[start] = now
        self.failed_in_row.add(start)
        self.first_failed_at = min(self.first_failed_at, now)
        if not connected:
            self.unconnected.add(start)
        return self._decide(now)

    def record_silence(self, starts: Iterable, now: float) -> bool:
        """Records searchers with unanswered requests; returns like record_failure."""
        for start in starts:
            self.failed[start] = now
            self.failed_in_row.add(start)
            self.first_failed_at = min(self.first_failed_at, now - SILENT_S)
        return self._decide(now)

    def forget(self, start):
        """Forgets a start that is no longer known."""
        self.failed.pop(start, None)
        self.failed_in_row.discard(start)
        self.unconnected.discard(start)

    def _decide(self, now):
        if self.is_cut_off or len(self.failed_in_row) < MIN_FAILED_STARTS:
            return False
        if now - self.first_failed_at < MIN_NO_REPLY_S:
            return False
        self.is_cut_off = True
        return True
