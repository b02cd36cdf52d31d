"""The leader's ledger: permits of all hosts for client accounts with a quota.

Hosts report what they used and get permits and reservations (docs/design/quotas.md).
The ledger is in memory only. A new one starts with empty buckets and learns from the
hosts' reports what an earlier ledger has given them.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from plantainstage._messages.serving import AccountGrant, AccountsRequest, AccountUse
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.configuration import ClientAccount
from plantainstage._serving.quota_account import Holding, QuotaAccount, permit_cap

# A host drops its permits 3 s after its last contact, by its own clock.
RECLAIM_AFTER_S = 4.0
# A host uses its reservation from 1 s after it sent the last report that was answered
# in time (REPLY_LIMIT_S of quota_permits); the sweep adds up to SWEEP_INTERVAL_S.
SILENT_AFTER_S = 0.7
# Reservations end 6 s after the last contact. An earlier leader may have replied until
# its last confirmation expired.
FORGET_AFTER_S = 6.5
SWEEP_INTERVAL_S = 0.1
# A host in contact reports every account that it has several times in this time.
UNUSED_AFTER_S = 2.0
# For how long the number of a host's last report is known after that: a host that was
# suspended sends a report again that has been counted.
REMEMBER_NUMBER_S = 600.0
# Without refusals for this time, a quota no longer counts as exhausted.
EXHAUSTED_FOR_S = 3.0


@dataclass(frozen=True, kw_only=True)
class QuotaChange:
    """An account whose quota has become exhausted, or no longer is."""

    account: str
    exhausted: bool


@dataclass(kw_only=True)
class UseTotals:
    """What hosts have reported of one account since the ledger began."""

    asked: int = 0
    over_quota: int = 0
    no_room: int = 0
    served: int = 0
    used: int = 0

    def add(self, use: AccountUse):
        """Counts one report."""
        self.asked += use.asked
        self.over_quota += use.over_quota
        self.no_room += use.no_room
        self.served += use.served
        self.used += use.used


@dataclass(kw_only=True)
class ReportingHost:
    """One process of an entry host. Times are those of the ledger's clock.

    ``confirmed_at`` is the arrival of the newest report whose reply the host has
    certainly received.
    """

    number: int
    arrived_at: float  # of the first copy of report ``number``
    heard_at: float  # of any copy
    confirmed_at: float
    checked_at: float  # for accounts that it no longer reports
    is_silent: bool = False
    grants: tuple[AccountGrant, ...] = ()  # the reply to report ``number``
    holdings: dict[str, Holding] = field(default_factory=dict)


class QuotaLedger:
    """Grants permits to hosts within the quotas of accounts.

    It grants only while the caller knows that it leads. For example::

        ledger = QuotaLedger(ledger_id="7-ab12", bounds=QuotaBounds(), now=0.0)
        ledger.set_accounts({"acme": ClientAccount(name="acme", rate_per_s=25)}, 0.0)
        grants = ledger.report(request, now=9.0)
    """

    account_type = QuotaAccount
    reclaim_after_s = RECLAIM_AFTER_S
    silent_after_s = SILENT_AFTER_S

    def __init__(
        self,
        *,
        ledger_id: str,
        bounds: QuotaBounds,
        now: float,
        on_uses: Callable[[str, tuple[AccountUse, ...], float], None] | None = None,
    ):
        self.ledger_id = ledger_id
        self.bounds = bounds
        self.started_at = now
        self.on_uses = on_uses  # called once for each report
        self.accounts = {}  # name -> QuotaAccount, of accounts with a quota
        self.removed = {}  # name -> time, of accounts that reservations may outlast
        self.names = frozenset()
        self.is_new = True  # until the first accounts are set
        self.totals = {}  # name -> UseTotals, also of accounts without a quota
        self.hosts = {}  # (host id, process) -> ReportingHost
        self.past_numbers = {}  # key of a forgotten host -> (number, time)
        self.swept_at = now
        self.exhausted = set()  # names
        self.changes = []

    # ---- Commands -----------------------------------------------------------------

    def set_accounts(self, accounts: Mapping[str, ClientAccount], now: float):
        """Puts the accounts of a configuration in force."""
        limited = {name: a for name, a in accounts.items() if a.has_quota}
        for name in set(self.accounts) - set(limited):
            del self.accounts[name]
            self.removed[name] = now
            self._end_exhausted(name)
            for host in self.hosts.values():
                host.holdings.pop(name, None)
        for name, quota in limited.items():
            known = self.accounts.get(name)
            if known is None:
                self.accounts[name] = self._new_account(quota, now)
            elif known.quota != quota:
                known.change_quota(quota, now)
        self.names = frozenset(accounts)
        self.totals = {n: total for n, total in self.totals.items() if n in accounts}
        self.is_new = False

    def report(self, request: AccountsRequest, now: float) -> tuple[AccountGrant, ...]:
        """Records a report and returns the grants of its reply.

        A report that is sent again gets the same reply; an older one has no effect.
        """
        self.sweep(now)
        key = (request.host_id, request.process)
        host = self.hosts.get(key)
        if host is not None and request.number < host.number:
            return ()
        if host is not None and request.number == host.number:
            host.heard_at = now
            return host.grants
        if host is None:
            host = self.hosts[key] = self._new_host(request, now)
            self._take_over(host, request, now)
        else:
            self._settle(host, request, now)
        self._count(key, request, now)
        host.grants = tuple(
            grant
            for use in request.uses
            if (grant := self._grant(host, use, now)) is not None
        )
        self._drop_unused(host, now)
        self._set_silent(host, self._is_silent(host, now), now)
        return host.grants

    def sweep(self, now: float):
        """Reclaims permits and counts reservations of hosts that are silent."""
        if now - self.swept_at < SWEEP_INTERVAL_S:
            return
        self.swept_at = now
        for key, host in list(self.hosts.items()):
            if now - host.heard_at > FORGET_AFTER_S:
                self._forget(key, host, now)
                continue
            if now - host.heard_at > self.reclaim_after_s:
                self._reclaim(host)
            if not host.is_silent and self._is_silent(host, now):
                self._set_silent(host, True, now)
        self._note_exhausted(now)
        for name, removed_at in list(self.removed.items()):
            if now - removed_at > FORGET_AFTER_S:
                del self.removed[name]
        for key, (_, forgotten_at) in list(self.past_numbers.items()):
            if now - forgotten_at > REMEMBER_NUMBER_S:
                del self.past_numbers[key]

    def take_changes(self) -> list[QuotaChange]:
        """Returns the quotas exhausted, or no longer so, since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # ---- Reports ------------------------------------------------------------------

    def _count(self, key, request, now):
        number, _ = self.past_numbers.pop(key, (0, 0.0))
        if request.number <= number:
            return
        for use in request.uses:
            if use.account in self.names:
                self.totals.setdefault(use.account, UseTotals()).add(use)
        if self.on_uses is not None:
            self.on_uses(request.host_id, request.uses, now)

    def _new_host(self, request, now):
        return ReportingHost(
            number=request.number,
            arrived_at=now,
            heard_at=now,
            checked_at=now,
            # A host may be using a reservation of an earlier ledger until it receives
            # the reply; the reservations of this ledger start with the reply.
            confirmed_at=-math.inf if self._is_young(now) else now,
        )

    def _is_young(self, now):
        return now - self.started_at < FORGET_AFTER_S

    def _take_over(self, host, request, now):
        """Counts what a host has from an earlier ledger."""
        for use in request.uses:
            account = self.accounts.get(use.account)
            if account is None:
                continue
            account.advance(now)
            holding = host.holdings[use.account] = Holding()
            account.add_demand(holding, use.asked, now)
            account.set_outstanding(holding, max(0, use.held))
            if now < account.owned_from:
                self._take_over_reservation(account, holding, use)

    def _take_over_reservation(self, account, holding, use):
        reserved = max(0.0, use.reserved_per_s)
        holding.acked = holding.told = reserved
        account.reserved += reserved
        account.reported_reserved += reserved

    def _settle(self, host, request, now):
        """Records a report of a known host, which has received the last reply."""
        self._set_silent(host, False, now)
        if request.number == host.number + 1:
            host.confirmed_at = host.arrived_at
        host.number = request.number
        host.arrived_at = host.heard_at = now
        for use in request.uses:
            account = self.accounts.get(use.account)
            if account is None:
                continue
            account.advance(now)
            holding = host.holdings.setdefault(use.account, Holding())
            account.confirm_reservation(holding)
            account.add_demand(holding, use.asked, now)
            account.settle(holding, used=use.used, held=max(0, use.held))

    def _grant(self, host, use, now):
        account = self.accounts.get(use.account)
        if account is None:
            return None
        holding = host.holdings[use.account]
        permits = account.grant(holding, use.wanted, now)
        is_denied = use.wanted > 0 and not permits
        retry_s = account.retry_after_s(holding, now) if is_denied else 0.0
        return AccountGrant(
            account=use.account,
            permits=permits,
            keep=account.keep(holding),
            retry_after_ms=math.ceil(retry_s * 1000),
            reserved_per_s=account.reserve(holding, now),
        )

    def _drop_unused(self, host, now):
        """Removes the accounts of which the host has reported nothing for a while.

        Reports in between have some accounts only, so this is checked now and then.
        """
        if now - host.checked_at < UNUSED_AFTER_S:
            return
        host.checked_at = now
        for name, holding in list(host.holdings.items()):
            if now - holding.demand_at > UNUSED_AFTER_S:
                self.accounts[name].forget(holding, is_silent=False)
                del host.holdings[name]

    # ---- Silent hosts -------------------------------------------------------------

    def _is_silent(self, host, now):
        return now - host.confirmed_at > self.silent_after_s

    def _set_silent(self, host, is_silent, now):
        if host.is_silent == is_silent:
            return
        host.is_silent = is_silent
        for name, holding in host.holdings.items():
            account = self.accounts[name]
            account.advance(now)
            account.silence(holding.reserved if is_silent else -holding.reserved)

    def _reclaim(self, host):
        """Counts the permits of a silent host as used."""
        if any(grant.permits for grant in host.grants):
            host.grants = tuple(
                msgspec.structs.replace(grant, permits=0, keep=0)
                for grant in host.grants
            )
        for name, holding in host.holdings.items():
            self.accounts[name].set_outstanding(holding, 0)

    def _forget(self, key, host, now):
        del self.hosts[key]
        self.past_numbers[key] = (host.number, now)
        for name, holding in host.holdings.items():
            account = self.accounts[name]
            account.advance(now)
            account.forget(holding, is_silent=host.is_silent)

    # ---- Accounts -----------------------------------------------------------------

    def _new_account(self, quota, now):
        """Returns an account that the configuration has had all along, or a new one.

        No host can have a reservation for an account that is new in the configuration.
        """
        owned_from, level = now, quota.burst_depth + permit_cap(quota, self.bounds)
        if self.is_new:
            owned_from, level = self.started_at + FORGET_AFTER_S, 0.0
        elif quota.name in self.removed:
            owned_from, level = self.removed[quota.name] + FORGET_AFTER_S, 0.0
        return self.account_type(
            quota=quota,
            bounds=self.bounds,
            now=now,
            owned_from=owned_from,
            level=level,
        )

    def _note_exhausted(self, now):
        for name, account in self.accounts.items():
            short = now - account.exhausted_at < EXHAUSTED_FOR_S
            if short and name not in self.exhausted:
                self.exhausted.add(name)
                self.changes.append(QuotaChange(account=name, exhausted=True))
            elif not short:
                self._end_exhausted(name)

    def _end_exhausted(self, name):
        if name in self.exhausted:
            self.exhausted.discard(name)
            self.changes.append(QuotaChange(account=name, exhausted=False))
