"""The in-memory log: entries after a base position, and their memberships."""

import msgspec

from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import (
    Entry,
    EntryKind,
    LogPosition,
    Membership,
    Snapshot,
)

_encoder = msgspec.msgpack.Encoder()
_membership_decoder = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership):
    """Returns the data of a membership entry."""
    return _encoder.encode(membership)


def decode_membership(data):
    """Returns the membership in an entry's data."""
    return _membership_decoder.decode(data)


class Log:
    """The entries with indices above ``base.index``, which follow a snapshot, if any.

    For example, with a snapshot at index 10 and two entries::

        log = Log(snapshot=snapshot, entries=[entry_11, entry_12])
        log.last  # LogPosition of entry 12
    """

    def __init__(self, *, snapshot: Snapshot | None, entries: list[Entry]):
        self.base = LogPosition()
        self.entries = []
        self.memberships = [(0, Membership())]
        if snapshot is not None:
            self.base = LogPosition(term=snapshot.term, index=snapshot.index)
            self.memberships = [(snapshot.index, snapshot.membership)]
        self.append(entries)

    @property
    def last(self):
        """The position of the last entry, or the base of an empty log."""
        if not self.entries:
            return self.base
        entry = self.entries[-1]
        return LogPosition(term=entry.term, index=entry.index)

    @property
    def membership(self):
        """The newest membership, committed or not."""
        return self.memberships[-1][1]

    @property
    def membership_index(self):
        """The index from which the newest membership is in force."""
        return self.memberships[-1][0]

    def membership_at(self, index):
        """Returns the membership in force at ``index``."""
        found = self.memberships[0][1]
        for start, membership in self.memberships:
            if start <= index:
                found = membership
        return found

    def term_at(self, index):
        """Returns the term of the entry at ``index``, or None if it is not held."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last.index:
            return self.entries[index - self.base.index - 1].term
        return None

    def between(self, first, last):
        """Returns the entries from ``first`` to ``last``, both included."""
        offset = self.base.index + 1
        return tuple(self.entries[first - offset : last - offset + 1])

    def append(self, entries):
        """Appends entries, which replace those from the first one's index on."""
        if not entries:
            return
        first = entries[0].index
        check_invariant(
            self.base.index < first <= self.last.index + 1,
            invariant="log has no gap",
            detail=f"append at {first} to a log that ends at {self.last.index}",
        )
        if first <= self.last.index:
            del self.entries[first - self.base.index - 1 :]
            while self.memberships[-1][0] >= first:
                self.memberships.pop()
        for entry in entries:
            check_invariant(
                entry.index == self.last.index + 1 and entry.term >= self.last.term,
                invariant="log is ordered",
                detail=f"entry {entry.index} of term {entry.term} after {self.last}",
            )
            self.entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.memberships.append((entry.index, decode_membership(entry.data)))

    def index_before_tail(self, *, entries, data_bytes):
        """Returns the index before the longest tail that is within both limits."""
        total = 0
        for entry in self.entries[: -entries - 1 : -1]:
            total += len(entry.data)
            if total > data_bytes:
                return entry.index
        return self.last.index - entries

    def compact(self, index):
        """Drops the entries up to and including ``index``."""
        if index <= self.base.index:
            return
        base = LogPosition(term=self.term_at(index), index=index)
        del self.entries[: index - self.base.index]
        self.base = base
        while len(self.memberships) > 1 and self.memberships[1][0] <= index:
            self.memberships.pop(0)

    def first_index_of_term_at(self, index):
        """Returns the first held index of the term of the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base.index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term_up_to(self, *, term, index):
        """Returns the last index up to ``index`` whose term is at most ``term``."""
        while index > self.base.index and self.term_at(index) > term:
            index -= 1
        return index
