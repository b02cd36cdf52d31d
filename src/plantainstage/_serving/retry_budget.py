"""The budget of extra arrivals at a service that all entry hosts share.

Extra are hedges, repeats and repeats of what a searcher rejected. In any window
of all hosts together they stay within ``ratio`` times the requests for the
service plus ``slack``. Each host holds a token bucket: it gains ``ratio`` of a
token a request and holds at most its share of the slack, so that no window sees
more than the share plus the ratio of the host's own requests. The sum over the
hosts is the bound, without any message between them.
"""

from dataclasses import dataclass

RATIO_MARGIN = 0.9  # requests that fail before they arrive are not extra twice
SLACK_MARGIN = 0.8  # a restarted host and the one before it share a window


@dataclass(frozen=True, kw_only=True)
class BudgetTerms:
    """The bound: ``ratio`` of the requests plus ``slack`` in each window."""

    ratio: float = 0.2
    slack: float = 50.0


class RetryBudget:
    """The share of one host in the budget of one service.

    It starts empty: the host that ran here before may have spent its slack in the
    same window. For example::

        budget = RetryBudget(terms=BudgetTerms(ratio=0.2, slack=56), hosts=8)
        budget.note_request()
        budget.take()      # False until enough requests have come
    """

    def __init__(self, *, terms: BudgetTerms, hosts: int):
        self.terms = terms
        self.hosts = max(1, hosts)
        self.tokens = 0.0

    @property
    def capacity(self):
        """The largest number of tokens held."""
        return max(1.0, self.terms.slack * SLACK_MARGIN / self.hosts)

    def note_request(self):
        """Counts one request for the service."""
        self.tokens = min(self.capacity, self.tokens + self.terms.ratio * RATIO_MARGIN)

    def take(self, *, rank: float = 0.0) -> bool:
        """Takes one extra arrival; false when none is left for this ``rank``.

        Ranks run from 0 to 1. When extra arrivals are scarce the tokens are low and
        only requests of low rank get any. A request to many shards has one rank at
        all of them, so that those few are completed, instead of each request
        getting a part of what it needs.
        """
        if self.tokens < 1.0 + rank * (self.capacity - 1.0):
            return False
        self.tokens -= 1.0
        return True

    def give_back(self):
        """Returns one that was taken but never left this host."""
        self.tokens = min(self.capacity, self.tokens + 1.0)
