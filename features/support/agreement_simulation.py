"""Randomised simulation of the replicated log: network, disks, clocks and faults.

All random choices come from one seeded source, so a seed and a number of steps always
give the same run. A step is one event, such as a delivered frame, a timer or a fault.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from plantainstage._errors import check_invariant
from plantainstage._messages.agreement import (
    AppendReply,
    Member,
    Membership,
    Snapshot,
    VoteReply,
)
from support.simulated_replica import SimulatedReplica
from support.simulation_checks import GroupChecks
from support.simulation_faults import FaultPlan
from support.simulation_operator import SimulatedOperator

ADDRESSES = ("control-1", "control-2", "control-3", "control-4", "control-5")
INITIAL_ADDRESSES = ADDRESSES[:3]
OPERATOR_INTERVAL_S = 0.1
MAX_BATCH = 6
RECOVERY_S = 60.0  # simulated time within which a group without faults must recover


@dataclass(frozen=True, kw_only=True)
class Frame:
    """A message in flight."""

    sender: object
    sender_address: str
    process: str
    receiver: object
    address: str
    message: object


@dataclass(kw_only=True)
class Network:
    """The current state of the network; ``blocked_links`` are (from, to) pairs."""

    loss: float = 0.02
    duplication: float = 0.03
    long_delay: float = 0.03
    blocked_links: set = field(default_factory=set)


class AgreementSimulation:
    """A simulated group of replicas.

    ``operator_class`` adds and removes replicas: either an operator or the logic by
    which the group repairs itself.
    """

    def __init__(
        self, *, seed: int, faults: bool = True, operator_class=SimulatedOperator
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.heap = []
        self.sequence = 0
        self.steps = 0
        self.counts = Counter()
        self.network = Network()
        self.checks = GroupChecks()
        self.replicas = {
            address: SimulatedReplica(
                address=address,
                random=self.random,
                send=self.send,
                checks=self.checks,
                clock_offset=self.random.uniform(0, 1000),
                snapshot_every=self.random.randrange(30, 90),
            )
            for address in ADDRESSES
        }
        self.operator = operator_class(simulation=self)
        self.client_interval_s = operator_class.CLIENT_INTERVAL_S
        self.plan = FaultPlan(simulation=self)
        self.faults = faults
        self.fault_interval_s = self.random.choice(operator_class.FAULT_INTERVALS_S)
        self._bootstrap()

    # ---- Run ------------------------------------------------------------------

    def run(self, steps):
        """Runs until ``steps`` events have happened."""
        limit = self.steps + steps
        while self.steps < limit:
            self._next_event()

    def finish(self):
        """Ends all faults and checks that the group then makes progress again."""
        self.faults = False
        self.plan.end_all()
        before = self.checks.highest_committed
        limit = self.now + RECOVERY_S
        while self.now < limit and self.checks.highest_committed < before + 50:
            self._next_event()
        check_invariant(
            self.checks.highest_committed >= before + 50,
            invariant="progress once the faults have ended",
            detail=f"commit index stays at {self.checks.highest_committed}",
        )
        limit = self.now + RECOVERY_S
        while self.now < limit and self.operator.tasks:
            self._next_event()
        check_invariant(
            not self.operator.tasks,
            invariant="member changes end once the faults have ended",
            detail=f"still in progress: {self.operator.tasks}",
        )

    def _next_event(self):
        self.now, _, callback = heapq.heappop(self.heap)
        callback()
        self.steps += 1

    def call_later(self, delay, callback):
        """Calls ``callback`` after ``delay`` simulated seconds."""
        self.sequence += 1
        heapq.heappush(self.heap, (self.now + delay, self.sequence, callback))

    def _bootstrap(self):
        members = []
        for address in INITIAL_ADDRESSES:
            replica = self.replicas[address]
            replica.new_folder()
            replica.start(self.now)
            members.append(self.member(replica))
            replica.store.close()
        initial = Snapshot(
            index=0, term=0, membership=Membership(members=tuple(members))
        )
        for address in INITIAL_ADDRESSES:
            self.start(self.replicas[address], bootstrap_snapshot=initial)
        self.call_later(0.5, self._send_client_request)
        self.call_later(1.0, self._inject_fault)
        self.call_later(1.0, self._run_operator)

    def member(self, replica):
        """Returns the Member of a replica."""
        return Member(member_id=replica.member_id, peer_address=replica.address)

    # ---- Replicas -------------------------------------------------------------

    def start(self, replica, bootstrap_snapshot=None):
        """Starts a replica and its timer."""
        replica.start(self.now, bootstrap_snapshot)
        if replica.up:
            replica.step(self.now, lambda core, local: None)
            self.schedule_timer(replica)
        else:
            self.plan.restart_later(replica)

    def step(self, replica, event):
        """Runs one event at a running replica."""
        replica.step(self.now, event)
        self.after_step(replica)

    def after_step(self, replica):
        """Schedules the next timer; hands a replica that has ended to the fault plan."""
        if replica.up:
            self.schedule_timer(replica)
            self.operator.after_step(replica)
        else:
            self.counts["ended: " + (replica.stop_reason or "crash")] += 1
            self.plan.on_down(replica)

    def schedule_timer(self, replica):
        """Schedules the replica's next timer and invalidates earlier ones."""
        replica.timer_generation += 1
        generation = replica.timer_generation
        delay = max(replica.core.next_timer() - replica.local_time(self.now), 0.001)

        def fire():
            if replica.up and replica.timer_generation == generation:
                if replica.frozen_until > self.now:
                    self.call_later(replica.frozen_until - self.now, fire)
                    return
                self.step(replica, lambda core, local: None)

        # Timers fire slightly late, as on a busy machine.
        self.call_later(min(delay, 3600.0) + self.random.uniform(0, 0.004), fire)

    # ---- Network --------------------------------------------------------------

    def send(self, replica, receiver, message):
        """Sends a frame, which may be lost, duplicated or delayed."""
        address = receiver.replica_id
        if address not in self.replicas:
            return
        frame = Frame(
            sender=replica.member_id,
            sender_address=replica.address,
            process=replica.process,
            receiver=receiver,
            address=address,
            message=message,
        )
        network = self.network
        if self.random.random() < network.loss:
            self.counts["frames lost"] += 1
            return
        self._send_once(frame)
        if self.random.random() < network.duplication:
            self.counts["frames repeated"] += 1
            self._send_once(frame)

    def _send_once(self, frame):
        delay = self.random.uniform(0.0005, 0.006)
        if self.random.random() < self.network.long_delay:
            self.counts["frames delayed"] += 1
            delay += self.random.uniform(0, self.plan.longest_delay_s())
        self.call_later(delay, lambda: self._deliver(frame))

    def _deliver(self, frame):
        replica = self.replicas[frame.address]
        if (frame.sender_address, frame.address) in self.network.blocked_links:
            self.counts["frames cut off"] += 1
            return
        if not replica.up or replica.member_id != frame.receiver:
            return
        if replica.frozen_until > self.now:
            self.call_later(
                replica.frozen_until - self.now, lambda: self._deliver(frame)
            )
            return

        def event(core, local):
            self._record_observed(core, frame)
            core.receive(
                sender=frame.sender,
                process=frame.process,
                message=frame.message,
                now=local,
            )

        self.step(replica, event)

    def _record_observed(self, core, frame):
        """Records the votes and acknowledgements that peers have received."""
        sender = self.replicas[frame.sender_address]
        if sender.member_id != frame.sender or sender.rolled_back_to is not None:
            return
        if frame.process != sender.process or not core.state.joined:
            return
        message = frame.message
        state = core.state
        match message:
            case VoteReply(granted=True, pre_vote=False):
                sender.observed.term = max(sender.observed.term, message.term)
            case AppendReply(accepted=True) if message.term == state.term:
                if core.is_leader:
                    sender.observed.record(message)

    # ---- Clients, faults, operator ----------------------------------------------

    def _send_client_request(self):
        self.call_later(
            self.random.expovariate(1 / self.client_interval_s),
            self._send_client_request,
        )
        leaders = [
            replica
            for replica in self.replicas.values()
            if replica.up
            and replica.frozen_until <= self.now
            and replica.core.is_leader
        ]
        if not leaders:
            return
        replica = self.random.choice(leaders)
        if self.random.random() < 0.3:
            self.counts["reads"] += 1
            replica.read(self.now, self.steps)
        else:
            number = self.random.randrange(1, MAX_BATCH)
            self.counts["proposals"] += number
            commands = [f"{self.steps}.{part}".encode() for part in range(number)]
            replica.propose(self.now, commands)
        self.after_step(replica)

    def _inject_fault(self):
        self.call_later(
            self.random.expovariate(1 / self.fault_interval_s), self._inject_fault
        )
        if self.faults:
            self.plan.inject()

    def _run_operator(self):
        self.call_later(OPERATOR_INTERVAL_S, self._run_operator)
        self.operator.act()

    # ---- Report ---------------------------------------------------------------

    def report(self):
        """Returns the counts of the run."""
        return {
            "steps": self.steps,
            "simulated_s": round(self.now, 1),
            "terms": max(self.checks.leaders, default=0),
            "leaders": len(self.checks.leaders),
            "committed": self.checks.highest_committed,
            "answered": sum(r.answered for r in self.replicas.values()),
            "reads_answered": self.checks.reads_answered,
            "snapshots_installed": self.checks.snapshots_installed,
            "counts": dict(sorted(self.counts.items())),
        }
