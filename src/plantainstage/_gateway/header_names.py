"""Names of the HTTP headers between callers, this tier and searchers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Header names; the defaults are those of the project's own interface.

    ``deadline`` carries the remaining time in milliseconds. ``expected_searcher``
    carries the id of the only searcher that may run a request; any other rejects it
    with 421. ``signature`` marks a reply as written by a searcher, ``not_executed``
    one that states that the request did not run. ``load`` carries the numbers of
    running requests, waiting requests and slots. ``rate_limit`` carries the requests a
    second that a searcher accepts from all hosts together, as long as it states them.
    ``leaving`` is ``1`` in all replies of a searcher that leaves. ``account`` carries
    the name of the client account to which a request belongs. ``warm_up`` carries how
    long a searcher still warms up, in milliseconds. The standard
    ``Retry-After`` of a searcher's 503 is a pause that it wants from this host alone.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Deadline-Ms"
    expected_searcher: str = "X-Expected-Searcher"
    signature: str = "X-Signature"
    part_signatures: str = "X-Part-Signatures"
    missing_parts: str = "X-Missing-Parts"
    load: str = "X-Load"
    rate_limit: str = "X-Rate-Limit"
    not_executed: str = "X-Not-Executed"
    leaving: str = "X-Leaving"
    account: str = "X-Client-Account"
    warm_up: str = "X-Warm-Up-Ms"


# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)
