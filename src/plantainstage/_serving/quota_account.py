"""What the leader of the control group keeps of one client account with a quota.

A token bucket, the permits that are outstanding at hosts, and the rates that hosts may
use without the leader. The sum of tokens and outstanding permits never exceeds the
burst and ``permit_cap``, which is why the usage in any window keeps the bound. Permits
that hosts hold in advance therefore take nothing from the burst.
"""

import math
from dataclasses import dataclass

from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.configuration import ClientAccount

# Of the recent demand by which hosts share permits and reservations. A few reports,
# so that shares follow callers that move to other hosts.
DEMAND_MEMORY_S = 2.0
# A host holds permits for two report intervals, so that its callers do not wait.
HOLD_S = 0.6
# Less demand than this a second earns neither permits in advance nor a reservation, and
# the host has nothing to report.
MIN_DEMAND = 0.05
# Bounds a refusal's wait, so that callers notice a raised quota.
MAX_RETRY_S = 10.0
MIN_RETRY_S = 0.05


def permit_cap(quota: ClientAccount, bounds: QuotaBounds) -> float:
    """Returns how many permits may be outstanding over all hosts.

    It is half of what the bound allows beyond the quota. The other half covers permits
    that a new leader does not know yet.
    """
    quota_of_window = quota.rate_per_s * bounds.window_s + quota.burst
    return 0.5 * (bounds.overage * quota_of_window + bounds.slack)


@dataclass(kw_only=True)
class Holding:
    """What one host has of one account, as far as the leader knows.

    ``outstanding`` permits are at the host or used without a report. The host has
    confirmed that it knows the reservation ``acked``; ``told`` is the last one sent.
    """

    outstanding: int = 0
    acked: float = 0.0
    told: float = 0.0
    demand: float = 0.0
    demand_at: float = -math.inf
    rank: int = -1  # among the hosts that wait for permits, -1 if it does not
    waits_since_served: int = 0  # value of ``served`` when it began to wait
    waited_at: float = -math.inf

    @property
    def reserved(self) -> float:
        """The highest rate that the host may use without the leader."""
        return max(self.acked, self.told)


class QuotaAccount:
    """Tokens, outstanding permits and reservations of one account.

    Until ``owned_from`` hosts may use reservations of an earlier ledger that this one
    does not know; the account earns only what hosts have reported to it, and a small
    rate out of the slack that lets accounts without reservations go on.
    """

    def __init__(
        self,
        *,
        quota: ClientAccount,
        bounds: QuotaBounds,
        now: float,
        owned_from: float,
        level: float,
    ):
        self.quota = quota
        self.bounds = bounds
        self.level = level
        self.advanced_at = now
        self.owned_from = owned_from
        self.outstanding = 0
        self.reserved = 0.0  # sum over all hosts
        self.silent_reserved = 0.0  # sum over the hosts that may use it now
        self.reported_reserved = 0.0  # taken over from an earlier ledger
        self.demand = 0.0  # requests a second, sum over all hosts
        self.served = 0  # grants to hosts that waited
        self.waiting = 0  # hosts that wait for permits
        self.exhausted_at = -math.inf  # last time that tokens were short

    # ---- Queries ------------------------------------------------------------------

    @property
    def cap(self) -> float:
        """The highest number of outstanding permits."""
        return permit_cap(self.quota, self.bounds)

    @property
    def room(self) -> int:
        """How many more permits may be outstanding; below 0 after a lowered quota."""
        return math.floor(self.cap) - self.outstanding

    @property
    def depth(self) -> float:
        """The most tokens that the bucket holds beside the outstanding permits.

        It is less while hosts may have permits and reservations that are not known.
        """
        lent = self.cap / 2.0 if self.advanced_at < self.owned_from else self.cap
        return max(0.0, self.quota.burst_depth + lent - self.outstanding)

    def owned_per_s(self, now: float) -> float:
        """Returns the rate that this ledger may give to hosts as reservations."""
        if now >= self.owned_from:
            return self.quota.rate_per_s
        return min(self.quota.rate_per_s, self.reported_reserved)

    def earned_per_s(self, now: float) -> float:
        """Returns the tokens earned a second, without what silent hosts may use."""
        owned = self.owned_per_s(now)
        if now < self.owned_from:
            # A quarter of the slack that is not lent as permits, in any window.
            trickle = self.cap / (4.0 * self.bounds.window_s)
            owned = min(self.quota.rate_per_s, owned + trickle)
        return max(0.0, owned - self.silent_reserved)

    # ---- Commands -----------------------------------------------------------------

    def advance(self, now: float):
        """Earns the tokens of the time since the last call."""
        elapsed_s = max(0.0, now - self.advanced_at)
        earned = self.earned_per_s(self.advanced_at) * elapsed_s
        self.level = min(self.depth, self.level + earned)
        self.advanced_at = max(self.advanced_at, now)

    def change_quota(self, quota: ClientAccount, now: float):
        """Puts a changed quota in force; a raised burst is earned, not given."""
        self.advance(now)
        self.quota = quota
        self.level = min(self.level, self.depth)

    def settle(self, holding: Holding, *, used: int, held: int):
        """Records what a host used and still holds; the rest returns to the bucket."""
        returned = holding.outstanding - used - held
        self.set_outstanding(holding, held)
        self.level = min(self.depth, self.level + max(0, returned))

    def set_outstanding(self, holding: Holding, count: int):
        """Replaces the number of permits that a host holds."""
        self.outstanding += count - holding.outstanding
        holding.outstanding = count

    def add_demand(self, holding: Holding, asked: int, now: float):
        """Counts the requests that callers sent to a host."""
        elapsed_s = max(0.0, now - holding.demand_at)
        kept = holding.demand * math.exp(-elapsed_s / DEMAND_MEMORY_S)
        demand = kept + asked / DEMAND_MEMORY_S
        self.demand = max(0.0, self.demand + demand - holding.demand)
        holding.demand, holding.demand_at = demand, now

    def reserve(self, holding: Holding, now: float) -> float:
        """Returns the reservation that a host is told, its share by demand.

        The sum over all hosts stays within the rate, whether or not replies arrive: a
        share that another host may still use is not given away.
        """
        wanted = self.owned_per_s(now) * self.demand_share(holding)
        free = self.owned_per_s(now) - (self.reserved - holding.reserved)
        before = holding.reserved
        holding.told = max(0.0, min(wanted, free))
        self.reserved = max(0.0, self.reserved + holding.reserved - before)
        return holding.told

    def confirm_reservation(self, holding: Holding):
        """Records that a host has received what it was last told."""
        before = holding.reserved
        holding.acked = holding.told
        self.reserved = max(0.0, self.reserved + holding.reserved - before)

    def demand_share(self, holding: Holding) -> float:
        """Returns the host's share of the demand, 0 if it has almost none."""
        if holding.demand < MIN_DEMAND:
            return 0.0
        return min(1.0, holding.demand / max(self.demand, holding.demand))

    def grant(self, holding: Holding, wanted: int, now: float) -> int:
        """Takes tokens for a host that wants permits; returns their number."""
        self.advance(now)
        fair = self.demand_share(holding) * (self.level + self.earned_per_s(now))
        limit = max(1, math.ceil(fair))
        permits = max(0, min(wanted, math.floor(self.level), self.room, limit))
        if wanted and not permits:
            self._begin_waiting(holding, now)
        elif permits:
            self._end_waiting(holding)
        self.level -= permits
        self.set_outstanding(holding, holding.outstanding + permits)
        return permits

    def keep(self, holding: Holding) -> int:
        """Returns how many permits a host may hold in advance.

        Hosts share half of the cap by demand. The other half is for requests that find
        no permit at their host.
        """
        share = math.floor(self.demand_share(holding) * self.cap / 2.0 + 0.5)
        needed = math.ceil(holding.demand * HOLD_S)
        return min(share, needed) if holding.demand >= MIN_DEMAND else 0

    def retry_after_s(self, holding: Holding, now: float) -> float:
        """Returns when a permit may be there for a host that got none.

        Hosts that wait are told one token after the other.
        """
        ahead = holding.rank - (self.served - holding.waits_since_served)
        tokens = max(0.0, 1.0 - self.level) + max(0, ahead)
        earned = max(self.earned_per_s(now), 1.0 / MAX_RETRY_S)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, tokens / earned))

    def forget(self, holding: Holding, *, is_silent: bool):
        """Removes a host; what it held counts as used."""
        self.set_outstanding(holding, 0)
        self._end_waiting(holding)
        self.reserved = max(0.0, self.reserved - holding.reserved)
        if is_silent:
            self.silence(-holding.reserved)
        self.demand = max(0.0, self.demand - holding.demand)

    def silence(self, reserved: float):
        """Adds to what silent hosts may use; call ``advance`` before."""
        self.silent_reserved = max(0.0, self.silent_reserved + reserved)

    def _begin_waiting(self, holding, now):
        if holding.rank < 0:
            holding.rank = self.waiting
            holding.waits_since_served = self.served
            self.waiting += 1
        holding.waited_at = now
        if self.level < 1.0:
            self.exhausted_at = now

    def _end_waiting(self, holding):
        if holding.rank >= 0:
            holding.rank = -1
            self.waiting -= 1
            self.served += 1
