"""Frames on disk: a marker, a length and a checksum before each payload.

Everything written between two syncs is one frame. A crash can therefore damage only
the last frame of the last segment.
"""

import struct
from dataclasses import dataclass

import xxhash

MARKER = b"\xf1PLG"
_HEADER = struct.Struct("<4sIQ")
HEADER_BYTES = _HEADER.size


def _checksum(length, payload):
    return xxhash.xxh3_64_intdigest(payload, seed=length)


def encode_frame(payload: bytes) -> bytes:
    """Returns the frame that contains ``payload``."""
    length = len(payload)
    return _HEADER.pack(MARKER, length, _checksum(length, payload)) + payload


def frame_at(data, offset):
    """Returns the payload of the intact frame at ``offset``, or None."""
    if offset + HEADER_BYTES > len(data):
        return None
    marker, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    if marker != MARKER or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if _checksum(length, payload) == checksum else None


@dataclass(frozen=True, kw_only=True)
class FrameScan:
    """The intact frames at the start of a file.

    They end at the offset ``end``. ``intact_frame_follows`` is true if another
    intact frame follows the damage at ``end``, which no crash can cause.
    """

    payloads: tuple[bytes, ...]
    end: int
    intact_frame_follows: bool


def scan_frames(data: bytes) -> FrameScan:
    """Reads frames up to the end of the data or the first damaged frame."""
    payloads = []
    offset = 0
    while (payload := frame_at(data, offset)) is not None:
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return FrameScan(
        payloads=tuple(payloads),
        end=offset,
        intact_frame_follows=_any_frame_after(data, offset),
    )


def _any_frame_after(data, offset):
    found = data.find(MARKER, offset + 1)
    while found >= 0:
        if frame_at(data, found) is not None:
            return True
        found = data.find(MARKER, found + 1)
    return False
