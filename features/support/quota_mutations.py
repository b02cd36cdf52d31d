"""Rules of the ledger and the permits, each switched off in turn.

A randomised run must find each of them; the product has no such switches.
"""

import math

from plantainstage._serving.quota_account import QuotaAccount
from plantainstage._serving.quota_ledger import QuotaLedger
from plantainstage._serving.quota_permits import QuotaPermits
from support.quota_run import Rules


class UncappedAccount(QuotaAccount):
    """Grants any number of permits in advance."""

    room = 10**6

    @property
    def depth(self):
        return self.quota.burst_depth + self.cap

    def keep(self, holding):
        return 10**6

    def grant(self, holding, wanted, now):
        return super().grant(holding, wanted + 30, now)


class UncappedLedger(QuotaLedger):
    account_type = UncappedAccount


class LastingPermits(QuotaPermits):
    """Keeps permits without contact."""

    lapse_after_s = math.inf


class HastyLedger(QuotaLedger):
    """Takes the permits of silent hosts for returned before they have lapsed."""

    reclaim_after_s = 0.2

    def _reclaim(self, host):
        for name, holding in host.holdings.items():
            account = self.accounts[name]
            account.settle(holding, used=0, held=0)
        super()._reclaim(host)


class FullAccount(QuotaAccount):
    """Holds as many tokens after a change of leader as later."""

    @property
    def depth(self):
        return max(0.0, self.quota.burst_depth + self.cap - self.outstanding)


class FullLedger(QuotaLedger):
    """Starts with full buckets after a change of leader."""

    account_type = FullAccount

    def _new_account(self, quota, now):
        account = super()._new_account(quota, now)
        account.level = account.depth
        return account


class UnreservedLedger(QuotaLedger):
    """Grants the whole rate while silent hosts use their reservations."""

    silent_after_s = math.inf

    def _new_account(self, quota, now):
        account = super()._new_account(quota, now)
        account.owned_from = -math.inf
        return account


class ForgetfulLedger(QuotaLedger):
    """Counts a report again when it is sent again or arrives out of order."""

    def report(self, request, now):
        key = (request.host_id, request.process)
        if key in self.hosts:
            self.hosts[key].number = request.number - 1
        return super().report(request, now)


MUTATIONS = {
    "the cap on outstanding permits": Rules(ledger=UncappedLedger),
    "the lapse of permits at the host": Rules(permits=LastingPermits),
    "the delay before the ledger reclaims permits": Rules(ledger=HastyLedger),
    "the empty start of a new ledger": Rules(ledger=FullLedger),
    "the reservations of silent hosts": Rules(ledger=UnreservedLedger),
    "the numbers of reports": Rules(ledger=ForgetfulLedger),
    "the confirmation of leadership": Rules(confirms=False),
    "the clock that includes suspended time": Rules(counts_suspended_time=False),
}
