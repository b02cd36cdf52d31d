"""Random use of the extra-load budget, checked over exact sliding windows."""

import random

from plantainstage._limits.extra_load import ExtraLoadBudget

WINDOW_S = 60.0
LIMIT = 0.05


class BudgetRun:
    """Random bursts of first sub-requests, with extra ones up to the limit."""

    def __init__(self, *, seed):
        self.rng = random.Random(seed)
        self.budget = ExtraLoadBudget(limit=LIMIT, window_s=WINDOW_S)
        self.first = []
        self.extra = []
        self.now = 0.0

    def run(self, steps):
        for _ in range(steps):
            self.now += self.rng.expovariate(self.rng.choice((0.05, 1, 10)))
            sent_at = self.now - self.rng.random() * 0.1
            count = self.rng.choice((0, 1, 27, 500))
            if count and sent_at > 0:
                self.budget.record_first(count, sent_at=sent_at, now=self.now)
                self.first.append((sent_at, count))
            for _ in range(self.rng.choice((0, 3, 100))):
                taken = self.budget.take(self.now)
                if taken is None:
                    break
                if self.rng.random() < 0.2:
                    self.budget.give_back(taken)
                else:
                    self.extra.append(self.now)

    def worst_excess(self):
        """Returns the largest ``extra - limit * first`` over all windows."""
        worst = -1.0
        for end in sorted(set(self.extra)):
            start = end - WINDOW_S
            extra = sum(start < time <= end for time in self.extra)
            first = sum(count for time, count in self.first if start < time <= end)
            worst = max(worst, extra - LIMIT * first)
        return worst
