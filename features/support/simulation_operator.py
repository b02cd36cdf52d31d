"""The operator of a simulated group, who adds, replaces and removes replicas."""

from dataclasses import dataclass

from plantainstage._agreement.membership import MemberChangeRefusedError
from plantainstage._errors import NotLeaderError
from plantainstage._messages.agreement import MemberId
from plantainstage._messages.control import MemberAction


@dataclass(kw_only=True)
class Task:
    """Adds the member id ``new`` at an address, removes the member id ``old``, or both."""

    address: str
    old: MemberId | None = None
    new: MemberId | None = None


class SimulatedOperator:
    """Carries out one task after the other through the current leader."""

    # Each run draws one: rare faults allow long logs and many snapshots, frequent
    # ones cause elections with diverging logs.
    FAULT_INTERVALS_S = (0.08, 0.15, 0.3, 0.6)
    CLIENT_INTERVAL_S = 0.01  # mean time between requests of clients

    def __init__(self, *, simulation):
        self.simulation = simulation
        self.tasks = []

    def damaged(self):
        """Returns the addresses whose folder is lost and not replaced yet."""
        return {task.address for task in self.tasks if task.old is not None}

    def replace(self, replica, old):
        """Adds a task that replaces ``old`` by the replica's new folder."""
        self.tasks = [task for task in self.tasks if task.address != replica.address]
        self.tasks.append(Task(address=replica.address, old=old, new=replica.member_id))

    def leader(self):
        """Returns the running leader with the highest term, if any."""
        leaders = [
            replica
            for replica in self.simulation.replicas.values()
            if replica.up
            and replica.core.is_leader
            and replica.frozen_until <= self.simulation.now
        ]
        return max(leaders, key=lambda r: r.core.state.term, default=None)

    def after_step(self, replica):
        """Does nothing: an operator sees no single step of a replica."""

    def act(self):
        """Takes the next step of the first task, or perhaps adds a new task."""
        leader = self.leader()
        if leader is None:
            return
        if not self.tasks:
            self._maybe_start(leader)
            return
        task = self.tasks[0]
        try:
            if self._step(leader, task):
                self.tasks.pop(0)
        except (NotLeaderError, MemberChangeRefusedError):
            self.simulation.counts["member steps refused"] += 1
            # The step may depend on that of another task.
            self.tasks.append(self.tasks.pop(0))
        if leader.up:
            self.simulation.step(leader, lambda core, local: None)

    def _step(self, leader, task):
        core = leader.core
        now = leader.local_time(self.simulation.now)
        members = {m.member_id: m for m in core.state.membership.members}
        replica = self.simulation.replicas[task.address]
        if task.new is not None and task.new not in members:
            member = self.simulation.member(replica)
            core.change_member(MemberAction.ADD_LEARNER, member, now=now)
            self.simulation.counts["learners added"] += 1
        elif task.new is not None and not members[task.new].voter:
            core.change_member(MemberAction.PROMOTE, members[task.new], now=now)
            self.simulation.counts["learners promoted"] += 1
        elif task.old is not None and task.old in members:
            core.change_member(MemberAction.REMOVE, members[task.old], now=now)
            self.simulation.counts["members removed"] += 1
        elif task.new is not None and task.old is not None:
            if core.is_replaced_by(old=task.old, new=task.new):
                self.simulation.counts["replicas replaced"] += 1
                return True
            return False
        else:
            return core.state.commit_index >= core.state.log.membership_index
        return False

    def _maybe_start(self, leader):
        simulation = self.simulation
        if not simulation.faults or simulation.random.random() > 0.02:
            return
        members = leader.core.state.membership.members
        used = {member.member_id.replica_id for member in members}
        free = [address for address in simulation.replicas if address not in used]
        if free and simulation.random.random() < 0.6:
            replica = simulation.replicas[simulation.random.choice(free)]
            if replica.up:
                return
            replica.new_folder()
            simulation.start(replica)
            if replica.member_id is not None:
                self.tasks.append(Task(address=replica.address, new=replica.member_id))
        elif len(members) > 3:
            member = simulation.random.choice(members)
            address = member.member_id.replica_id
            self.tasks.append(Task(address=address, old=member.member_id))
