"""Answers to callers, and the refusals of the tier itself."""

from dataclasses import dataclass, field

from tornado import httputil

# After a rejection by busy searchers: several works of the usual length.
RETRY_BUSY_S = 0.15
# A host that has just started waits for a control replica to start or to be
# reached; a caller that comes back sooner is refused again.
RETRY_START_UP_S = 0.9
# A service without searchers hears of one within a heartbeat.
RETRY_NO_SEARCHER_S = 0.8


@dataclass(frozen=True, kw_only=True)
class Answer:
    """A final answer; ``reason`` says in the logs why it is what it is."""

    status: int
    body: bytes = b""
    headers: httputil.HTTPHeaders = field(default_factory=httputil.HTTPHeaders)
    reason: str = ""


def refusal(*, reason: str, retry_after_s: float = RETRY_BUSY_S) -> Answer:
    """Returns a 503: the request has not run and never will."""
    headers = httputil.HTTPHeaders({"Retry-After": f"{retry_after_s:.3f}"})
    return Answer(status=503, headers=headers, reason=reason)


def no_configuration(*, up_s: float) -> Answer:
    """Returns a 503 of a host that has been up for ``up_s`` without a configuration."""
    remaining_s = max(RETRY_BUSY_S, RETRY_START_UP_S - up_s)
    return refusal(reason="no_configuration", retry_after_s=remaining_s)


def no_route() -> Answer:
    """Returns a 404 for a request that the configuration has no route for."""
    return Answer(status=404, reason="no_route")


def failed(*, reason: str) -> Answer:
    """Returns a 502: the request may have run, and there is no answer."""
    return Answer(status=502, reason=reason)


def timed_out() -> Answer:
    """Returns a 504: the request may have run; its time is used up."""
    return Answer(status=504, reason="timed_out")
