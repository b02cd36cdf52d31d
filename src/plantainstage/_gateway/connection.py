"""A connection to one searcher that carries whole requests of callers."""

import re

from plantainstage._gateway.messages import LoadReport, SearcherReply
from plantainstage._transport.http_connection import HttpConnection, ReplyReader

KEEP_ALIVE_MARGIN_S = 0.5  # a request may cross the searcher's close
# Idle connections without a stated time-out; searchers close them after a while.
DEFAULT_IDLE_S = 4.0
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


class SearcherReplyReader(ReplyReader):
    """Collects a reply with its headers.

    A reply that echoes another request's id is foreign: a searcher may send an
    extra reply late, in the place of the next one.
    """

    def __init__(self, *, names, request_id):
        super().__init__(None)
        self.names = names
        self.request_id = request_id
        self.reason = ""
        self.headers = None

    def headers_received(self, start_line, headers):
        super().headers_received(start_line, headers)
        self.reason = start_line.reason
        self.headers = headers

    def is_foreign(self):
        """Whether the reply names another request."""
        echoed = self.headers.get(self.names.request_id)
        return echoed is not None and echoed != self.request_id

    def reply(self):
        """Returns the SearcherReply."""
        headers = self.headers
        return SearcherReply(
            status=self.status,
            reason=self.reason,
            headers=headers,
            body=b"".join(self.chunks),
            signature=headers.get(self.names.signature, ""),
            not_executed=self.names.not_executed in headers,
            load=LoadReport.parse(headers.get(self.names.load, "")),
        )

    def idle_limit_s(self):
        """How long the connection may be idle before it is not used again."""
        match = _KEEP_ALIVE_TIMEOUT.search(self.headers.get("Keep-Alive", ""))
        if match is None:
            return DEFAULT_IDLE_S
        return max(0.0, int(match.group(1)) - KEEP_ALIVE_MARGIN_S)


class SearcherConnection(HttpConnection):
    """A connection with the time until which it may be used again."""

    usable_until = float("inf")

    @property
    def reusable(self):
        """Whether another request may be sent; bytes nobody asked for forbid it."""
        return not self.closed and not self.busy and not self.stream.buffer
