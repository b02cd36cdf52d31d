"""What a host admits of an account whose share of the capacity is below 1.

Load conditions, and what handles them:

- An account is over its share at many hosts that each see few of its requests:
  ``AdmissionCredit`` adds up the shares of the requests instead of drawing lots, so
  that a small account is not refused by bad luck.
- A burst of the least urgent requests: less urgent ones need more credit, so that the
  credit of an account goes to its urgent requests first. Each priority has a credit of
  its own besides, so that none is starved.
- Only some services are short: ``RouteSigns`` tells on which routes this host lacked
  room; requests of other routes are admitted.
- Refused callers come back: ``retry_after_s`` spreads them, and tells an account over
  its share to come later.
"""

from dataclasses import dataclass, field

from plantainstage._serving.account_totals import MAX_ACCOUNTS

# Part of an account's share that each of its priorities keeps.
KEPT_PRIORITY_SHARE = 0.35
# Admitted requests of a host seldom fail once the capacity is shared, so that a host
# that sees one request a second may need this time to see the next sign.
SIGN_VALIDITY_S = 30.0
# Changes of the level of a route. With their ratio, the share of admitted requests that
# are not served stays where the leader neither lowers nor raises the capacity.
LACKED_STEP = 0.5
MAX_SIGN = 1.0 + LACKED_STEP
SERVED_STEP = 0.06
# A caller with the chance ``share`` of being admitted needs 1 / share attempts, and has
# made one of them. The shares change in this interval.
RETRY_PER_ATTEMPT_S = 0.5
MAX_RETRY_S = 20.0
RETRY_SPREAD = 0.5  # the latest are told this much more
# For requests that are refused although their account is within its share.
RETRY_WITHIN_SHARE_S = 0.15
_SPREAD_STEP = 0.618034  # golden ratio: successive values are far from each other


@dataclass(kw_only=True)
class _Credit:
    level: float
    by_priority: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class _Sign:
    level: float
    at: float


class AdmissionCredit:
    """Admits requests of each account in proportion to its share.

    Each request adds its share to the credit of the account, and an admitted one uses
    1. For example, every second request at a share of one half::

        credit = AdmissionCredit()
        [credit.admit("acme", 0, share=0.5) for _ in range(6)]
        # [True, True, False, True, False, True]
    """

    def __init__(self):
        self.accounts = {}  # name -> _Credit, those first that were added first

    def admit(self, account: str, priority: int, *, share: float) -> bool:
        """Decides on a request and records the decision."""
        if share >= 1.0:
            return True
        credit = self._credit(account)
        kept = credit.by_priority.get(priority, 0.0) + KEPT_PRIORITY_SHARE * share
        ranks = sorted({*credit.by_priority, priority})
        # The least urgent priority needs a credit above that of the more urgent ones.
        needed = 1.0 + ranks.index(priority)
        credit.level = min(credit.level + share, 1.0 + len(ranks))
        is_admitted = kept >= 1.0 or credit.level >= needed
        if is_admitted:
            kept = max(0.0, kept - 1.0)
            credit.level = max(-1.0, credit.level - 1.0)
        credit.by_priority[priority] = min(kept, 1.0)
        return is_admitted

    def level(self, account: str) -> float:
        """Returns the credit of an account, for the logs."""
        credit = self.accounts.get(account)
        return 0.0 if credit is None else credit.level

    def _credit(self, account):
        credit = self.accounts.get(account)
        if credit is None:
            if len(self.accounts) >= MAX_ACCOUNTS:
                del self.accounts[next(iter(self.accounts))]
            # The first request at a host is admitted: there are too few to share.
            credit = self.accounts[account] = _Credit(level=1.0)
        return credit


class RouteSigns:
    """How much a host lacks room at the upstreams of each route, from 0 to 1.

    The shares of accounts apply to a route as far as its requests lack room. At a
    constant level, three requests in 28 are not served for lack of room. A single such
    request changes nothing: pauses of searchers cause some at any time.
    """

    def __init__(self):
        self.signs = {}  # route -> _Sign

    def lacked_room(self, route: str, now: float):
        """Records that a request of the route was not served for lack of room."""
        level = min(MAX_SIGN, self._sign(route, now) + LACKED_STEP)
        self.signs[route] = _Sign(level=level, at=now)

    def served(self, route: str, now: float):
        """Records that an admitted request of the route was served."""
        if route in self.signs:
            level = max(0.0, self._sign(route, now) - SERVED_STEP)
            self.signs[route] = _Sign(level=level, at=now)

    def level(self, route: str, now: float) -> float:
        """Returns the level of a route, 0 if it has room."""
        return max(0.0, self._sign(route, now) - LACKED_STEP)

    def _sign(self, route, now):
        sign = self.signs.get(route)
        if sign is None:
            return 0.0
        if sign.level <= 0.0 or now - sign.at >= SIGN_VALIDITY_S:
            del self.signs[route]
            return 0.0
        return sign.level


class RetrySpread:
    """Values from 0 to 1 that are evenly spread, from ``phase`` on."""

    def __init__(self, *, phase: float = 0.0):
        self.value = phase

    def next(self) -> float:
        """Returns the next value."""
        self.value = (self.value + _SPREAD_STEP) % 1.0
        return self.value


def retry_after_s(*, share: float, spread: float, waited_s: float = 0.0) -> float:
    """Returns when a refused caller should come back.

    It is earlier for a caller that has waited already, and after 0.15 to 0.225 s for
    an account that is within its share (``share`` is 1)::

        retry_after_s(share=0.25, spread=0.0)      # 1.5
    """
    factor = 1.0 + RETRY_SPREAD * spread
    if share >= 1.0:
        return RETRY_WITHIN_SHARE_S * factor
    attempts_s = RETRY_PER_ATTEMPT_S * (1.0 / max(share, 1e-3) - 1.0)
    return (
        max(2 * RETRY_WITHIN_SHARE_S, min(MAX_RETRY_S, attempts_s) - waited_s) * factor
    )
