"""Merges the parts of an answer by their greatest fixed-size records."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def records_of(part: bytes) -> list[bytes]:
    """Splits a part into records; an incomplete record at the end is ignored."""
    whole = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Returns the ``count`` greatest records in descending order, with duplicates.

    ``greatest_records([b"a" * 16 + b"b" * 16, b"b" * 16], 2)`` is ``b"b" * 32``.
    """
    records = (record for part in parts for record in records_of(part))
    return b"".join(heapq.nlargest(count, records))
