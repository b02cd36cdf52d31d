"""The names that callers, searchers and this tier use in HTTP messages."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Header names; the defaults are those of the project's own interface.

    ``deadline`` holds the milliseconds that are left. ``expected_searcher`` names
    the searcher that may run a request; any other refuses it with 421.
    ``signature`` marks an answer as a searcher's own, ``not_executed`` one that
    says that nothing ran. ``load`` holds running, waiting and slots.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Deadline-Ms"
    expected_searcher: str = "X-Expected-Searcher"
    signature: str = "X-Signature"
    part_signatures: str = "X-Part-Signatures"
    missing_parts: str = "X-Missing-Parts"
    load: str = "X-Load"
    not_executed: str = "X-Not-Executed"


# Headers that concern one connection only (RFC 9110, 7.6.1).
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
