"""Bounds that all entry hosts together keep, from the settings."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class QuotaBounds:
    """How far the requests of a client account may exceed its quota.

    In any window of ``window_s`` seconds searchers run at most
    ``(rate * window_s + burst) * (1 + overage) + slack`` requests of an account.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclass(frozen=True, kw_only=True)
class WarmUpBounds:
    """How many requests a searcher that warms up gets in any second.

    From all hosts together these are at most ``rate * overage + slack``.
    """

    overage: float = 1.5
    slack: float = 5.0
