"""Requests of the control service that wait for the agreement."""

import asyncio
from dataclasses import dataclass, field

from plantainstage._errors import NotLeaderError, OutcomeUnknownError


@dataclass(frozen=True, kw_only=True)
class PendingProposal:
    """A proposal that waits for its index to be applied."""

    term: int
    future: asyncio.Future


@dataclass(kw_only=True)
class PendingRequests:
    """Futures by log index and by read number; each is answered once."""

    proposals: dict[int, PendingProposal] = field(default_factory=dict)
    reads: dict[int, asyncio.Future] = field(default_factory=dict)
    read_number: int = 0

    def next_read_number(self):
        """Returns a number that no other read has."""
        self.read_number += 1
        return self.read_number

    def add_proposal(self, index, term, future):
        """Keeps a proposal that was appended at ``index`` in ``term``."""
        self.proposals[index] = PendingProposal(term=term, future=future)

    def add_read(self, number, future):
        """Keeps a read until its leadership is confirmed."""
        self.reads[number] = future

    def entry_applied(self, entry, result):
        """Answers the proposal of an applied entry, if it is this one."""
        pending = self.proposals.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            self.answer(pending.future, result)
        else:
            self.fail(pending.future, OutcomeUnknownError())

    def read_ready(self, number, applied_index):
        """Answers a read; a change of leader may have refused it already."""
        future = self.reads.pop(number, None)
        if future is not None:
            self.answer(future, applied_index)

    def read_failed(self, number, leader_address):
        """Refuses a read, unless a change of leader has refused it already."""
        future = self.reads.pop(number, None)
        if future is not None:
            self.fail(future, NotLeaderError(leader_address=leader_address))

    def fail_all(self, error_type):
        """Ends all proposals with an error and refuses all reads."""
        for pending in self.proposals.values():
            self.fail(pending.future, error_type())
        self.proposals.clear()
        for future in self.reads.values():
            self.fail(future, NotLeaderError())
        self.reads.clear()

    @staticmethod
    def answer(future, result):
        """Sets a result, unless the caller has gone."""
        if not future.done():
            future.set_result(result)

    @staticmethod
    def fail(future, error):
        """Sets an error, unless the caller has gone."""
        if not future.done():
            future.set_exception(error)
