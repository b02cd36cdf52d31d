"""The bound on requests to a searcher that states a rate limit."""

from collections.abc import Sequence

# By the users' rules, in any span of 4 s at most one and a half times what the limit
# allows and 5 requests.
SPAN_S = 4.0
EXCESS = 1.5
SLACK_REQUESTS = 5


def allowed_in_span(limit: float) -> float:
    """Returns how many requests a limit a second allows in any span."""
    return EXCESS * limit * SPAN_S + SLACK_REQUESTS


def most_in_span(times: Sequence[float]) -> int:
    """Returns the largest number of sorted times within any span."""
    most, first = 0, 0
    for last, time in enumerate(times):
        while time - times[first] > SPAN_S:
            first += 1
        most = max(most, last - first + 1)
    return most
