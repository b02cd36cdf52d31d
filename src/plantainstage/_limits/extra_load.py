"""The extra-load budget of one profile on one entry host.

The sliding window is divided into buckets. In the oldest bucket, which is partly
expired, extra sub-requests still count but first sub-requests do not, so that the
limit holds in the exact window that ends with each extra sub-request.
"""

from collections import deque

from plantainstage._errors import check_invariant

WINDOW_S = 60.0
BUCKETS = 120  # the partly expired bucket costs at most 1/120 of the budget
EXPIRED = -1


class ExtraLoadBudget:
    """Limits extra sub-requests to a share of first ones in a sliding window.

    First sub-requests are counted once it is known that they were sent, at the time
    at which they were sent. Extra ones are counted before they are sent. For
    example::

        budget = ExtraLoadBudget(limit=0.05)
        budget.record_first(40, sent_at=0.9, now=1.0)
        taken = budget.take(now=1.0)   # the first of the two allowed
    """

    def __init__(self, *, limit: float, window_s: float = WINDOW_S):
        self.limit = limit
        self.window_s = window_s
        self.bucket_s = window_s / BUCKETS
        self.buckets = deque()  # [number, first, extra], oldest first
        self.first = 0
        self.extra = 0

    def record_first(self, count, *, sent_at, now):
        """Counts first sub-requests that were sent to searchers at ``sent_at``."""
        self._bucket(now)
        number = int(sent_at / self.bucket_s)
        for bucket in reversed(self.buckets):
            # If that time has no bucket, use an older one, which expires no later.
            if bucket[0] <= number:
                bucket[1] += count
                self.first += count
                return

    def used_share(self, now):
        """Returns the used share of the budget, from 0 (unused) to 1."""
        self._bucket(now)
        allowed = self.limit * self._first_in_window(now)
        return min(1.0, self.extra / allowed) if allowed > 0 else 1.0

    def take(self, now, *, room=1):
        """Takes one extra sub-request from the budget; returns its bucket, or None.

        Returns None unless the budget allows ``room`` of them, although only one is
        taken.
        """
        bucket = self._bucket(now)
        allowed = self.limit * self._first_in_window(now)
        if self.extra + room > allowed:
            return None
        bucket[2] += 1
        self.extra += 1
        check_invariant(
            self.extra <= allowed,
            invariant="extra_load_limit",
            detail=f"{self.extra} extra sub-requests, {allowed} allowed",
        )
        return bucket

    def give_back(self, taken):
        """Returns to the budget what ``take`` gave, if nothing was sent for it."""
        if taken[0] != EXPIRED:
            taken[2] -= 1
            self.extra -= 1

    def _bucket(self, now):
        number = int(now / self.bucket_s)
        buckets = self.buckets
        if buckets and buckets[-1][0] >= number:
            return buckets[-1]
        oldest = number - BUCKETS
        while buckets and buckets[0][0] < oldest:
            bucket = buckets.popleft()
            self.first -= bucket[1]
            self.extra -= bucket[2]
            bucket[0] = EXPIRED
        buckets.append([number, 0, 0])
        return buckets[-1]

    def _first_in_window(self, now):
        oldest = self.buckets[0]
        if oldest[0] <= int(now / self.bucket_s) - BUCKETS:
            return self.first - oldest[1]
        return self.first


class ExtraLoadBudgets:
    """Extra-load budgets of all profiles on this host, by profile name."""

    def __init__(self, *, window_s: float = WINDOW_S):
        self.window_s = window_s
        self.by_profile = {}

    def for_profile(self, profile):
        """Returns the profile's budget, updated to the profile's current limit."""
        budget = self.by_profile.get(profile.name)
        if budget is None:
            budget = self.by_profile[profile.name] = ExtraLoadBudget(
                limit=profile.extra_load_limit, window_s=self.window_s
            )
        budget.limit = profile.extra_load_limit
        return budget

    def set_limits(self, profiles):
        """Applies the limits of the published profiles."""
        for profile in profiles:
            self.for_profile(profile)

    def take_for_any(self, names, now):
        """Takes one extra sub-request from the first of these budgets that allows it.

        Returns the profile's name and the bucket, to be passed to ``give_back``, or
        None.
        """
        for name in names:
            budget = self.by_profile.get(name)
            taken = budget.take(now) if budget is not None else None
            if taken is not None:
                return name, taken
        return None

    def give_back(self, taken_for):
        """Returns to the budget what ``take_for_any`` gave for a probe not sent."""
        name, taken = taken_for
        self.by_profile[name].give_back(taken)
