"""Storage of verdicts in encoded chunks, so that a start need not decode them all."""

import zlib
from dataclasses import dataclass, field

import msgspec

from plantainstage._errors import check_invariant
from plantainstage._messages.control import Verdict

VERDICTS_KEPT = 100_000
CHUNK_VERDICTS = 250
COMPRESSION_LEVEL = 6

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[Verdict, ...])


class VerdictChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The compressed verdicts of ``CHUNK_VERDICTS`` numbers from ``first`` on."""

    first: int
    data: bytes

    @property
    def last(self):
        """The highest number in the chunk."""
        return self.first + CHUNK_VERDICTS - 1


@dataclass(kw_only=True)
class VerdictLog:
    """The verdicts of the newest ``VERDICTS_KEPT`` change numbers, which begin at 1.

    Each complete run of ``CHUNK_VERDICTS`` verdicts is kept encoded, and decoded
    only when one of them is looked up. This is rare, since operators resend recent
    changes. Snapshots copy the chunks as they are, so that neither writing a
    snapshot nor starting from one takes time for each verdict. For example::

        log = VerdictLog()
        log.add(verdict)
        log.find(verdict.change.number)
    """

    newest: int = 0
    chunks: dict[int, VerdictChunk] = field(default_factory=dict)
    recent: dict[int, Verdict] = field(default_factory=dict)

    def find(self, number: int):
        """Returns the verdict of a number, or None if it is not kept."""
        if number in self.recent:
            return self.recent[number]
        if number <= self.newest - VERDICTS_KEPT:
            return None
        chunk = self.chunks.get(_first_of_chunk(number))
        if chunk is None:
            return None
        return _decode(chunk)[number - chunk.first]

    def add(self, verdict: Verdict):
        """Records the verdict of the next change number."""
        number = verdict.change.number
        check_invariant(
            number == self.newest + 1,
            invariant="one verdict for a change number",
            detail=f"a verdict of {number} follows the one of {self.newest}",
        )
        self.newest = number
        self.recent[number] = verdict
        if number % CHUNK_VERDICTS == 0:
            self._close_chunk()

    def _close_chunk(self):
        """Encodes the recent verdicts as a chunk; drops the chunk that is too old."""
        first = _first_of_chunk(self.newest)
        data = _encoder.encode(tuple(self.recent.values()))
        self.chunks[first] = VerdictChunk(
            first=first, data=zlib.compress(data, COMPRESSION_LEVEL)
        )
        self.recent.clear()
        self.chunks.pop(_first_of_chunk(self.newest - VERDICTS_KEPT), None)


def restore_verdicts(newest, chunks, recent):
    """Returns the log in a snapshot, after a check that no verdict is missing."""
    packed = newest - len(recent)
    kept = range(max(1, packed - VERDICTS_KEPT + 1), packed + 1, CHUNK_VERDICTS)
    check_invariant(
        [chunk.first for chunk in chunks] == list(kept)
        and [verdict.change.number for verdict in recent]
        == list(range(packed + 1, newest + 1)),
        invariant="a snapshot holds every verdict that is kept",
        detail=f"{len(chunks)} chunks and {len(recent)} recent ones up to {newest}",
    )
    return VerdictLog(
        newest=newest,
        chunks={chunk.first: chunk for chunk in chunks},
        recent={verdict.change.number: verdict for verdict in recent},
    )


def _first_of_chunk(number):
    return (number - 1) // CHUNK_VERDICTS * CHUNK_VERDICTS + 1


def _decode(chunk):
    verdicts = _decoder.decode(zlib.decompress(chunk.data))
    check_invariant(
        len(verdicts) == CHUNK_VERDICTS and verdicts[0].change.number == chunk.first,
        invariant="a chunk holds the verdicts of its numbers",
        detail=f"{len(verdicts)} verdicts in the chunk from {chunk.first} on",
    )
    return verdicts
