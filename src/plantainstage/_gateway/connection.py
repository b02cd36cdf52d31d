"""A connection to a searcher for complete requests of callers."""

import re

from tornado.httputil import HTTPInputError

from plantainstage._gateway.messages import LoadReport, SearcherReply
from plantainstage._serving.decimals import StatedNumber, parse_count
from plantainstage._transport.http_connection import HttpConnection, ReplyReader

# The searcher may close an idle connection while a request is on its way.
KEEP_ALIVE_MARGIN_S = 0.5
# Used if the searcher states no keep-alive timeout: it still closes connections that
# have been idle for a while.
DEFAULT_IDLE_S = 4.0
# A searcher that states more by mistake does not count as cold for longer.
MAX_WARM_UP_MS = 3_600_000
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]{1,9})")


def parse_warm_up(text: str | None) -> int | None:
    """Returns the stated milliseconds, None without a statement that can be read."""
    stated = None if text is None else parse_count(text)
    return None if stated is None else min(stated, MAX_WARM_UP_MS)


class SearcherReplyReader(ReplyReader):
    """Reads a reply with its headers.

    A reply that echoes the id of another request is mismatched: a searcher may send a
    duplicate reply late, where the reply to the next request is expected.
    """

    def __init__(self, *, names, request_id, memory):
        super().__init__(None)
        self.names = names
        self.request_id = request_id
        self.memory = memory
        self.taken_bytes = 0
        self.reason = ""
        self.headers = None

    def headers_received(self, start_line, headers):
        super().headers_received(start_line, headers)
        self.reason = start_line.reason
        self.headers = headers

    def data_received(self, chunk):
        if not self.memory.take(len(chunk)):
            raise HTTPInputError("replies use too much memory")
        self.taken_bytes += len(chunk)
        super().data_received(chunk)

    def release_memory(self):
        """Returns the memory of the reply; called once the exchange has ended.

        The reader may be referred to until the next garbage collection.
        """
        self.chunks = []
        self.memory.release(self.taken_bytes)
        self.taken_bytes = 0

    def is_mismatched(self):
        """Whether the reply echoes the id of another request."""
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
            rate_limit=self._stated_number(self.names.rate_limit),
            leaving=headers.get(self.names.leaving),
            retry_after=self._stated_number("Retry-After"),
            warm_up_ms=parse_warm_up(headers.get(self.names.warm_up)),
        )

    def _stated_number(self, name):
        text = self.headers.get(name)
        return None if text is None else StatedNumber.parse(text)

    def idle_limit_s(self):
        """Returns how long the connection may be idle and still be reused."""
        match = _KEEP_ALIVE_TIMEOUT.search(self.headers.get("Keep-Alive", ""))
        if match is None:
            return DEFAULT_IDLE_S
        return max(0.0, int(match.group(1)) - KEEP_ALIVE_MARGIN_S)


class SearcherConnection(HttpConnection):
    """A connection with the time until which it may be reused."""

    usable_until = float("inf")

    @property
    def reusable(self):
        """Whether another request may be sent; not if unread bytes have arrived."""
        return not self.closed and not self.busy and not self.stream.buffer
