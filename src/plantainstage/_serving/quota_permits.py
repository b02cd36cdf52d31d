"""The permits of one entry host for the requests of client accounts.

A host admits requests with permits that the leader of the control group has granted.
One without permits asks the leader. Without contact to a leader, permits lapse and the
host goes on for a while at the rate that the leader has reserved for it.

Times are those of a clock that includes suspended time, since permits lapse while a
machine is suspended (``CLOCK_BOOTTIME`` in the program).
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from plantainstage._messages.serving import (
    AccountsReply,
    AccountsRequest,
    AccountUse,
)
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.configuration import ClientAccount
from plantainstage._serving.host_account import HostAccount

REPORT_INTERVAL_S = 0.3
# For accounts of which the host keeps no permits, since those that were used at once
# count as outstanding until they are reported.
SOON_INTERVAL_S = 0.1
# Between calls, so that a host without permits does not flood the leader.
MIN_REPORT_GAP_S = 0.005
RETRY_GAP_S = 0.05  # after a call that failed
# A reply counts only within this time: the leader derives from it how early a host may
# begin to use its reservation.
REPLY_LIMIT_S = 0.2
WAIT_S = 0.05  # for permits, by a request that finds none
LAPSE_AFTER_S = 3.0  # without contact
RESERVATION_FROM_S = 1.0
RESERVATION_UNTIL_S = 6.0
# Callers refused without a leader; another leader is elected within about this time.
RETRY_NO_LEADER_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Permit:
    """Admits one request. ``era`` is -1 if there is nothing to give back."""

    account: str
    era: int = -1


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may run."""

    permit: Permit


@dataclass(frozen=True, kw_only=True)
class Waiting:
    """The leader has to be asked; see ``admit_waiting``."""


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The request is over the quota, as far as the host can tell."""

    retry_after_s: float


Admission = Admitted | Waiting | Refused


@dataclass(frozen=True, kw_only=True)
class SentReport:
    """A report without a reply so far, which is sent again until it has one."""

    request: AccountsRequest
    sent_at: float


class QuotaPermits:
    """Decides on requests of accounts, and what the leader is told.

    For example::

        match permits.admit("acme", now):
            case Admitted(permit=permit): ...
            case Waiting(): ...      # report, then ``admit_waiting``
            case Refused(retry_after_s=retry_s): ...
    """

    lapse_after_s = LAPSE_AFTER_S

    def __init__(
        self,
        *,
        host_id: str,
        process: str,
        bounds: QuotaBounds,
        seed: int | None = None,
    ):
        self.host_id = host_id
        self.process = process
        self.bounds = bounds
        self.random = random.Random(seed)
        self.known = {}  # name -> ClientAccount
        self.accounts = {}  # name -> HostAccount, of those seen lately
        self.room_shares = {}  # name -> share of the account, as the last reply states
        self.ledger = ""
        self.number = 0
        self.pending = None  # SentReport
        self.contact_at = -math.inf  # when the last answered report was sent
        self.tried_at = -math.inf
        self.reported_all_at = -math.inf
        self.is_lost = False  # whether the last call failed

    # ---- Queries ------------------------------------------------------------------

    def contact_age_s(self, now: float) -> float:
        """Returns the time since the last contact with a leader."""
        return now - self.contact_at

    def held(self, name: str) -> int:
        """Returns how many permits the host holds."""
        account = self.accounts.get(name)
        return 0 if account is None else account.held

    def report_wait_s(self, now: float) -> float | None:
        """Returns when the next report is due, or None while there is nothing to tell.

        It is due at once if requests wait for permits. A first report, which may be
        empty, connects the host before the first request needs a permit.
        """
        has_news = any(account.has_news for account in self.accounts.values())
        is_first = bool(self.known) and math.isinf(self.contact_at)
        if self.pending is None and not has_news and not is_first:
            return None
        return max(0.0, self._report_due_at() - now)

    def _report_due_at(self):
        accounts = self.accounts.values()
        gap_s = RETRY_GAP_S if self.is_lost else MIN_REPORT_GAP_S
        earliest = self.tried_at + gap_s
        if any(account.waiting for account in accounts):
            return earliest
        if self.pending is not None:
            return self.tried_at + REPORT_INTERVAL_S
        due_at = self.reported_all_at + REPORT_INTERVAL_S
        if any(account.needs_soon for account in accounts):
            due_at = min(due_at, self.tried_at + SOON_INTERVAL_S)
        return max(due_at, earliest)

    # ---- Requests -----------------------------------------------------------------

    def set_accounts(self, accounts: Mapping[str, ClientAccount], now: float):
        """Puts the accounts of a configuration in force."""
        for name in set(self.accounts) - set(accounts):
            del self.accounts[name]
        for name, account in self.accounts.items():
            if account.quota != accounts[name]:
                account.change_quota(accounts[name])
        self.known = accounts

    def admit(self, name: str, now: float) -> Admission:
        """Decides on a new request of an account."""
        account = self._account(name, now)
        account.count_asked(now)
        if not account.quota.has_quota:
            return Admitted(permit=Permit(account=name))
        self.expire(now)
        if account.take():
            return _admitted(account)
        if self._is_without_leader(now):
            return self._admit_reserved(account, now)
        if now < account.denied_until:
            return self._refuse(account, now)
        account.waiting += 1
        return Waiting()

    def admit_waiting(self, name: str, now: float, *, is_last: bool) -> Admission:
        """Decides on a request that waits, for good if ``is_last``."""
        account = self._account(name, now)
        if not account.waiting:
            return Refused(retry_after_s=MIN_REPORT_GAP_S)  # the account is a new one
        self.expire(now)
        account.waiting -= 1
        if not account.quota.has_quota:
            return Admitted(permit=Permit(account=name))
        if account.take():
            return _admitted(account)
        if self._is_without_leader(now):
            return self._admit_reserved(account, now)
        if is_last or now < account.denied_until:
            return self._refuse(account, now)
        account.waiting += 1
        return Waiting()

    def drop_waiting(self, name: str):
        """Forgets a waiting request, whose caller has left."""
        account = self.accounts.get(name)
        if account is not None and account.waiting:
            account.waiting -= 1

    def return_surplus(self):
        """Gives back what the host should not keep, once no request waits for it."""
        for account in self.accounts.values():
            account.return_surplus()

    def give_back(self, permit: Permit):
        """Returns the permit of a request that no searcher has received."""
        account = self.accounts.get(permit.account)
        if account is not None and permit.era >= 0:
            account.give_back(permit.era)

    def count_room_uses(self, uses: Iterable[AccountUse], now: float):
        """Counts what the host saw of accounts as far as capacity decides."""
        for use in uses:
            if not use.account or use.account in self.known:
                self._account(use.account, now).count_room_use(use)

    def take_room_shares(self) -> dict[str, float]:
        """Returns the shares of accounts that the last reply stated, once."""
        shares, self.room_shares = self.room_shares, {}
        return shares

    def expire(self, now: float):
        """Drops all permits if there was no contact for too long."""
        age_s = self.contact_age_s(now)
        if age_s >= self.lapse_after_s:
            for account in self.accounts.values():
                if account.held:
                    account.lapse()
        if age_s >= RESERVATION_UNTIL_S:
            for account in self.accounts.values():
                account.reserved_per_s = 0.0
                account.reserved = None

    # ---- Reports ------------------------------------------------------------------

    def start_report(self, now: float) -> AccountsRequest:
        """Returns the report to send now; the last one again if it has no reply."""
        self.expire(now)
        self.tried_at = now
        if self.pending is None:
            self.number += 1
            self.pending = SentReport(request=self._request(now), sent_at=now)
        else:
            request = self._without_ended(self.pending.request)
            self.pending = SentReport(request=request, sent_at=now)
        return self.pending.request

    def _without_ended(self, request):
        """Returns a report without reservations that have ended since it was made.

        A new ledger would take them over, and grant their rate beside hosts that have
        got it in the meantime.
        """
        uses = []
        for use in request.uses:
            account = self.accounts.get(use.account)
            current = 0.0 if account is None else account.reserved_per_s
            reserved_per_s = min(use.reserved_per_s, current)
            uses.append(msgspec.structs.replace(use, reserved_per_s=reserved_per_s))
        return msgspec.structs.replace(request, uses=tuple(uses))

    def apply_reply(self, reply: AccountsReply, now: float) -> bool:
        """Puts a reply in force; returns whether it answers the report in time."""
        pending = self.pending
        if pending is None or reply.number != pending.request.number:
            return False
        if now - pending.sent_at > REPLY_LIMIT_S or not reply.ledger:
            return False
        self.expire(now)
        self.pending = None
        self.contact_at = pending.sent_at
        self.ledger = reply.ledger
        self.is_lost = False
        self._apply_grants(reply, pending.request, now)
        return True

    def fail(self):
        """Records that a report got no reply in time."""
        self.is_lost = True

    def _request(self, now):
        """Returns a report on all accounts, or in between on those in need only."""
        reports_all = now - self.reported_all_at >= REPORT_INTERVAL_S
        if reports_all:
            self.reported_all_at = now
        uses = []
        for account in self.accounts.values():
            if not account.has_news:
                continue
            if reports_all or account.waiting or account.needs_soon:
                uses.append(account.use(now))
                account.clear_reported()
        return AccountsRequest(
            host_id=self.host_id,
            process=self.process,
            number=self.number,
            ledger=self.ledger,
            uses=tuple(uses),
        )

    def _apply_grants(self, reply, request, now):
        grants = {grant.account: grant for grant in reply.grants}
        for use in request.uses:
            account = self.accounts.get(use.account)
            if account is None:
                continue
            account.reserved = None
            grant = grants.get(use.account)
            self.room_shares[use.account] = 1.0 if grant is None else grant.room_share
            if grant is None:
                account.reserved_per_s = 0.0
            else:
                account.apply(grant, now)
            if account.is_forgettable:
                del self.accounts[use.account]

    # ---- Without a leader ---------------------------------------------------------

    def _is_without_leader(self, now):
        if math.isinf(self.contact_at):
            return False  # the first contact may be made at any moment
        return self.is_lost and self.contact_age_s(now) >= RESERVATION_FROM_S

    def _admit_reserved(self, account, now):
        if self.contact_age_s(now) >= RESERVATION_UNTIL_S:
            return self._refuse_without_leader(account)
        admitted = account.take_reserved(
            now,
            since=self.contact_at + RESERVATION_FROM_S,
            phase=self.random.random(),
            bounds=self.bounds,
        )
        if admitted:
            # The leader does not count it as a permit, so it cannot be given back.
            return Admitted(permit=Permit(account=account.quota.name))
        return self._refuse(account, now)

    def _refuse(self, account, now):
        account.over_quota += 1
        return Refused(retry_after_s=account.retry_after_s(now))

    def _refuse_without_leader(self, account):
        account.over_quota += 1
        return Refused(retry_after_s=RETRY_NO_LEADER_S * (0.5 + self.random.random()))

    def _account(self, name, now):
        account = self.accounts.get(name)
        if account is None:
            quota = self.known.get(name, ClientAccount(name=name))
            account = self.accounts[name] = HostAccount(quota=quota, now=now)
        return account


def _admitted(account):
    permit = Permit(account=account.quota.name, era=account.era)
    return Admitted(permit=permit)
