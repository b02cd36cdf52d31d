"""Shares scarce capacity between client accounts.

Load conditions, and what handles them:

- One account asks for many times its usual demand: ``fair_shares`` gives each account
  the same room at most (max-min), so that the others get all they ask for.
- Callers retry immediately: retries are demand of their account and use up its share.
- A burst of the least urgent requests: ``AdmissionCredit`` admits urgent requests of
  an account first, and ``RouteSigns`` leaves routes alone that have room
  (room_admission.py).
- Searchers are lost or slow: ``FairRoom`` lowers the capacity to what is really served,
  and raises it in small steps while admitted requests are served.

Each account keeps ``KEPT_SHARE`` of what it would get in proportion to its demand, and
each priority within an account a part of the account's share, so that none is starved.
An account without a quota is treated like any other, and so are all requests without
an account together (the account with the empty name).

Where there is no shortage, all shares are 1. A shortage begins when admitted requests
are not served for lack of room, and ends when the capacity exceeds the demand.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from plantainstage._messages.serving import AccountUse
from plantainstage._serving.account_totals import WINDOW_S, AccountTotals

# Of the admitted requests, before callers send them again. With one in five the usual
# second attempt still serves 24 of 25.
START_FAILED_SHARE = 0.2
# The capacity is lowered above the one and raised below the other. In between it stays.
HIGH_FAILED_SHARE = 0.15
LOW_FAILED_SHARE = 0.08
# Requests that were not served, in a window, to begin a shortage.
MIN_FAILED = 20
REVIEW_INTERVAL_S = 0.5
RAISE_FACTOR = 1.04  # per review
# What is served may fall to nothing while searchers are overloaded; it recovers once
# less is admitted.
MAX_CUT_FACTOR = 0.75
# Requests in progress when the capacity is lowered still count in the next window.
SETTLE_S = 0.5
# Above the demand, so that requests which arrive unevenly do not bring it back.
END_FACTOR = 1.15
# Time constant of an account's demand. An account with one request a second asks for
# several in some windows although it is below its fair share.
DEMAND_TIME_CONSTANT_S = 6.0
MIN_CAPACITY_SHARE = 0.05  # of the demand
# Callers need a quarter of the share of all requests; the rest allows for bursts.
KEPT_SHARE = 0.35
# An account that does not override the priority of routes has urgent requests and
# others.
DEFAULT_PRIORITY = 1


@dataclass(frozen=True, kw_only=True)
class AccountDemand:
    """The requests a second of an account, and its priority; 0 is the most urgent."""

    account: str
    per_s: float
    priority: int = DEFAULT_PRIORITY


def fair_shares(
    demands: Iterable[AccountDemand], capacity_per_s: float
) -> dict[str, float]:
    """Returns the share of the requests of each account that can be served.

    First each account gets ``KEPT_SHARE`` of a proportional part. The rest goes to the
    priorities in order, and within a priority to the accounts that have least::

        fair_shares(
            [
                AccountDemand(account="small", per_s=10.0),
                AccountDemand(account="large", per_s=90.0),
            ],
            40.0,
        )      # {"small": 1.0, "large": 0.333...}
    """
    demands = [demand for demand in demands if demand.per_s > 0]
    total = sum(demand.per_s for demand in demands)
    if total <= capacity_per_s:
        return {demand.account: 1.0 for demand in demands}
    kept = KEPT_SHARE * capacity_per_s / total
    left = capacity_per_s * (1 - KEPT_SHARE)
    shares = {}
    for priority in sorted({demand.priority for demand in demands}):
        group = [demand for demand in demands if demand.priority == priority]
        level = _fill_level(group, kept, left)
        for demand in group:
            share = min(1.0, max(kept, level / demand.per_s))
            shares[demand.account] = share
            left -= demand.per_s * (share - kept)
        left = max(0.0, left)
    return shares


def _fill_level(group, kept, left):
    """Returns the room of each account at which ``left`` is used up.

    An account gets nothing of it below what it keeps, and nothing above its demand.
    """
    # Between these points the room in use grows linearly with the level.
    points = sorted(
        [(kept * demand.per_s, 1) for demand in group]
        + [(demand.per_s, -1) for demand in group]
    )
    level, growing = 0.0, 0
    for point, change in points:
        step = (point - level) * growing
        if step > left:
            return level + left / growing
        left -= step
        level = point
        growing += change
    return level


class FairRoom:
    """The share of the requests of each account that is to be admitted.

    The leader of the control group has one for all hosts; a host without word of the
    leader uses one for itself. ``priorities()`` returns those of the accounts that
    override the priorities of routes.

    For example, an account asks for more than searchers serve::

        room = FairRoom()
        use = AccountUse(account="acme", asked=100, served=50, no_room=50)
        room.on_uses("host-1", [use], 0.5)
        room.room_share("acme", 1.0)      # 0.5
    """

    def __init__(
        self,
        *,
        priorities: Callable[[], Mapping[str, int]] = dict,
        window_s: float = WINDOW_S,
        min_failed: int = MIN_FAILED,
    ):
        self.priorities = priorities
        self.totals = AccountTotals(window_s=window_s)
        self.min_failed = min_failed
        self.capacity_per_s = None  # while there is a shortage
        self.shares = {}  # account -> share, if below 1
        self.demands = {}  # account -> mean requests a second, during a shortage
        self.reviewed_at = float("-inf")
        self.lowered_at = float("-inf")

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_short(self) -> bool:
        """Whether upstreams cannot serve all requests."""
        return self.capacity_per_s is not None

    def room_share(self, account: str, now: float) -> float:
        """Returns the share of the account's requests to admit, 1 for all."""
        self._review(now)
        return self.shares.get(account, 1.0)

    # ---- Events -------------------------------------------------------------------

    def on_uses(self, host_id: str, uses: Iterable[AccountUse], now: float):
        """Records what a host reports."""
        self.totals.record(host_id, uses, now)
        self._review(now)

    # ---- Decision -----------------------------------------------------------------

    def _review(self, now):
        elapsed_s = now - self.reviewed_at
        if elapsed_s < REVIEW_INTERVAL_S:
            return
        self.reviewed_at = now
        if not self.is_short and self.totals.no_room < self.min_failed:
            return
        totals = self.totals.totals(now)
        served = sum(total.served_per_s for total in totals)
        failed = sum(total.no_room_per_s for total in totals)
        demand = sum(total.demand_per_s for total in totals)
        self._update_capacity(served, failed, demand, now)
        self.demands = self._mean_demands(totals, elapsed_s) if self.is_short else {}
        self.shares = self._shares() if self.is_short else {}

    def _update_capacity(self, served, failed, demand, now):
        finished = served + failed
        failed_share = failed / finished if finished else 0.0
        if not self.is_short:
            if failed_share > START_FAILED_SHARE:
                self.capacity_per_s = demand
                self._lower(served, demand, now)
            return
        settled = now - self.lowered_at >= self.totals.window_s + SETTLE_S
        if failed_share > HIGH_FAILED_SHARE and settled:
            self.capacity_per_s = min(self.capacity_per_s, demand)
            self._lower(served, demand, now)
        elif failed_share < LOW_FAILED_SHARE:
            self.capacity_per_s *= RAISE_FACTOR
        self.capacity_per_s = max(self.capacity_per_s, served)
        if settled and self.capacity_per_s > END_FACTOR * demand:
            self.capacity_per_s = None

    def _lower(self, served, demand, now):
        least = max(MAX_CUT_FACTOR * self.capacity_per_s, MIN_CAPACITY_SHARE * demand)
        self.capacity_per_s = min(self.capacity_per_s, max(served, least))
        self.lowered_at = now

    def _mean_demands(self, totals, elapsed_s):
        """Returns the mean demand of each account that has reports."""
        weight = 1.0 - math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        means = {}
        for total in totals:
            mean = self.demands.get(total.account, 0.0 if self.demands else None)
            if mean is None:
                mean = total.demand_per_s
            means[total.account] = mean + weight * (total.demand_per_s - mean)
        return means

    def _shares(self):
        priorities = self.priorities()
        demands = [
            AccountDemand(
                account=account,
                per_s=per_s,
                priority=priorities.get(account, DEFAULT_PRIORITY),
            )
            for account, per_s in self.demands.items()
        ]
        shares = fair_shares(demands, self.capacity_per_s)
        return {account: share for account, share in shares.items() if share < 1.0}
