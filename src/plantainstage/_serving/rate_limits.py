"""Shares the request rate that a searcher accepts among all entry hosts.

A searcher in need states in its replies how many requests a second it accepts from all
hosts together. Each host uses an equal share of that rate, without messages between
the hosts: it earns permits at its share, and each request to the searcher takes one,
first calls as well as hedges and repeats.

With more hosts than requests a second, a permit of each host would together be many
times the rate. So a permit that is not used lapses after ``hold_s(rate)``: whatever the
number of hosts, all of them together hold about ``rate * HOLD_S + HELD_PERMITS``.
Within a span of T seconds the searcher gets at most these and ``rate * T`` requests.
"""

import math

HOLD_S = 1.25
HELD_PERMITS = 1.0
# Per second, for all hosts together. A host notices that a limit has ended from a reply
# only, so that a few requests go even to a searcher that accepts none.
MIN_RATE = 0.1


def hold_s(rate: float) -> float:
    """Returns how long a permit can be used, in seconds."""
    return HOLD_S + HELD_PERMITS / max(rate, MIN_RATE)


class RatePermits:
    """The permits of one host for one searcher.

    ``phase`` from 0 to 1 spreads the permits of the hosts over time. ``hosts`` is the
    number of hosts that share the rate. ``hold_s`` and ``min_rate`` replace the general
    ones. For example, one of 9 hosts::

        permits = RatePermits(rate=18.0, phase=0.5, now=0.0)
        permits.wait_s(now=0.0, hosts=9)      # 0.25
        permits.take(now=0.25, hosts=9)
    """

    def __init__(
        self,
        *,
        rate: float,
        phase: float,
        now: float,
        hold_s: float | None = None,
        min_rate: float = MIN_RATE,
    ):
        self.rate = rate
        self.fixed_hold_s = hold_s
        self.min_rate = min_rate
        self.level = phase  # permits, of which the whole ones can be used
        self.updated_at = now
        self.stated_at = now

    def share(self, hosts: int) -> float:
        """Returns the permits that this host earns a second."""
        return max(self.rate, self.min_rate) / hosts

    def wait_s(self, now: float, hosts: int) -> float:
        """Returns the time until a permit is available, 0 if there is one."""
        self._earn(now, hosts)
        return max(0.0, 1.0 - self.level) / self.share(hosts)

    def take(self, now: float, hosts: int):
        """Uses a permit."""
        self._earn(now, hosts)
        self.level = max(0.0, self.level - 1.0)

    def state(self, rate: float, now: float, hosts: int):
        """Records that a reply states the rate."""
        self._earn(now, hosts)
        self.rate = rate
        self.stated_at = now

    def _earn(self, now, hosts):
        share = self.share(hosts)
        self.level += share * max(0.0, now - self.updated_at)
        self.updated_at = now
        held_s = self.fixed_hold_s
        if held_s is None:
            held_s = hold_s(self.rate)
        excess = self.level - (1.0 + share * held_s)
        if excess >= 0.0:
            self.level -= math.floor(excess) + 1.0
