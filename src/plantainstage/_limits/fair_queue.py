"""A queue that shares its output between profiles by weight.

Start-time fair queueing: each lane carries a virtual start time that advances
by 1/weight for each item taken, and the lane with the smallest one is next.
Within a lane, the item with the earliest deadline leaves first: a hedge or a
retry has less time left than the first sub-requests around it, and the parts of
one request keep their place in all queues. Non-idempotent items leave in the
order of their arrival.
"""

import heapq
import math

DEFAULT_WEIGHT = 1


class _Lane:
    __slots__ = ("items", "start", "weight", "length", "ordered_until")

    def __init__(self, weight):
        self.items = []  # heap of (deadline or later, number, item)
        self.start = 0.0
        self.weight = weight
        self.length = 0  # without removed items
        self.ordered_until = -math.inf


class FairQueue:
    """Items have ``profile``, ``deadline``, ``idempotent`` and ``removed``.

    For example, with weights 3 and 1 and both lanes full, three of four items
    taken are of the first profile.
    """

    def __init__(self):
        self.lanes = {}
        self.weights = {}
        self.virtual_time = 0.0
        self.length = 0
        self.count = 0

    def __len__(self):
        return self.length

    def set_weights(self, weights):
        """Sets the weight of each profile by name."""
        self.weights = dict(weights)
        for name, lane in self.lanes.items():
            lane.weight = self.weights.get(name, DEFAULT_WEIGHT)

    def push(self, item):
        """Appends an item to the lane of its profile."""
        lane = self.lanes.get(item.profile)
        if lane is None:
            weight = self.weights.get(item.profile, DEFAULT_WEIGHT)
            lane = self.lanes[item.profile] = _Lane(weight)
        if lane.length == 0:
            # An idle profile gains no credit for the time it sent nothing.
            lane.start = max(lane.start, self.virtual_time)
        rank = item.deadline
        if not item.idempotent:
            rank = lane.ordered_until = max(rank, lane.ordered_until)
        self.count += 1
        heapq.heappush(lane.items, (rank, self.count, item))
        lane.length += 1
        self.length += 1

    def pop(self):
        """Removes and returns the next item, or None."""
        if not self.length:
            return None
        lane = self._next_lane()
        self.virtual_time = lane.start
        lane.start += 1 / lane.weight
        lane.length -= 1
        self.length -= 1
        item = heapq.heappop(lane.items)[2]
        while item.removed:
            item = heapq.heappop(lane.items)[2]
        return item

    def _next_lane(self):
        first = None
        for lane in self.lanes.values():
            if lane.length and (first is None or lane.start < first.start):
                first = lane
        return first

    def earliest_deadline(self):
        """Returns the earliest deadline of any item, or infinity."""
        earliest = math.inf
        for lane in self.lanes.values():
            while lane.items and lane.items[0][2].removed:
                heapq.heappop(lane.items)
            if lane.items:
                earliest = min(earliest, lane.items[0][2].deadline)
        return earliest

    def remove(self, item):
        """Removes an item that is still queued."""
        item.removed = True
        lane = self.lanes[item.profile]
        lane.length -= 1
        self.length -= 1
        if lane.length == 0:
            lane.items.clear()

    def ahead(self, profile):
        """Returns how many items leave before a new one of this profile."""
        if not self.length:
            return 0
        lane = self.lanes.get(profile)
        own = lane.length if lane else 0
        weight = lane.weight if lane else self.weights.get(profile, DEFAULT_WEIGHT)
        others = sum(
            item.weight
            for item in self.lanes.values()
            if item.length and item is not lane
        )
        return min(self.length, own * (weight + others) / weight)

    def drain(self):
        """Removes and returns all items."""
        items = []
        for lane in self.lanes.values():
            items.extend(item for _, _, item in lane.items if not item.removed)
            lane.items.clear()
            lane.length = 0
        self.length = 0
        return items
