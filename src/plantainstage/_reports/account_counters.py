"""Counters by client account with a bounded number of series.

A configuration may have 20,000 accounts, and a scraper keeps a series for each value of
a label. Only the ten largest and the ten worst accounts have counters of their own; all
others count together.
"""

import enum
import heapq
import time
from collections import Counter
from collections.abc import Callable

LARGEST = 10
WORST = 10
OTHER = "other"
# How often the accounts with counters of their own are chosen anew, and the weight that
# earlier requests keep: an account that was busy a minute ago is still shown.
RANKING_INTERVAL_S = 10.0
KEPT_WEIGHT = 0.8
# An account with less recent demand than this is forgotten, which bounds memory.
LEAST_DEMAND = 0.1


class AccountOutcome(enum.Enum):
    """How a request of an account ended; the value is a label."""

    SERVED = "served"
    OVER_QUOTA = "over_quota"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_LEFT = "caller_left"


MAX_SERIES = (LARGEST + WORST + 1) * len(AccountOutcome)
_UNSERVED = frozenset(
    {AccountOutcome.OVER_QUOTA, AccountOutcome.REFUSED, AccountOutcome.FAILED}
)


def account_outcome(*, reason: str, status: int) -> AccountOutcome:
    """Returns how a request ended, by the reason and the status of its answer.

    A status of 0 is that of a caller who has disconnected. For example::

        account_outcome(reason="answered", status=200)  # AccountOutcome.SERVED
    """
    if reason == "over_quota":
        return AccountOutcome.OVER_QUOTA
    if status == 0:
        return AccountOutcome.CALLER_LEFT
    if 200 <= status < 300:
        return AccountOutcome.SERVED
    if status == 503:
        return AccountOutcome.REFUSED
    return AccountOutcome.FAILED


class AccountCounters:
    """Counts requests by account and outcome in at most MAX_SERIES series.

    A request counts for its account while that account is ``named``, else for OTHER.
    The counter of an account that is named anew goes on where it ended, so that no
    counter decreases, unless the account was forgotten in between. What a counter has
    gained after the last scrape before its account is no longer named is seen later.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.ranked_at = clock()
        self.named = set()
        self.counts = Counter()  # (label, outcome) -> requests
        self.demand = Counter()  # account -> recent requests
        self.unserved = Counter()  # account -> recent requests refused or failed

    def count(self, account: str, outcome: AccountOutcome):
        """Counts one request of an account."""
        if self.clock() - self.ranked_at >= RANKING_INTERVAL_S:
            self._rank()
        self.demand[account] += 1
        if outcome in _UNSERVED:
            self.unserved[account] += 1
        self.counts[self._label(account), outcome] += 1

    def series(self) -> list[tuple[str, AccountOutcome, int]]:
        """Returns the label, the outcome and the count of each series."""
        labels = self.named | {OTHER}
        return [(*key, n) for key, n in self.counts.items() if key[0] in labels]

    def _label(self, account):
        if account in self.named:
            return account
        if len(self.named) < LARGEST + WORST and account != OTHER:
            self.named.add(account)
            return account
        return OTHER

    def _rank(self):
        """Chooses the named accounts by their recent requests."""
        self.ranked_at = self.clock()
        worst = _highest(self.unserved, WORST, but=set())
        # Places that no account takes by its refusals go to large accounts.
        places = LARGEST + WORST - len(worst)
        self.named = worst | _highest(self.demand, places, but=worst)
        self.demand = _decayed(self.demand)
        self.unserved = _decayed(self.unserved)
        self._forget()

    def _forget(self):
        known = self.named | self.demand.keys() | {OTHER}
        kept = {key: n for key, n in self.counts.items() if key[0] in known}
        self.counts = Counter(kept)


def _highest(scores, number, *, but):
    """Returns the accounts with the highest scores, without those in ``but``."""
    candidates = [
        (-score, account)
        for account, score in scores.items()
        if account not in but and account != OTHER
    ]
    return {account for _, account in heapq.nsmallest(number, candidates)}


def _decayed(scores):
    decayed = {account: score * KEPT_WEIGHT for account, score in scores.items()}
    return Counter(
        {account: score for account, score in decayed.items() if score >= LEAST_DEMAND}
    )
