"""Tracks the connections of an owner to one searcher."""

from plantainstage._errors import check_invariant

AUXILIARY_CONNECTIONS = 1  # for cancellations and probes


class ConnectionTable:
    """Allocates connection ids, which the pool maps to sockets.

    An owner uses at most half of the searcher's connection cap, so that a new owner
    can connect while connections of a failed owner are still open. One connection
    of that half is reserved for cancellations and probes.
    """

    def __init__(self, *, cap):
        self.limit = max(cap // 2 - AUXILIARY_CONNECTIONS, 1)
        self.idle = []
        self.busy = set()
        self.last_id = 0

    @property
    def open_count(self):
        """Number of exchange connections that are open or being opened."""
        return len(self.idle) + len(self.busy)

    def can_acquire(self):
        """Whether an exchange could get a connection now."""
        return bool(self.idle) or len(self.busy) < self.limit

    def acquire(self):
        """Returns a connection id and whether the connection must be opened."""
        if self.idle:
            # The most recently used connection is the least likely to be silent.
            connection_id = self.idle.pop()
            self.busy.add(connection_id)
            return connection_id, False
        self.last_id += 1
        self.busy.add(self.last_id)
        check_invariant(
            self.open_count <= self.limit,
            invariant="connection_cap",
            detail=f"{self.open_count} connections, limit {self.limit}",
        )
        return self.last_id, True

    def release(self, connection_id, *, usable):
        """Releases a connection; one that is not usable is already closed."""
        self.busy.discard(connection_id)
        if usable:
            self.idle.append(connection_id)

    def close_idle(self):
        """Removes all idle connections and returns their ids."""
        closed, self.idle = self.idle, []
        return closed

    def remove_idle(self, connection_id):
        """Removes an idle connection that the searcher has closed."""
        if connection_id in self.idle:
            self.idle.remove(connection_id)
