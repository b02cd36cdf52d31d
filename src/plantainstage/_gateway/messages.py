"""Types for requests of callers, replies of searchers and outcomes of calls."""

import enum
from dataclasses import dataclass
from functools import cached_property

from tornado import httputil

from plantainstage._gateway.header_names import HOP_BY_HOP, HeaderNames
from plantainstage._gateway.key_checks import AUTHORIZATION, UNCHECKED, Caller
from plantainstage._gateway.relay_headers import (
    RELAY_HEADERS,
    RELAY_NOT_RUN,
    RelayOrigin,
)
from plantainstage._limits.quarantine_times import fingerprint_of
from plantainstage._serving.configuration import Route
from plantainstage._serving.decimals import StatedNumber, parse_count

STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500  # and above
STATUS_UNAVAILABLE = 503
MAX_DEADLINE_MS = 3_600_000


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """One request of a caller; times are on the event loop's clock.

    ``origin`` is the host that passed it on, if it did not come from the caller.
    ``account`` is the name of the client account, empty if its key was checked and
    identifies none, and None without accounts; ``priority`` is that of the account.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    request_id: str
    deadline_ms: int | None
    received_at: float
    origin: RelayOrigin | None = None
    account: str | None = None
    priority: int | None = None

    @classmethod
    def of(
        cls,
        *,
        start_line,
        headers,
        body,
        names: HeaderNames,
        received_at,
        origin: RelayOrigin | None = None,
        caller: Caller = UNCHECKED,
    ):
        """Builds a request and reads its id and deadline from the headers."""
        return cls(
            method=start_line.method,
            target=start_line.path,
            headers=headers,
            body=body,
            request_id=headers.get(names.request_id, ""),
            deadline_ms=_deadline_of(headers.get(names.deadline, "")),
            received_at=received_at,
            origin=origin,
            account=caller.account,
            priority=caller.priority,
        )

    def priority_on(self, route: Route) -> int:
        """Returns the priority of the account, or else that of the route."""
        return route.priority if self.priority is None else self.priority

    @cached_property
    def fingerprint(self) -> str:
        """A hash of host, method, path, caller and body, the same for a resend.

        The caller is the client account, or without accounts whom the request
        authorises. Both hosts compute the same for a request that is passed on.
        """
        caller = self.account
        if caller is None:
            caller = self.headers.get(AUTHORIZATION, "")
        named = [
            self.headers.get("Host", "").lower(),
            self.method,
            self.target,
            caller,
        ]
        return fingerprint_of(*(part.encode() for part in named), self.body)


def _deadline_of(text):
    if not text.isascii() or not text.isdigit():
        return None
    stated = parse_count(text)
    return MAX_DEADLINE_MS if stated is None else min(stated, MAX_DEADLINE_MS)


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A searcher's own load report: running requests, waiting requests and slots."""

    running: int
    waiting: int
    slots: int

    @classmethod
    def parse(cls, text):
        """Parses the header value; returns None if it is malformed."""
        counts = [parse_count(field) for field in text.split(",")[:3]]
        if len(counts) < 3 or None in counts:
            return None
        running, waiting, slots = counts
        return cls(running=running, waiting=waiting, slots=slots)


@dataclass(frozen=True, kw_only=True)
class SearcherReply:
    """A complete reply of a searcher."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders
    body: bytes
    signature: str
    not_executed: bool
    load: LoadReport | None
    rate_limit: StatedNumber | None = None
    leaving: str | None = None
    retry_after: StatedNumber | None = None
    warm_up_ms: int | None = None

    @property
    def is_success(self):
        """Whether it is a success: a 2xx reply with a searcher's signature."""
        return 200 <= self.status < 300 and bool(self.signature)

    @property
    def not_run(self):
        """Whether the searcher guarantees that it did not run the request."""
        return self.not_executed or self.status == STATUS_MISDIRECTED

    @property
    def shows_run(self):
        """Whether the searcher has run the request and lives on."""
        return not self.not_run and self.status < STATUS_SERVER_ERROR


class FailureKind(enum.Enum):
    """Why a request got no complete reply from a searcher."""

    UNREACHABLE = "unreachable"  # nothing was sent
    BROKEN = "broken"  # bytes were sent; the request may have run
    ABANDONED = "abandoned"  # cancelled by this host


@dataclass(frozen=True, kw_only=True)
class CallFailure:
    """A request that got no complete reply."""

    kind: FailureKind
    reason: str

    @property
    def not_run(self):
        """Whether it is certain that no searcher ran the request."""
        return self.kind is FailureKind.UNREACHABLE


CallOutcome = SearcherReply | CallFailure


def request_head(request: CallerRequest, names: HeaderNames) -> bytes:
    """Returns the request line and the headers that are the same for all searchers.

    tornado's parser has validated the values on receipt, so none contains a line
    break. The head is formatted once per request instead of once per shard. The name of
    the client account is this tier's own; a key that was checked goes no further.
    """
    dropped = HOP_BY_HOP | _named_by_connection(request.headers) | RELAY_HEADERS
    dropped |= {
        "Content-Length",
        names.deadline,
        names.expected_searcher,
        names.account,
    }
    if request.account is not None:
        dropped |= {AUTHORIZATION}
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in request.headers.get_all()
        if name not in dropped
    ]
    if request.account:
        lines.append(f"{names.account}: {request.account}")
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n").encode("latin1")


def _named_by_connection(headers):
    listed = headers.get("Connection", "")
    return {name.strip().title() for name in listed.split(",") if name.strip()}


def addressed_request(
    *, head: bytes, body: bytes, names: HeaderNames, searcher_id: str, remaining_ms: int
) -> bytes:
    """Completes a head for one searcher, with the remaining time."""
    own = (
        f"{names.deadline}: {remaining_ms}\r\n"
        f"{names.expected_searcher}: {searcher_id}\r\n\r\n"
    )
    return head + own.encode("latin1") + body


def relayed_request(
    request: CallerRequest,
    *,
    names: HeaderNames,
    origin: RelayOrigin,
    remaining_ms: int,
) -> bytes:
    """Formats a request for the host to which it is passed on."""
    own = f"{names.deadline}: {remaining_ms}\r\n{origin.lines()}\r\n"
    return request_head(request, names) + own.encode("latin1") + request.body


def reply_headers(reply: SearcherReply, names: HeaderNames) -> httputil.HTTPHeaders:
    """Returns the headers of a searcher's reply that are forwarded to the caller."""
    dropped = HOP_BY_HOP | _named_by_connection(reply.headers)
    dropped |= {"Content-Length", names.load, names.rate_limit, names.leaving}
    dropped |= {names.warm_up, RELAY_NOT_RUN}
    kept = httputil.HTTPHeaders()
    for name, value in reply.headers.get_all():
        if name not in dropped:
            kept.add(name, value)
    return kept
