"""Counts the connections that an owner keeps to one searcher."""

from plantainstage._errors import check_invariant

SIDE_CONNECTIONS = 1  # for cancellations and probes


class ConnectionTable:
    """Numbers the connections; the pool maps numbers to sockets.

    An owner uses at most half of the searcher's cap, so that a takeover fits
    beside connections that a dead owner left behind. One of them is kept for
    cancellations and probes.
    """

    def __init__(self, *, cap):
        self.limit = max(cap // 2 - SIDE_CONNECTIONS, 1)
        self.idle = []
        self.busy = set()
        self.last = 0

    @property
    def open_count(self):
        """Connections for exchanges that are open or being opened."""
        return len(self.idle) + len(self.busy)

    def can_acquire(self):
        """Whether an exchange could get a connection now."""
        return bool(self.idle) or len(self.busy) < self.limit

    def acquire(self):
        """Returns (connection id, whether it must be opened)."""
        if self.idle:
            # The one used last is the least likely to have gone silent.
            connection_id = self.idle.pop()
            self.busy.add(connection_id)
            return connection_id, False
        self.last += 1
        self.busy.add(self.last)
        check_invariant(
            self.open_count <= self.limit,
            invariant="connection_cap",
            detail=f"{self.open_count} connections, limit {self.limit}",
        )
        return self.last, True

    def release(self, connection_id, *, usable):
        """Ends the use of a connection; an unusable one has been closed."""
        self.busy.discard(connection_id)
        if usable:
            self.idle.append(connection_id)

    def close_idle(self):
        """Forgets all idle connections and returns their numbers."""
        closed, self.idle = self.idle, []
        return closed

    def forget(self, connection_id):
        """The other side closed an idle connection."""
        if connection_id in self.idle:
            self.idle.remove(connection_id)
