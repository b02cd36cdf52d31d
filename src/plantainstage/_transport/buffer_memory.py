"""Limits the memory for the replies that an entry host is receiving."""

# Together with the largest request that is being received, a fraction of the memory
# of the smallest hosts.
MAX_REPLY_BYTES = 32 * 1024 * 1024


class ReplyMemory:
    """The bytes of all replies that are being received; ``peak`` is their maximum.

    A searcher in trouble may send bytes without end. Each reply is limited, but many
    of them together could use up the memory of a small host.
    """

    def __init__(self, *, limit: int = MAX_REPLY_BYTES):
        self.limit = limit
        self.used = 0
        self.peak = 0

    def take(self, count: int) -> bool:
        """Adds bytes of a reply; false if they exceed the limit."""
        if self.used + count > self.limit:
            return False
        self.used += count
        self.peak = max(self.peak, self.used)
        return True

    def release(self, count: int):
        """Removes the bytes of a reply that has ended."""
        self.used -= count
