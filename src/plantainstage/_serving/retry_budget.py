"""Retry budget of a service, divided among all entry hosts.

Hedges and retries, also those after a rejection, are extra requests to searchers. In
any time window the extra requests of all hosts together stay within ``ratio`` times
the requests for the service plus ``slack``. Each host has a token bucket that gains
``ratio`` of a token per request. What it holds at most and what it starts with are
together the host's share of the slack. No window therefore sees more extra requests of
one host than this share plus ``ratio`` times its own requests, even if the host is
restarted in it. Summed over the hosts this gives the bound, without communication
between them.
"""

from dataclasses import dataclass

# Allows for requests that are counted here but fail before they reach a searcher.
RATIO_MARGIN = 0.9
# Allows for hosts that are not counted yet.
SLACK_MARGIN = 0.96
# Tokens of a new process. In a tier of many hosts each one sees few requests, and would
# otherwise have none for a large part of its life.
MAX_INITIAL_TOKENS = 1.0
# Of the host's share; the process that it replaces may have spent the rest.
INITIAL_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class RetryBudgetLimits:
    """Limit on extra requests: ``ratio`` of the requests plus ``slack`` per window."""

    ratio: float = 0.2
    slack: float = 50.0


class RetryBudget:
    """One host's share of the retry budget of a service.

    For example::

        budget = RetryBudget(limits=RetryBudgetLimits(ratio=0.2, slack=56), hosts=8)
        budget.take()      # True
        budget.take()      # False until enough requests have been counted
    """

    def __init__(self, *, limits: RetryBudgetLimits, hosts: int):
        self.limits = limits
        self.hosts = max(1, hosts)
        self.tokens = self.initial_tokens

    @property
    def slack_share(self):
        """The share of the slack that belongs to this host."""
        return self.limits.slack * SLACK_MARGIN / self.hosts

    @property
    def initial_tokens(self):
        """The number of tokens in the bucket of a new process."""
        return min(MAX_INITIAL_TOKENS, self.slack_share * INITIAL_SHARE)

    @property
    def capacity(self):
        """The maximum number of tokens in the bucket."""
        return max(1.0, self.slack_share - self.initial_tokens)

    def count_request(self):
        """Counts one request for the service."""
        self.tokens = min(self.capacity, self.tokens + self.limits.ratio * RATIO_MARGIN)

    def take(self, *, rank: float = 0.0) -> bool:
        """Takes a token for an extra request; false if none is left for ``rank``.

        Ranks range from 0 to 1. When few tokens are left, only requests of low rank
        get one. A request to many shards has the same rank at all of them: a few
        requests then get all the retries they need, instead of every request getting
        only some.
        """
        if self.tokens < 1.0 + rank * (self.capacity - 1.0):
            return False
        self.tokens -= 1.0
        return True

    def give_back(self):
        """Returns the token of an extra request that was not sent."""
        self.tokens = min(self.capacity, self.tokens + 1.0)
