"""The event loop of the model, in virtual time (seconds)."""

import heapq


class EventLoop:
    """Runs callbacks ordered by time, then by the order of scheduling."""

    def __init__(self):
        self.now = 0.0
        self.events = []
        self.count = 0

    def at(self, time, callback, *arguments):
        """Schedules a callback at ``time``."""
        self.count += 1
        heapq.heappush(self.events, (time, self.count, callback, arguments))

    def after(self, delay, callback, *arguments):
        """Schedules a callback ``delay`` seconds from now."""
        self.at(self.now + delay, callback, *arguments)

    def run(self, until):
        """Runs all events up to ``until``; returns their number."""
        events = self.events
        done = 0
        while events and events[0][0] <= until:
            time, _, callback, arguments = heapq.heappop(events)
            self.now = time
            callback(*arguments)
            done += 1
        self.now = until
        return done
