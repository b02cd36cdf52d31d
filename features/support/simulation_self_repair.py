"""A simulated group that adds, promotes and removes members without an operator.

Replaces SimulatedOperator. Each replica that believes it is the leader takes the steps
from ``next_member_step``; each other replica requests to join while it may not be a
member. Some machines are lost permanently and replaced by others at new addresses.
"""

from collections import defaultdict

from plantainstage._agreement.membership import MemberChangeRefusedError
from plantainstage._control.member_statuses import member_statuses
from plantainstage._errors import NotLeaderError, check_invariant
from plantainstage._registry.group import (
    MIN_VOTERS,
    needs_to_join,
    next_member_step,
)

# Number of addresses in the settings of a replica; some may be out of date.
SEEDS = 3
LOSS_CHANCE = 0.01  # probability at each round that a machine is lost


class SelfRepair:
    """Carries out the membership changes that the replicas start by themselves."""

    # A repair takes seconds, so faults are rarer than with an operator: several
    # repairs must complete in one run.
    FAULT_INTERVALS_S = (0.15, 0.4, 1.0, 2.5)

    def __init__(self, *, simulation):
        self.simulation = simulation
        # address -> replica id -> Member that asked to join
        self.join_requests = defaultdict(dict)
        self.leader_seen_at = defaultdict(float)  # address -> time
        self.repairs = {}  # address of the new folder -> member id that it replaces
        self.lost = set()  # member ids whose machine is lost

    # ---- Interface of the fault plan ------------------------------------------------

    @property
    def tasks(self):
        """The repairs in progress; a folder may be lost only while there are none."""
        return list(self.repairs)

    def damaged(self):
        """Returns the addresses whose folder is lost and not replaced yet."""
        return set(self.repairs)

    def replace(self, replica, old):
        """Registers a repair: the replica's new folder has to replace ``old``."""
        self.repairs[replica.address] = old

    def leader(self):
        """Returns the running leader with the highest term, if any."""
        leaders = [replica for replica in self._running() if replica.core.is_leader]
        return max(leaders, key=lambda r: r.core.state.term, default=None)

    # ---- Rounds ---------------------------------------------------------------------

    def act(self):
        """Runs one round at each replica, and ends repairs that are complete."""
        for replica in self._running():
            if replica.core.is_leader:
                self._take_member_step(replica)
            else:
                self.join_requests[replica.address].clear()
                self._join_if_needed(replica)
        self._complete_repairs()
        may_lose = self.simulation.faults and not self.repairs
        if may_lose and self.simulation.random.random() < LOSS_CHANCE:
            self._replace_machine()

    def _running(self):
        return [
            replica
            for replica in self.simulation.replicas.values()
            if replica.up and replica.frozen_until <= self.simulation.now
        ]

    def _take_member_step(self, replica):
        join_requests = self.join_requests[replica.address]
        step = next_member_step(member_statuses(replica.core), join_requests)
        if step is None:
            return
        counts = self.simulation.counts
        now = replica.local_time(self.simulation.now)
        try:
            replica.core.change_member(step.action, step.member, now=now)
        except (NotLeaderError, MemberChangeRefusedError):
            counts["member steps refused"] += 1
        else:
            join_requests.pop(step.member.member_id.replica_id, None)
            counts[f"member step: {step.action.value}"] += 1
        self.simulation.step(replica, lambda core, local: None)

    def _join_if_needed(self, replica):
        simulation = self.simulation
        state = replica.core.state
        if state.leader is not None:
            self.leader_seen_at[replica.address] = simulation.now
        members = {member.member_id for member in state.membership.members}
        if not needs_to_join(
            is_member=replica.member_id in members,
            leaderless_s=simulation.now - self.leader_seen_at[replica.address],
        ):
            return
        known = {m.member_id.replica_id for m in state.membership.members}
        seeds = simulation.random.sample(list(simulation.replicas), SEEDS)
        for address in sorted((known | set(seeds)) - {replica.address}):
            simulation.counts["asked to join"] += 1
            self._send_join_request(replica, address)

    def _send_join_request(self, replica, address):
        simulation = self.simulation
        member = simulation.member(replica)
        member_id = replica.member_id

        def deliver():
            asked = simulation.replicas[address]
            blocked = (replica.address, address) in simulation.network.blocked_links
            if blocked or not asked.up or not asked.core.is_leader:
                return
            self.join_requests[address][member_id.replica_id] = member

        if simulation.random.random() >= simulation.network.loss:
            delay = simulation.random.uniform(0, simulation.plan.longest_delay_s())
            simulation.call_later(delay, deliver)

    # ---- Machines -------------------------------------------------------------------

    def _replace_machine(self):
        """Loses a machine permanently; another one starts at an unused address."""
        simulation = self.simulation
        leader = self.leader()
        if leader is None:
            return
        used = {m.member_id.replica_id for m in leader.core.state.membership.members}
        free = [
            replica
            for address, replica in simulation.replicas.items()
            if address not in used and not replica.up
        ]
        members = [r for r in self._running() if simulation.plan._may_damage(r)]
        if not free or not members:
            return
        lost, new = simulation.random.choice(members), simulation.random.choice(free)
        simulation.counts["machines replaced"] += 1
        old = lost.member_id
        lost.crash(simulation.now)
        lost.new_folder()
        self.lost.add(old)
        new.new_folder()
        simulation.start(new)
        while not new.up and new.member_id is None:
            simulation.start(new)
        self.replace(new, old)

    def _complete_repairs(self):
        leader = self.leader()
        if leader is None:
            return
        state = leader.core.state
        settled = state.commit_index >= state.log.membership_index
        members = {m.member_id: m.voter for m in state.membership.members}
        check_invariant(
            sum(members.values()) >= MIN_VOTERS,
            invariant="a group that repairs itself keeps its size",
            detail=f"members {members}",
        )
        for address, old in list(self.repairs.items()):
            new = self.simulation.replicas[address].member_id
            if settled and members.get(new) and old not in members:
                del self.repairs[address]
                self.simulation.counts["repairs completed"] += 1
