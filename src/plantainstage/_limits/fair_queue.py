"""A queue that shares its output between profiles by weight.

Start-time fair queueing: each lane carries a virtual start time that advances
by 1/weight for each item taken, and the lane with the smallest one is next.
Within a lane, items leave in the order of arrival, so that no non-idempotent
sub-request overtakes an earlier one of its profile.
"""

from collections import deque

DEFAULT_WEIGHT = 1


class _Lane:
    __slots__ = ("items", "start", "weight", "length")

    def __init__(self, weight):
        self.items = deque()
        self.start = 0.0
        self.weight = weight
        self.length = 0  # without removed items


class FairQueue:
    """Items have the attributes ``profile`` and ``removed``.

    For example, with weights 3 and 1 and both lanes full, three of four items
    taken are of the first profile.
    """

    def __init__(self):
        self.lanes = {}
        self.weights = {}
        self.virtual_time = 0.0
        self.length = 0

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
        lane.items.append(item)
        lane.length += 1
        self.length += 1

    def pop(self):
        """Removes and returns the next item, or None."""
        if not self.length:
            return None
        lane = min(
            (lane for lane in self.lanes.values() if lane.length),
            key=lambda lane: lane.start,
        )
        self.virtual_time = lane.start
        lane.start += 1 / lane.weight
        lane.length -= 1
        self.length -= 1
        item = lane.items.popleft()
        while item.removed:
            item = lane.items.popleft()
        return item

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
        """Removes and returns all items in the order of arrival by lane."""
        items = []
        for lane in self.lanes.values():
            items.extend(item for item in lane.items if not item.removed)
            lane.items.clear()
            lane.length = 0
        self.length = 0
        return items
