"""Limits the memory for what a program is receiving at the same time."""


class BufferMemory:
    """The bytes of all messages that are being received; ``peak`` is their maximum.

    A sender in trouble may send bytes without end. Each message is limited, but many of
    them together could use up the memory of a small host. For example::

        memory = BufferMemory(limit=1024)
        memory.take(1000)      # True
        memory.take(1000)      # False, and nothing was taken
        memory.release(1000)
    """

    def __init__(self, *, limit: int):
        self.limit = limit
        self.used = 0
        self.peak = 0

    def take(self, count: int) -> bool:
        """Adds bytes that have arrived; false if they exceed the limit."""
        if self.used + count > self.limit:
            return False
        self.used += count
        self.peak = max(self.peak, self.used)
        return True

    def release(self, count: int):
        """Removes the bytes of a message that is no longer held."""
        self.used -= count
