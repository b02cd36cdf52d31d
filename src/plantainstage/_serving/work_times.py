"""Estimates the work time of a route from the latency of its answers."""

import math

RELATIVE_STEP = 0.06  # relative change of an estimate by one answer
INITIAL_SHARE_OF_AIM = 0.2  # of the target latency, before any answer


class Quantile:
    """Tracks the quantile ``level`` by small relative steps, without storing samples.

    A few per cent of the requests are answered by slow searchers, which would shift a
    mean but hardly affect a median.
    """

    def __init__(self, *, level: float, initial: float):
        self.level = level
        self.value = initial

    def observe(self, sample: float):
        """Adjusts the estimate by one sample."""
        below = 1.0 if sample < self.value else 0.0
        self.value *= math.exp(RELATIVE_STEP * (self.level - below))


class WorkTime:
    """Median and 90th percentile of a route's latency at searchers, in seconds."""

    def __init__(self, *, aim_s: float):
        initial = max(0.001, aim_s * INITIAL_SHARE_OF_AIM)
        self.median = Quantile(level=0.5, initial=initial)
        self.p90 = Quantile(level=0.9, initial=initial * 1.5)

    def observe(self, elapsed_s: float):
        """Updates both estimates from one answer."""
        elapsed_s = max(elapsed_s, 1e-4)
        self.median.observe(elapsed_s)
        self.p90.observe(elapsed_s)
