"""Sums what entry hosts report on client accounts, over a short sliding time.

The leader of the control group keeps these totals in memory. They show the operator
who asks for how much, and fair sharing of scarce capacity decides from them. This
handles accounts whose requests are spread over many hosts: no host alone sees that an
account asks for many times its usual demand.

Memory is bounded by the number of accounts and hosts, not by their product: the hosts
of an account are bits of one integer.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from plantainstage._messages.serving import AccountUse

WINDOW_S = 2.0
BUCKETS = 4  # in a window
# A configuration has at most 20,000 accounts; requests without one have no name.
MAX_ACCOUNTS = 20_001
# Longer than the two windows for which the bit of a host may be set.
HOST_SILENCE_WINDOWS = 5
MAX_HOSTS = 10_000


@dataclass(frozen=True, kw_only=True)
class AccountTotal:
    """What callers of one account asked for and got, a second over all hosts.

    ``no_room_per_s`` counts requests that upstreams could not serve for lack of room,
    ``over_share_per_s`` those refused since the account was over its share.
    ``hosts`` is the number of hosts that reported requests, ``age_s`` the time since
    the last such report.
    """

    account: str
    asked_per_s: float
    served_per_s: float
    over_quota_per_s: float
    no_room_per_s: float
    over_share_per_s: float
    hosts: int
    age_s: float

    @property
    def demand_per_s(self):
        """Requests within the quota, including retries."""
        return max(0.0, self.asked_per_s - self.over_quota_per_s)


@dataclass(kw_only=True)
class _Counts:
    asked: int = 0
    served: int = 0
    over_quota: int = 0
    no_room: int = 0
    over_share: int = 0

    def add(self, other, sign=1):
        self.asked += sign * other.asked
        self.served += sign * other.served
        self.over_quota += sign * other.over_quota
        self.no_room += sign * other.no_room
        self.over_share += sign * other.over_share


@dataclass(kw_only=True)
class _Account:
    sums: _Counts = field(default_factory=_Counts)  # over the window
    reported_at: float = 0.0
    hosts: int = 0  # bits of the hosts in this window
    earlier_hosts: int = 0  # and in the one before


@dataclass(kw_only=True)
class _Bucket:
    began_at: float
    counts: dict = field(default_factory=dict)  # account -> _Counts


class AccountTotals:
    """Totals by account over the last ``window_s`` seconds.

    For example, for an account with requests at two hosts::

        totals = AccountTotals()
        totals.record("host-1", [AccountUse(account="acme", asked=3, served=3)], 0.0)
        totals.record("host-2", [AccountUse(account="acme", asked=1, served=1)], 0.1)
        totals.totals(0.5)[0].hosts      # 2
    """

    def __init__(self, *, window_s: float = WINDOW_S):
        self.window_s = window_s
        self.accounts = {}  # name -> _Account
        self.no_room = 0  # of all accounts in the window
        self.buckets = deque()
        self.host_bits = {}  # host id -> bit number
        self.host_seen_at = {}  # host id -> time, least recent first
        self.free_bits = []
        self.rotated_at = 0.0

    # ---- Commands -----------------------------------------------------------------

    def record(self, host_id: str, uses: Iterable[AccountUse], now: float):
        """Adds what a host saw since its last report."""
        self._forget(now)
        bit = self._bit_of(host_id, now)
        bucket = self._bucket(now)
        for use in uses:
            account = self._account(use.account)
            if account is None:
                continue
            account.reported_at = now
            account.hosts |= bit
            account.sums.add(use)
            self.no_room += use.no_room
            bucket.counts.setdefault(use.account, _Counts()).add(use)

    def _account(self, name):
        account = self.accounts.get(name)
        if account is None and len(self.accounts) < MAX_ACCOUNTS:
            account = self.accounts[name] = _Account()
        return account

    def _bucket(self, now):
        length_s = self.window_s / BUCKETS
        if not self.buckets or now >= self.buckets[-1].began_at + length_s:
            self.buckets.append(_Bucket(began_at=now))
        return self.buckets[-1]

    def _bit_of(self, host_id, now):
        """Returns the bit of a host, 0 if there are too many hosts to count."""
        self.host_seen_at.pop(host_id, None)
        number = self.host_bits.get(host_id)
        if number is None:
            if len(self.host_bits) >= MAX_HOSTS:
                return 0
            number = self.free_bits.pop() if self.free_bits else len(self.host_bits)
            self.host_bits[host_id] = number
        self.host_seen_at[host_id] = now
        return 1 << number

    # ---- Forgetting ---------------------------------------------------------------

    def _forget(self, now):
        while self.buckets and now - self.buckets[0].began_at >= self.window_s:
            for name, counts in self.buckets.popleft().counts.items():
                self.accounts[name].sums.add(counts, sign=-1)
                self.no_room -= counts.no_room
        if now - self.rotated_at >= self.window_s:
            self._rotate(now)

    def _rotate(self, now):
        """Starts a new window for the hosts, and drops what has become silent."""
        is_recent = now - self.rotated_at < 2 * self.window_s
        self.rotated_at = now
        for name, account in list(self.accounts.items()):
            account.earlier_hosts = account.hosts if is_recent else 0
            account.hosts = 0
            # After two windows no bucket has counts of the account.
            if now - account.reported_at > 2 * self.window_s:
                del self.accounts[name]
        silent_since = now - HOST_SILENCE_WINDOWS * self.window_s
        while self.host_seen_at:
            host_id, seen_at = next(iter(self.host_seen_at.items()))
            if seen_at > silent_since:
                return
            del self.host_seen_at[host_id]
            self.free_bits.append(self.host_bits.pop(host_id))

    # ---- Queries ------------------------------------------------------------------

    def totals(self, now: float) -> list[AccountTotal]:
        """Returns the totals of all accounts with reports in the last two windows."""
        self._forget(now)
        covered_s = self._covered_s(now)
        return [
            self._total(name, account, covered_s, now)
            for name, account in self.accounts.items()
        ]

    def _covered_s(self, now):
        """Returns the time that the buckets cover; a short one counts as a whole."""
        least_s = self.window_s / BUCKETS
        if not self.buckets:
            return least_s
        return max(least_s, now - self.buckets[0].began_at)

    def _total(self, name, account, covered_s, now):
        sums = account.sums
        return AccountTotal(
            account=name,
            asked_per_s=sums.asked / covered_s,
            served_per_s=sums.served / covered_s,
            over_quota_per_s=sums.over_quota / covered_s,
            no_room_per_s=sums.no_room / covered_s,
            over_share_per_s=sums.over_share / covered_s,
            hosts=(account.hosts | account.earlier_hosts).bit_count(),
            age_s=now - account.reported_at,
        )
