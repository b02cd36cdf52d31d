"""Reads minute records from entry hosts and from their logs.

Each source that could not be read in full is recorded as a problem, which makes
the report partial.
"""

import asyncio
from dataclasses import dataclass, field

import msgspec
from tornado.httpclient import HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from plantainstage._reports.minute_log import MINUTE_EVENT
from plantainstage._reports.recorder import KEPT_MINUTES
from plantainstage._reports.records import (
    DamagedHistogramError,
    HostMinute,
    HostMinutes,
    decode_histogram,
)

MAX_REPLY_BYTES = 256 * 1024 * 1024  # 180 minutes of 512 profiles
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_CONCURRENT_FETCHES = 16
_MINUTE_EVENT_BYTES = MINUTE_EVENT.encode()
_reply_decoder = msgspec.json.Decoder(HostMinutes)


class SourceProblem(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A source that could not be read, or only in part."""

    source: str
    reason: str


class _LogLine(msgspec.Struct, frozen=True, kw_only=True):
    event: str = ""
    minute: HostMinute | None = None


_line_decoder = msgspec.json.Decoder(_LogLine)


@dataclass(kw_only=True)
class MinuteCollection:
    """Host minutes from all sources, without duplicates.

    The same closed minute may be read twice (from a host and from its log). An
    incarnation of a host never closes two different records for one minute, so
    that a difference means damaged data and is recorded as a problem.
    """

    minutes: dict[tuple[str, str, int], HostMinute] = field(default_factory=dict)
    problems: set[SourceProblem] = field(default_factory=set)

    def add_problem(self, source, reason):
        """Records that ``source`` could not be read in full."""
        self.problems.add(SourceProblem(source=source, reason=reason))

    def add(self, source, minute):
        """Adds one host minute read from ``source``."""
        try:
            for record in minute.records:
                decode_histogram(record.latency)
        except DamagedHistogramError as error:
            self.add_problem(source, f"minute {minute.minute}: {error}")
            return
        key = (minute.host, minute.incarnation, minute.minute)
        if self.minutes.setdefault(key, minute) != minute:
            self.add_problem(
                source,
                f"{minute.host} has two different records of minute {minute.minute}",
            )

    def drop_before(self, minute):
        """Drops minutes before ``minute`` to bound memory for logs of many days."""
        for key in [key for key in self.minutes if key[2] < minute]:
            del self.minutes[key]


async def read_entry_hosts(collection, addresses, *, timeout_s):
    """Reads ``GET /v1/minutes`` of each address into ``collection``."""
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONCURRENT_FETCHES,
        max_body_size=MAX_REPLY_BYTES,
    )
    try:
        await asyncio.gather(
            *(
                _read_entry_host(client, collection, address, timeout_s)
                for address in addresses
            )
        )
    finally:
        client.close()


async def _read_entry_host(client, collection, address, timeout_s):
    try:
        reply = await client.fetch(
            f"http://{address}/v1/minutes",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        kept = _reply_decoder.decode(reply.body)
    except (HTTPError, OSError, msgspec.MsgspecError) as error:
        collection.add_problem(address, f"{type(error).__name__}: {error}")
        return
    if not kept.minutes:
        collection.add_problem(address, f"{kept.host} has not closed a minute yet")
    for minute in kept.minutes:
        collection.add(address, minute)


def read_log(collection, stream, *, source):
    """Reads the minute lines of a log, given as a binary stream."""
    found = damaged = 0
    newest = 0
    while line := stream.readline(MAX_LINE_BYTES):
        if _MINUTE_EVENT_BYTES not in line:
            continue
        try:
            parsed = _line_decoder.decode(line)
        except msgspec.MsgspecError:
            damaged += 1
            continue
        if parsed.event != MINUTE_EVENT or parsed.minute is None:
            continue
        found += 1
        collection.add(source, parsed.minute)
        if parsed.minute.minute > newest:
            newest = parsed.minute.minute
            # Sources may end at different minutes, so that more than the longest
            # period is kept; the report selects its own period.
            collection.drop_before(newest - 2 * KEPT_MINUTES)
    if damaged:
        collection.add_problem(source, f"{damaged} damaged minute lines")
    if not found:
        collection.add_problem(source, "no minute lines")
