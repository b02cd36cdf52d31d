"""What one entry host has of one client account: permits, a reservation, counts."""

import math

from plantainstage._messages.serving import AccountGrant, AccountUse
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.configuration import ClientAccount
from plantainstage._serving.quota_account import HOLD_S, permit_cap

# Of the demand from which a host works out how many permits it wants in advance.
DEMAND_MEMORY_S = 1.0
FORGETTABLE_DEMAND = 0.01
MAX_RETRY_S = 10.0
MIN_RETRY_S = 0.05


class ReservedPermits:
    """Permits earned at a reserved rate while no leader is in contact.

    ``phase`` from 0 to 1 spreads the permits of the hosts over time. Permits that are
    not used lapse, so that all hosts together never hold more than half of the excess
    that the bound allows (``permit_cap``).
    """

    def __init__(self, *, rate_per_s: float, hold_s: float, phase: float, now: float):
        self.rate_per_s = rate_per_s
        self.hold_s = hold_s
        self.level = phase
        self.earned_at = now

    def take(self, now: float) -> bool:
        """Uses a permit; returns whether there was one."""
        self.level += self.rate_per_s * max(0.0, now - self.earned_at)
        self.earned_at = max(now, self.earned_at)
        excess = self.level - (1.0 + self.rate_per_s * self.hold_s)
        if excess >= 0.0:
            self.level -= math.floor(excess) + 1.0
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class HostAccount:
    """The permits of this host for one account, and what it has to report.

    ``used`` counts permits taken since the last report, less those given back. ``era``
    changes when permits lapse: what was taken before cannot be given back.
    """

    def __init__(self, *, quota: ClientAccount, now: float):
        self.quota = quota
        self.era = 0
        self.held = 0
        self.used = 0
        self.waiting = 0  # requests that wait for a permit
        self.keep = 0
        self.reserved_per_s = 0.0
        # A reservation that has ended counts at the leader until the next report.
        self.owes_confirmation = False
        self.reserved = None  # ReservedPermits, while the host is without a leader
        self.denied_until = -math.inf  # refused at once until the next permit is due
        self.retry_at = -math.inf  # when the next caller is told to come back
        self.asked = self.over_quota = self.no_room = self.served = 0
        self.over_share = 0
        self.demand = 0.0  # requests a second
        self.demand_at = now

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_forgettable(self):
        """Whether nothing is left to report, or to admit by."""
        return not self.has_news and self.demand < FORGETTABLE_DEMAND

    @property
    def needs_soon(self):
        """Whether its permits were used at once and count as outstanding until told."""
        return self.used > 0 and not self.held and not self.keep

    @property
    def has_news(self):
        """Whether the leader should hear of this account."""
        counts = self.asked or self.used or self.no_room or self.served
        has_any = self.held or self.waiting or self.reserved_per_s
        return bool(counts or has_any or self.owes_confirmation)

    def wanted(self, now: float) -> int:
        """Returns how many permits the host asks for, some of them in advance."""
        if not self.quota.has_quota:
            return 0
        needed = math.ceil(self._demand(now) * HOLD_S)
        in_advance = max(0, min(self.keep, needed) - self.held)
        return self.waiting + in_advance

    def use(self, now: float) -> AccountUse:
        """Returns what there is to report."""
        return AccountUse(
            account=self.quota.name,
            asked=self.asked,
            over_quota=self.over_quota,
            no_room=self.no_room,
            served=self.served,
            used=self.used,
            held=self.held,
            wanted=self.wanted(now),
            reserved_per_s=self.reserved_per_s,
            over_share=self.over_share,
        )

    # ---- Commands -----------------------------------------------------------------

    def count_asked(self, now: float):
        """Counts a request of a caller."""
        self.asked += 1
        self.demand = self._demand(now) + 1.0 / DEMAND_MEMORY_S
        self.demand_at = now

    def count_room_use(self, use: AccountUse):
        """Counts what became of requests as far as capacity decides.

        Those refused as the account was over its share have asked for no permit, and
        neither have those without an account, whose name is empty.
        """
        self.asked += use.over_share if self.quota.name else use.asked
        self.over_share += use.over_share
        self.no_room += use.no_room
        self.served += use.served

    def take(self) -> bool:
        """Uses a permit; returns whether there was one."""
        if not self.held:
            return False
        self.held -= 1
        self.used += 1
        return True

    def take_reserved(self, now: float, *, since: float, phase: float, bounds) -> bool:
        """Uses a permit of the reservation, which is earned from ``since`` on."""
        if self.reserved is None:
            self.reserved = ReservedPermits(
                rate_per_s=self.reserved_per_s,
                hold_s=reservation_hold_s(self.quota, bounds),
                phase=phase,
                now=since,
            )
        if not self.reserved.take(now):
            return False
        self.used += 1
        return True

    def give_back(self, era: int):
        """Returns a permit whose request no searcher has received.

        It can be used again here if the leader still counts it as this host's. If its
        use has been reported, it is reported as given back.
        """
        if era != self.era:
            return
        if self.used > 0:
            self.held += 1
        self.used -= 1

    def lapse(self):
        """Drops all permits, which the leader may have given to others."""
        self.era += 1
        self.held = 0
        self.used = max(0, self.used)

    def change_quota(self, quota: ClientAccount):
        """Puts a changed quota in force; without one, permits are of no use."""
        self.quota = quota
        self.reserved = None
        if not quota.has_quota:
            self.lapse()
            self.reserved_per_s = 0.0

    def clear_reported(self):
        """Starts counting for the next report."""
        self.asked = self.over_quota = self.no_room = self.served = self.used = 0
        self.over_share = 0
        self.owes_confirmation = False

    def apply(self, grant: AccountGrant, now: float):
        """Puts a grant of the leader in force."""
        self.held += grant.permits
        self.keep = grant.keep
        self.owes_confirmation = self.reserved_per_s > 0.0 and not grant.reserved_per_s
        self.reserved_per_s = grant.reserved_per_s
        if grant.retry_after_ms:
            self.denied_until = now + grant.retry_after_ms / 1000
            self.retry_at = max(self.retry_at, self.denied_until)
        else:
            self.denied_until = self.retry_at = -math.inf

    def return_surplus(self):
        """Gives back the permits that the host should not keep."""
        self.held = min(self.held, self.keep + self.waiting)

    def retry_after_s(self, now: float) -> float:
        """Returns what the next refused caller is told.

        Each caller is told a later time than the one before, at the rate at which this
        host is likely to get permits.
        """
        start = max(self.retry_at, now + MIN_RETRY_S)
        self.retry_at = start + 1.0 / max(self.reserved_per_s, 1.0)
        return min(MAX_RETRY_S, start - now)

    def _demand(self, now):
        elapsed_s = max(0.0, now - self.demand_at)
        return self.demand * math.exp(-elapsed_s / DEMAND_MEMORY_S)


def reservation_hold_s(quota: ClientAccount, bounds: QuotaBounds) -> float:
    """Returns how long an unused permit of a reservation can be used."""
    return 0.5 * permit_cap(quota, bounds) / quota.rate_per_s
