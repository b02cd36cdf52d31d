"""A simulated group that adds, promotes and removes members without an operator.

Replaces SimulatedOperator. Each replica that believes it is the leader takes the steps
from ``next_member_steps``; each other replica requests to join while it may not be a
member. Some machines are lost permanently and replaced by others at new addresses.
"""

from collections import defaultdict

from plantainstage._agreement.membership import MemberChangeRefusedError
from plantainstage._control.member_statuses import member_statuses
from plantainstage._errors import NotLeaderError, check_invariant
from plantainstage._messages.control import MemberAction
from plantainstage._registry.group import (
    GroupView,
    MemberStep,
    may_leave,
    needs_to_join,
    next_member_steps,
)
from plantainstage._registry.group_limits import GroupLimits
from support.simulation_losses import CATCH_UP_S, LossSeries, check_sound

# Number of addresses in the settings of a replica; some may be out of date.
SEEDS = 3
LOSS_CHANCE = 0.01  # probability at each round that a machine is lost
LIMITS = GroupLimits(losses=1, catch_up_s=CATCH_UP_S)


class SelfRepair:
    """Carries out the membership changes that the replicas start by themselves."""

    # A repair takes seconds, so faults are rarer than with an operator: several
    # repairs must complete in one run.
    FAULT_INTERVALS_S = (0.15, 0.4, 1.0, 2.5)
    CLIENT_INTERVAL_S = 0.01
    ONLY_JOINS = False  # see LossSeries

    def __init__(self, *, simulation):
        self.simulation = simulation
        # address -> replica id -> Member that asked to join
        self.join_requests = defaultdict(dict)
        self.leader_seen_at = {}  # process -> time
        self.repairs = {}  # address of the new folder -> member ids that it replaces
        self.series = LossSeries(
            simulation=simulation, repair=self, only_joins=self.ONLY_JOINS
        )

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
        self.repairs.setdefault(replica.address, set()).add(old)

    def leader(self):
        """Returns the running leader with the highest term, if any."""
        leaders = [replica for replica in self._running() if replica.core.is_leader]
        return max(leaders, key=lambda r: r.core.state.term, default=None)

    def after_step(self, replica):
        """Disturbs a replica that joins at the step that it has reached."""
        self.series.disturbances.after_step(replica)

    # ---- Rounds ---------------------------------------------------------------------

    def act(self):
        """Runs one round at each replica, and ends repairs that are complete."""
        for replica in self._running():
            if replica.core.is_leader:
                self._take_member_step(replica)
            else:
                self.join_requests[replica.address].clear()
                if replica is not self.series.leaving:
                    self._join_if_needed(replica)
        self._complete_repairs()
        self.check_sound_majority()
        self.series.act()
        idle = not self.repairs and not self.series.running
        if (
            self.simulation.faults
            and idle
            and self.simulation.random.random() < LOSS_CHANCE
        ):
            self._replace_machine()

    def _running(self):
        return [
            replica
            for replica in self.simulation.replicas.values()
            if replica.up and replica.frozen_until <= self.simulation.now
        ]

    def _view(self, replica):
        return GroupView(
            statuses=member_statuses(replica.core),
            commit_index=replica.core.state.commit_index,
            join_requests=self.join_requests[replica.address],
            limits=LIMITS,
        )

    def _take_member_step(self, replica):
        view = self._view(replica)
        if any(self._change_member(replica, step) for step in next_member_steps(view)):
            self.simulation.step(replica, lambda core, local: None)

    def _change_member(self, replica, step):
        """Appends a step at a leader; returns whether it was not refused."""
        counts = self.simulation.counts
        voters = replica.core.state.voters()
        now = replica.local_time(self.simulation.now)
        try:
            replica.core.change_member(step.action, step.member, now=now)
        except (NotLeaderError, MemberChangeRefusedError):
            counts["member steps refused"] += 1
            return False
        self._check_size(replica, step, voters)
        join_requests = self.join_requests[replica.address]
        asking = join_requests.get(step.member.member_id.replica_id)
        if asking is not None and asking.member_id == step.member.member_id:
            del join_requests[asking.member_id.replica_id]
        counts[f"member step: {step.action.value}"] += 1
        return True

    def _check_size(self, replica, step, voters):
        """Checks that a small group shrinks only for a learner that is ready."""
        removed = step.action is MemberAction.REMOVE and step.member.member_id in voters
        if not removed or len(voters) > LIMITS.min_voters:
            return
        view = self._view(replica)
        check_invariant(
            len(voters) == LIMITS.min_voters
            and any(view.is_caught_up(learner) for learner in view.learners),
            invariant="a group that repairs itself keeps its size",
            detail=f"{step.member.member_id} removed from {sorted(map(str, voters))}",
        )

    # ---- Planned stops --------------------------------------------------------------

    def ask_to_leave(self, replica):
        """Sends the leader what a replica asks before it stops as planned."""
        simulation = self.simulation
        if not replica.up or replica.member_id not in replica.core.state.voters():
            return
        if replica.core.is_leader:
            simulation.step(
                replica, lambda core, local: core.transfer_leadership(now=local)
            )
            return
        member = simulation.member(replica)
        leader = replica.core.state.leader
        if leader is None or simulation.random.random() < simulation.network.loss:
            return

        def deliver():
            asked = simulation.replicas[leader.replica_id]
            if not asked.up or not asked.core.is_leader:
                return
            if may_leave(self._view(asked), member.member_id):
                step = MemberStep(action=MemberAction.REMOVE, member=member)
                self._change_member(asked, step)
                simulation.step(asked, lambda core, local: None)

        simulation.call_later(simulation.random.uniform(0.001, 0.05), deliver)

    def check_sound_majority(self):
        """Checks that the voters that still have their folders are a majority."""
        leader = self.leader()
        if leader is not None:
            replicas = self.simulation.replicas.values()
            sound = {r.member_id for r in replicas if r.member_id is not None}
            check_sound(leader.core.state.voters(), sound)

    def _join_if_needed(self, replica):
        simulation = self.simulation
        state = replica.core.state
        now = simulation.now
        seen_at = self.leader_seen_at.setdefault(replica.process, now)
        if state.leader is not None:
            seen_at = self.leader_seen_at[replica.process] = now
        is_voter = replica.member_id in state.voters()
        if not needs_to_join(is_voter=is_voter, leaderless_s=now - seen_at):
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
        for address, replaced in list(self.repairs.items()):
            new = self.simulation.replicas[address].member_id
            if settled and members.get(new) and not replaced & members.keys():
                del self.repairs[address]
                self.simulation.counts["repairs completed"] += 1


class DisturbedJoins(SelfRepair):
    """A self-repair whose replicas lose their folders and are disturbed as they join.

    Other faults are rare and requests few, so that a run has many joins.
    """

    FAULT_INTERVALS_S = (600.0,)
    CLIENT_INTERVAL_S = 0.05
    ONLY_JOINS = True
