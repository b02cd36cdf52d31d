"""What entry hosts and control replicas tell each other about ended searchers.

A host reports a searcher that ended while it ran a request, by the fingerprint of the
request. No host sees all of these, so replicas of control add them up.
"""

import enum
from collections.abc import Iterable

import msgspec
import xxhash


class CrashReportKind(enum.IntEnum):
    """What a report says of a request."""

    ENDED = 0  # a searcher ended while it ran the request
    ANSWERED = 1  # a searcher ran it and answered, so that it ends none
    LIFTED = 2  # an operator ended its quarantine


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One observation of one host; ``age_ms`` is how long ago it was made.

    ``searcher`` and ``started_at_ms`` name the start of the searcher that ended.
    """

    fingerprint: str
    kind: CrashReportKind
    searcher: str = ""
    started_at_ms: int = 0
    age_ms: int = 0


class SuspectedRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request under which ``ends`` searchers have ended, as seen by all hosts.

    ``proven`` tells that it is quarantined, and ``age_ms`` is how long ago the last
    searcher ended. With no ends it is suspected no longer, since a searcher has
    answered it or an operator has decided so.
    """

    fingerprint: str
    ends: int
    proven: bool = False
    age_ms: int = 0


def suspicion_digest(suspected: Iterable[SuspectedRequest]) -> int:
    """Returns a hash of what is suspected, 0 for nothing; ages do not count."""
    lines = sorted(
        f"{entry.fingerprint} {entry.ends} {entry.proven}" for entry in suspected
    )
    return xxhash.xxh32_intdigest("\n".join(lines).encode()) if lines else 0
