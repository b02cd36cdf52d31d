"""How long a searcher takes for a sub-request, from its answers."""

INITIAL_SERVICE_S = 0.005
MEAN_GAIN = 0.05
MEDIAN_STEP = 0.02


class ServiceTimes:
    """Estimates of a searcher's service time, in seconds.

    ``mean_s`` gives the expected wait in the queue, ``median_s`` the expected time of a
    sub-request itself, on which a few stragglers have no influence.
    """

    def __init__(self):
        self.mean_s = INITIAL_SERVICE_S
        self.median_s = INITIAL_SERVICE_S

    def observe(self, elapsed_s: float):
        """Updates both estimates with the time of an answer."""
        self.mean_s += MEAN_GAIN * (elapsed_s - self.mean_s)
        step = MEDIAN_STEP if elapsed_s > self.median_s else -MEDIAN_STEP
        self.median_s *= 1 + step
