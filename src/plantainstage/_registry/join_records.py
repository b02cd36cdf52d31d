"""What a leader has seen of the replicas that join its group, until they are voters.

A replica that is added and removed again and again never gets what it waits for. The
group is a voter short meanwhile, which nobody notices until the next loss.
"""

from collections import Counter
from dataclasses import dataclass

from plantainstage._messages.agreement import MemberId
from plantainstage._messages.control import MemberAction, ReplicaStatus, ReplicaWait
from plantainstage._registry.group import MemberStep


@dataclass(frozen=True, kw_only=True)
class RepeatedJoin:
    """A replica that was added again; ``waited_for`` is from when it was removed."""

    member_id: MemberId
    additions: int
    waited_for: ReplicaWait


class JoinRecords:
    """The learners of a group with what they wait for, and how often each was added.

    For example::

        records.observe(view.learners)
        repeated = records.record(step)
    """

    def __init__(self):
        self.waits = {}  # MemberId -> ReplicaWait, of the present learners
        self.waited = {}  # MemberId -> ReplicaWait, of learners that were removed
        self.additions = Counter()  # by MemberId
        self.repeated = 0

    def observe(self, learners: list[ReplicaStatus]):
        """Records what the present learners wait for."""
        self.waits = {status.member_id: status.waits_for for status in learners}

    def record(self, step: MemberStep) -> RepeatedJoin | None:
        """Records a step that was committed; returns whether it repeats a join."""
        member_id = step.member.member_id
        match step.action:
            case MemberAction.ADD_LEARNER:
                return self._added(member_id)
            case MemberAction.PROMOTE:
                self.additions.pop(member_id, None)
                self.waited.pop(member_id, None)
            case MemberAction.REMOVE if member_id in self.waits:
                self.waited[member_id] = self.waits[member_id]
        return None

    def _added(self, member_id):
        self.additions[member_id] += 1
        if self.additions[member_id] == 1:
            return None
        self.repeated += 1
        return RepeatedJoin(
            member_id=member_id,
            additions=self.additions[member_id],
            waited_for=self.waited.get(member_id, ReplicaWait.NOTHING),
        )
