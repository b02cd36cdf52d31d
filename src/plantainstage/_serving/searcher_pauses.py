"""Searchers that state in their replies that they leave, or want a pause.

What a searcher states holds for that start of it, whatever control reports: its own
reply is newer than an announcement that passed through a replica.
"""

import math
from collections import OrderedDict

# Of a stated pause; a searcher that states more by mistake is not lost for longer.
MAX_PAUSE_S = 60.0
# Starts that are remembered after they left; they are not announced for long.
MAX_LEAVING = 4096


class SearcherPauses:
    """Which starts get no requests of this host, and until when.

    For example::

        pauses.record_pause(start, seconds=2.0, now=10.0)
        pauses.wait_s(start, now=11.0)     # 1.0
    """

    def __init__(self):
        self.leaving = OrderedDict()  # start -> None, by first statement
        self.until = {}  # start -> end of its pause

    @property
    def is_empty(self) -> bool:
        """Whether no searcher has stated anything that may still hold."""
        return not self.leaving and not self.until

    def wait_s(self, start, now: float) -> float:
        """Returns how long the start gets no request: 0, or infinity if it leaves."""
        if start in self.leaving:
            return math.inf
        until = self.until.get(start)
        if until is None:
            return 0.0
        if now >= until:
            del self.until[start]
            return 0.0
        return until - now

    def record_leaving(self, start) -> bool:
        """Records that a start leaves; returns whether that is new."""
        if start in self.leaving:
            return False
        self.leaving[start] = None
        if len(self.leaving) > MAX_LEAVING:
            self.leaving.popitem(last=False)
        return True

    def record_pause(self, start, seconds: float, now: float) -> float:
        """Records a pause from now on; returns its length, which is bounded.

        A later statement replaces an earlier one only if it ends later: replies may
        arrive out of order.
        """
        pause_s = min(seconds, MAX_PAUSE_S)
        self.until = {
            known: until for known, until in self.until.items() if until > now
        }
        self.until[start] = max(now + pause_s, self.until.get(start, now))
        return pause_s

    def forget_pause(self, start):
        """Forgets the pause of a start that is no longer known."""
        self.until.pop(start, None)
