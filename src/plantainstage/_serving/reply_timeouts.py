"""How long to wait for a reply before the connection is given up."""

from dataclasses import dataclass, field

# Of the last round trip; the next one may well take longer.
MARGIN = 2.0
# The longest wait in multiples of the shortest one.
LONGEST = 4.0


@dataclass(kw_only=True)
class ReplyTimeout:
    """The time limit for the replies of one server, which follows its round trips.

    It starts with ``shortest_s``, so that a connection that has gone silent is soon
    replaced. A reply that is thrown away as late costs what is in it, and a fixed limit
    would throw away each reply of a server, a link or a process that stays slow. The
    limit therefore doubles with each failure, and stays above the last round trip::

        timeout = ReplyTimeout(shortest_s=0.8)
        timeout.record_failure()           # 1.6 s from now on
        timeout.record_reply(took_s=1.1)   # 2.2 s
        timeout.record_reply(took_s=0.01)  # 0.8 s again
    """

    shortest_s: float
    limit_s: float = field(init=False)

    def __post_init__(self):
        self.limit_s = self.shortest_s

    def record_reply(self, took_s: float):
        """Records a reply that came in time."""
        self._set(MARGIN * took_s)

    def record_failure(self):
        """Records that there was no reply in time."""
        self._set(2 * self.limit_s)

    def _set(self, limit_s):
        longest_s = LONGEST * self.shortest_s
        self.limit_s = min(max(limit_s, self.shortest_s), longest_s)
