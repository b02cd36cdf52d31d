"""Weighted fair queue over profiles.

The queue implements start-time fair queueing with one flow per profile: the virtual
start time of a flow advances by 1/weight with each item taken, and the flow with the
smallest start time is served next. Within a flow, items are ordered by deadline: a
hedge or a retry has less time left than first sub-requests queued with it, and the
sub-requests of one request have the same rank in all queues. Non-idempotent items
are served in order of arrival.
"""

import heapq
import math

DEFAULT_WEIGHT = 1


class _Flow:
    __slots__ = ("items", "start", "weight", "length", "ordered_rank")

    def __init__(self, weight):
        self.items = []  # heap of (rank, number, item); rank is the deadline or later
        self.start = 0.0
        self.weight = weight
        self.length = 0  # removed items are not counted
        self.ordered_rank = -math.inf


class FairQueue:
    """Weighted fair queue; see the module's description.

    Items have the attributes ``profile``, ``deadline``, ``idempotent`` and
    ``removed``. For example, with weights 3 and 1 and a backlog in both flows,
    three of four items taken belong to the first profile.
    """

    def __init__(self):
        self.flows = {}
        self.weights = {}
        self.virtual_time = 0.0
        self.length = 0
        self.count = 0

    def __len__(self):
        return self.length

    def set_weights(self, weights):
        """Sets the weight of each profile by name."""
        self.weights = dict(weights)
        for name, flow in self.flows.items():
            flow.weight = self.weights.get(name, DEFAULT_WEIGHT)

    def push(self, item):
        """Appends an item to the flow of its profile."""
        flow = self.flows.get(item.profile)
        if flow is None:
            weight = self.weights.get(item.profile, DEFAULT_WEIGHT)
            flow = self.flows[item.profile] = _Flow(weight)
        if flow.length == 0:
            # An idle profile accumulates no credit.
            flow.start = max(flow.start, self.virtual_time)
        rank = item.deadline
        if not item.idempotent:
            rank = flow.ordered_rank = max(rank, flow.ordered_rank)
        self.count += 1
        heapq.heappush(flow.items, (rank, self.count, item))
        flow.length += 1
        self.length += 1

    def pop(self):
        """Removes and returns the next item, or None."""
        if not self.length:
            return None
        flow = self._next_flow()
        self.virtual_time = flow.start
        flow.start += 1 / flow.weight
        flow.length -= 1
        self.length -= 1
        item = heapq.heappop(flow.items)[2]
        while item.removed:
            item = heapq.heappop(flow.items)[2]
        return item

    def _next_flow(self):
        first = None
        for flow in self.flows.values():
            if flow.length and (first is None or flow.start < first.start):
                first = flow
        return first

    def earliest_deadline(self):
        """Returns the earliest deadline at the head of any flow, or infinity."""
        earliest = math.inf
        for flow in self.flows.values():
            while flow.items and flow.items[0][2].removed:
                heapq.heappop(flow.items)
            if flow.items:
                earliest = min(earliest, flow.items[0][2].deadline)
        return earliest

    def remove(self, item):
        """Removes a queued item."""
        item.removed = True
        flow = self.flows[item.profile]
        flow.length -= 1
        self.length -= 1
        if flow.length == 0:
            flow.items.clear()

    def ahead(self, profile):
        """Returns how many items would be served before a new one of this profile."""
        if not self.length:
            return 0
        flow = self.flows.get(profile)
        own = flow.length if flow else 0
        weight = flow.weight if flow else self.weights.get(profile, DEFAULT_WEIGHT)
        others = sum(
            item.weight
            for item in self.flows.values()
            if item.length and item is not flow
        )
        return min(self.length, own * (weight + others) / weight)

    def drain(self):
        """Removes and returns all items."""
        items = []
        for flow in self.flows.values():
            items.extend(item for _, _, item in flow.items if not item.removed)
            flow.items.clear()
            flow.length = 0
        self.length = 0
        return items
