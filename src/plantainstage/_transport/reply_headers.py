"""Caches of reply heads and header lines that tornado has parsed.

The heads of a searcher's replies recur, since the date changes once a second and
lengths differ little. tornado takes 40 microseconds to check and split five lines, a
quarter of a sub-request's CPU target. If one line of a head is unique, the other
lines are still taken from the cache.
"""

import re
from functools import lru_cache

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPInputError

MAX_CACHED_LINES = 2048
MAX_LINE_CHARACTERS = 256  # longer lines hardly recur and would use memory
MAX_CACHED_HEADS = 1024
MAX_HEAD_BYTES = 1024
# HTTP has the statuses 100 to 599; tornado takes any three digits.
_STATUS_LINE = re.compile(r"HTTP/1\.[0-9] [1-5][0-9]{2}( .*)?")


def _parse_line(line):
    """Returns the headers that tornado parses from a line; raises HTTPInputError."""
    headers = HTTPHeaders()
    headers.parse_line(line)
    return tuple(headers.get_all())


_parse_line_cached = lru_cache(maxsize=MAX_CACHED_LINES)(_parse_line)


class ReplyHeaders(HTTPHeaders):
    """tornado's headers, with a cache of parsed lines."""

    def parse_line(self, line, **flags):
        """Adds a header line; raises HTTPInputError as tornado does."""
        parse = _parse_line_cached if len(line) <= MAX_LINE_CHARACTERS else _parse_line
        for name, value in parse(line):
            if name in self:
                self.add(name, value)
            else:
                self[name] = value


def _parse_head(data):
    # As tornado's method, except for the class of the headers and the check.
    text = data.decode("latin1").lstrip("\r\n")
    end = text.find("\n")
    start_line = text[:end].rstrip("\r")
    if not _STATUS_LINE.fullmatch(start_line):
        raise HTTPInputError("the reply has no valid status")
    return start_line, ReplyHeaders.parse(text[end:])


_parse_head_cached = lru_cache(maxsize=MAX_CACHED_HEADS)(_parse_head)


class ReplyConnection(HTTP1Connection):
    """tornado's connection class, which reads headers as ReplyHeaders.

    A reply whose status HTTP does not have is malformed: tornado closes the connection,
    as it does for one without a status line. Replies with the same head share one
    ReplyHeaders, which must not be changed.
    """

    def _parse_headers(self, data):
        # If tornado renames this method, its own is used, which is slower and takes
        # invalid statuses; features/failures/invalid_statuses.feature then fails.
        parse = _parse_head_cached if len(data) <= MAX_HEAD_BYTES else _parse_head
        return parse(data)
