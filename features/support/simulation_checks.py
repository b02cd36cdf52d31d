"""Checks of the Raft guarantees across all replicas of a simulated group."""

from dataclasses import dataclass, field

from plantainstage._agreement.actions import InstallSnapshot, SaveEntries
from plantainstage._agreement.state import Role
from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import VoteReply


@dataclass(kw_only=True)
class GroupChecks:
    """Observes all replicas; raises InvariantViolation on the first violation."""

    leaders: dict = field(default_factory=dict)
    appended: dict = field(default_factory=dict)
    committed: dict = field(default_factory=dict)
    digests: dict = field(default_factory=dict)
    votes: dict = field(default_factory=dict)
    folders: set = field(default_factory=set)
    highest_committed: int = 0
    snapshots_installed: int = 0
    reads_answered: int = 0

    def add_folder(self, member_id):
        """Checks that a new folder has a member id that was never used before."""
        check_invariant(
            member_id not in self.folders,
            invariant="a lost folder gets a new identity",
            detail=str(member_id),
        )
        self.folders.add(member_id)

    def check_action(self, core, action):
        """Checks an action that a core has returned."""
        match action:
            case InstallSnapshot():
                self.snapshots_installed += 1
            case SaveEntries(entries=entries):
                self._check_entries(core, entries)

    def check_sent(self, core, action):
        """Checks a vote when it is sent; a crash before that cancels the vote."""
        match action.message:
            case VoteReply(granted=True, pre_vote=False, term=term):
                self._check_vote(core, term, action.receiver)

    def _check_entries(self, core, entries):
        log = core.state.log
        for entry in entries:
            previous = log.term_at(entry.index - 1)
            if previous is None:
                continue
            key = (entry.index, entry.term)
            seen = self.appended.setdefault(key, (previous, entry.kind, entry.data))
            check_invariant(
                seen == (previous, entry.kind, entry.data),
                invariant="log matching",
                detail=f"{core.state.member_id}: entry {key} differs",
            )

    def _check_vote(self, core, term, candidate):
        check_invariant(
            core.state.joined,
            invariant="only a checked folder votes",
            detail=str(core.state.member_id),
        )
        key = (core.state.member_id, term)
        check_invariant(
            self.votes.setdefault(key, candidate) == candidate,
            invariant="one vote a term",
            detail=f"{key} votes for {candidate} and {self.votes[key]}",
        )

    def check_leader(self, core):
        """Checks that a term has one leader, which holds the last committed entry."""
        state = core.state
        if state.role is not Role.LEADER:
            return
        leader = self.leaders.get(state.term)
        if leader is not None and leader[0] == state.member_id:
            return
        check_invariant(
            leader is None,
            invariant="at most one leader a term",
            detail=f"term {state.term}: {leader} and {state.member_id}",
        )
        self.leaders[state.term] = (state.member_id, self.highest_committed)
        highest = self.highest_committed
        if highest > state.log.base.index:
            check_invariant(
                state.log.term_at(highest) == self.committed[highest][0],
                invariant="leader completeness",
                detail=f"{state.member_id} leads term {state.term} without the "
                f"committed entry {highest}",
            )

    def check_applied(self, core, entry, digest):
        """Checks an applied entry and the resulting state against all replicas."""
        record = (entry.term, entry.kind, entry.data)
        first = self.committed.setdefault(entry.index, record)
        check_invariant(
            first == record,
            invariant="committed entries never change",
            detail=f"{core.state.member_id} applies another entry {entry.index}",
        )
        self.highest_committed = max(self.highest_committed, entry.index)
        check_invariant(
            self.digests.setdefault(entry.index, digest) == digest,
            invariant="equal state machines",
            detail=f"{core.state.member_id} differs at index {entry.index}",
        )

    def check_restored(self, core, index, digest):
        """Checks the state that was restored from a snapshot."""
        check_invariant(
            index == 0 or self.digests.get(index) == digest,
            invariant="equal state machines",
            detail=f"{core.state.member_id} differs after the snapshot at {index}",
        )

    def check_read(self, core, index, needed):
        """Checks that a read sees all entries applied before it started."""
        self.reads_answered += 1
        check_invariant(
            index >= needed,
            invariant="reads are never stale",
            detail=f"{core.state.member_id} reads at {index}, {needed} was applied",
        )

    def check_rejoined(self, core, lost_data):
        """Checks that a replica joins after a rollback only if no data was lost."""
        check_invariant(
            not lost_data,
            invariant="an older copy never joins",
            detail=str(core.state.member_id),
        )
