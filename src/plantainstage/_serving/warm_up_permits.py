"""How many requests a host may send to a cold searcher.

In any second a cold searcher gets at most ``rate * overage + slack`` requests, over all
hosts, without messages between them: each host earns permits at an equal share of a
rate, and a permit that is not used lapses after a time (``rate_limits.py``). The
requests of a second are then at most the permits that all hosts earn in that second
and in the time that permits last.

A host earns its permits at regular intervals, whose phase is a hash of its id. So the
permits of all hosts in a window are a sum of independent numbers, each of which is one
of two neighbouring integers. The rate is the highest one for which this sum exceeds
the bound with a probability of at most ``EXCEEDING``. It is below the stated rate if
many hosts share it, as they might earn their permits at the same time.
"""

import math
from collections import deque
from functools import lru_cache

from plantainstage._serving.account_bounds import WarmUpBounds
from plantainstage._serving.counted_hosts import LOWER_COUNT_HOLD_S
from plantainstage._serving.rate_limits import RatePermits

SPAN_S = 1.0  # of the bound
# Of what the bound allows beyond the rate, for permits that have not been used yet.
HELD_SHARE = 0.25
MIN_HOLD_S = 0.05
MAX_HOLD_S = 1.0
# By which requests arrive closer together than they were sent.
ARRIVAL_JITTER_S = 0.1
# In a window, if the hosts use all of their permits.
EXCEEDING = 1e-6
MIN_RATE = 1e-3
BISECTIONS = 40
# Hosts that are cut off from control are no longer counted, but may send for as long.
COUNT_RETENTION_S = 600.0


def hold_s(rate: float, bounds: WarmUpBounds) -> float:
    """Returns how long a permit can be used, in seconds."""
    surplus_s = bounds.overage - 1.0 + bounds.slack / rate
    return min(MAX_HOLD_S, max(MIN_HOLD_S, HELD_SHARE * surplus_s))


@lru_cache(maxsize=1024)
def shared_rate(rate: float, hosts: int, bounds: WarmUpBounds) -> float:
    """Returns the rate that the hosts share, at most the stated one.

    For example, many hosts share less than half of a rate of 10::

        shared_rate(10.0, 1, WarmUpBounds())      # 10.0
        shared_rate(10.0, 200, WarmUpBounds())    # 4.5
    """
    window_s = SPAN_S + hold_s(rate, bounds) + ARRIVAL_JITTER_S
    allowed = math.floor(rate * bounds.overage + bounds.slack)
    low, high = 0.0, rate
    if _exceeding(rate * window_s, hosts, allowed) <= EXCEEDING:
        return rate
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _exceeding(middle * window_s, hosts, allowed) <= EXCEEDING:
            low = middle
        else:
            high = middle
    return max(low, MIN_RATE)


def _exceeding(permits, hosts, allowed):
    """Returns the probability that the hosts earn more than ``allowed`` in a window.

    ``permits`` is their mean number. Each host earns a whole number of them, and one
    more with the probability of the rest.
    """
    each = math.floor(permits / hosts)
    return _binomial_tail(hosts, permits / hosts - each, allowed - hosts * each)


def _binomial_tail(trials, probability, most):
    """Returns the probability of more than ``most`` successes; 1 if that is likely."""
    if most >= trials:
        return 0.0
    if most < trials * probability:
        return 1.0
    if probability == 0.0:
        return 0.0
    successes = most + 1
    term = math.exp(
        math.lgamma(trials + 1)
        - math.lgamma(successes + 1)
        - math.lgamma(trials - successes + 1)
        + successes * math.log(probability)
        + (trials - successes) * math.log1p(-probability)
    )
    total = 0.0
    odds = probability / (1.0 - probability)
    while successes <= trials and term > total * 1e-9:
        total += term
        term *= (trials - successes) / (successes + 1) * odds
        successes += 1
    return total


class SharingHosts:
    """The number of hosts that may send to cold searchers, as a safe upper estimate.

    It is the highest one that was counted in COUNT_RETENTION_S, since hosts that are
    cut off from control go on sending. It is 0 while the host has not heard of the
    others for long enough to count them.
    """

    def __init__(self):
        self.known_from = None
        self.counts = deque()  # (time, number), the numbers falling

    def record(self, hosts: int, now: float):
        """Records how many hosts the replicas count according to a report."""
        if self.known_from is None:
            self.known_from = now + LOWER_COUNT_HOLD_S
        while self.counts and self.counts[-1][1] <= hosts:
            self.counts.pop()
        self.counts.append((now, hosts))

    def number(self, now: float) -> int:
        """Returns the number of hosts, or 0 if it is not known yet."""
        if self.known_from is None or now < self.known_from:
            return 0
        while len(self.counts) > 1 and now - self.counts[0][0] > COUNT_RETENTION_S:
            self.counts.popleft()
        return self.counts[0][1]

    def unknown_s(self, now: float) -> float:
        """Returns how long the number stays unknown."""
        if self.known_from is None:
            return LOWER_COUNT_HOLD_S
        return max(0.0, self.known_from - now)


class WarmUpPermits:
    """The permits of one host for one cold searcher, with the rate of its service."""

    def __init__(self, *, rate: float, bounds: WarmUpBounds, phase: float, now: float):
        self.stated_rate = rate
        self.bounds = bounds
        self.permits = RatePermits(
            rate=rate,
            phase=phase,
            now=now,
            hold_s=hold_s(rate, bounds),
            min_rate=MIN_RATE,
        )

    def wait_s(self, now: float, hosts: int) -> float:
        """Returns the time until a permit is available, 0 if there is one."""
        self._share(now, hosts)
        return self.permits.wait_s(now, hosts)

    def take(self, now: float, hosts: int):
        """Uses a permit."""
        self._share(now, hosts)
        self.permits.take(now, hosts)

    def _share(self, now, hosts):
        rate = shared_rate(self.stated_rate, hosts, self.bounds)
        if rate != self.permits.rate:
            self.permits.state(rate, now, hosts)
