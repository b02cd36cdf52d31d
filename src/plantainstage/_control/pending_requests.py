"""Requests that wait for a commit or for a confirmation of leadership."""

import asyncio
from dataclasses import dataclass, field

from plantainstage._errors import NotLeaderError, OutcomeUnknownError


@dataclass(frozen=True, kw_only=True)
class PendingProposal:
    """A proposal that waits until its log index is applied."""

    term: int
    future: asyncio.Future


@dataclass(kw_only=True)
class PendingRequests:
    """Futures of proposals by log index and of reads by number.

    Each future is resolved once.
    """

    proposals: dict[int, PendingProposal] = field(default_factory=dict)
    reads: dict[int, asyncio.Future] = field(default_factory=dict)
    read_number: int = 0

    def next_read_number(self):
        """Returns a number that no other read has had."""
        self.read_number += 1
        return self.read_number

    def add_proposal(self, index, term, future):
        """Registers a proposal that was appended at ``index`` in ``term``."""
        self.proposals[index] = PendingProposal(term=term, future=future)

    def add_read(self, number, future):
        """Registers a read that waits for a confirmation of leadership."""
        self.reads[number] = future

    def entry_applied(self, entry, result):
        """Resolves the proposal at the index of an applied entry.

        If the entry is of another term, the outcome of the proposal is unknown.
        """
        pending = self.proposals.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            self.answer(pending.future, result)
        else:
            self.fail(pending.future, OutcomeUnknownError())

    def read_ready(self, number, applied_index):
        """Resolves a read, unless a change of leader has refused it already."""
        future = self.reads.pop(number, None)
        if future is not None:
            self.answer(future, applied_index)

    def read_failed(self, number, leader_address):
        """Refuses a read, unless a change of leader has refused it already."""
        future = self.reads.pop(number, None)
        if future is not None:
            self.fail(future, NotLeaderError(leader_address=leader_address))

    def fail_all(self, error_type):
        """Fails all proposals with an error and refuses all reads."""
        for pending in self.proposals.values():
            self.fail(pending.future, error_type())
        self.proposals.clear()
        for future in self.reads.values():
            self.fail(future, NotLeaderError())
        self.reads.clear()

    @staticmethod
    def answer(future, result):
        """Sets a result, unless the caller has cancelled the future."""
        if not future.done():
            future.set_result(result)

    @staticmethod
    def fail(future, error):
        """Sets an error, unless the caller has cancelled the future."""
        if not future.done():
            future.set_exception(error)
