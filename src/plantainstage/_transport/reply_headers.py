"""Heads and header lines of replies, parsed once by tornado and remembered.

The heads of a searcher's replies recur, since the date changes once a second
and lengths differ little. tornado takes 40 microseconds to check and split five
lines, a quarter of a sub-request's CPU target. Where a head has a line that is
unique to it, the other lines still need not be parsed.
"""

from functools import lru_cache

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders

MAX_CACHED_LINES = 2048
MAX_LINE_CHARACTERS = 256  # longer lines hardly recur and would take memory
MAX_CACHED_HEADS = 1024
MAX_HEAD_BYTES = 1024


def _parse_line(line):
    """Returns what tornado reads from a line; raises HTTPInputError."""
    headers = HTTPHeaders()
    headers.parse_line(line)
    return tuple(headers.get_all())


_parse_line_cached = lru_cache(maxsize=MAX_CACHED_LINES)(_parse_line)


class ReplyHeaders(HTTPHeaders):
    """tornado's headers, with parsed lines remembered."""

    def parse_line(self, line, **flags):
        """Adds a header line; raises HTTPInputError as tornado does."""
        parse = _parse_line_cached if len(line) <= MAX_LINE_CHARACTERS else _parse_line
        for name, value in parse(line):
            if name in self:
                self.add(name, value)
            else:
                self[name] = value


def _parse_head(data):
    # As in tornado, except for the class of the headers.
    text = data.decode("latin1").lstrip("\r\n")
    end = text.find("\n")
    return text[:end].rstrip("\r"), ReplyHeaders.parse(text[end:])


_parse_head_cached = lru_cache(maxsize=MAX_CACHED_HEADS)(_parse_head)


class ReplyConnection(HTTP1Connection):
    """tornado's connection class, which reads headers as ReplyHeaders.

    Replies with the same head share one ReplyHeaders, which nobody changes.
    """

    def _parse_headers(self, data):
        # Were the method renamed in tornado, its own would be used, only slower.
        parse = _parse_head_cached if len(data) <= MAX_HEAD_BYTES else _parse_head
        return parse(data)
