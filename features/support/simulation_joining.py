"""Disturbs a replica at any step of its joining a simulated group, more than once.

A replica with an empty folder passes through the stages of JoinStage until it is a
voter. A disturbance waits for one of the stages, and no longer than LONGEST_WAIT_S, so
that some come at a moment in between. It kills the replica, freezes it or lets the
leader change.
"""

import enum

LONGEST_WAIT_S = 1.5
LONGEST_ABSENCE_S = 3.5  # of a killed replica; longer than a learner may be silent
LONGEST_FREEZE_S = 3.0
MOST_DISTURBANCES = 3


class JoinStage(enum.Enum):
    """How far a start has come."""

    EMPTY = "knows no members"
    RECORDING = "asks members to record the start"
    RECORDED = "has joined without a membership"
    RECEIVING = "has a part of a snapshot"
    RETURNED = "asks members that its folder names"
    LEARNER = "has a membership"


def stage_of(state) -> JoinStage:
    """Returns the stage of a core's start."""
    known = bool(state.membership.members)
    if not state.joined:
        if known:
            return JoinStage.RETURNED
        return JoinStage.RECORDING if state.boot_members.members else JoinStage.EMPTY
    if known:
        return JoinStage.LEARNER
    return JoinStage.RECEIVING if state.partial_snapshot else JoinStage.RECORDED


class JoinDisturbances:
    """Disturbs one replica at a time; ``leader()`` returns the leader of the group."""

    def __init__(self, *, simulation, leader):
        self.simulation = simulation
        self.leader = leader
        self.replica = None
        self.awaited = None  # JoinStage of the next disturbance
        self.remaining = 0
        self.on_left_alone = None

    @property
    def random(self):
        return self.simulation.random

    def start(self, replica, on_left_alone):
        """Disturbs a replica that has just started, then calls ``on_left_alone()``."""
        self.replica = replica
        self.remaining = self.random.randrange(1, MOST_DISTURBANCES + 1)
        self.on_left_alone = on_left_alone
        self._await_stage()

    def after_step(self, replica):
        """Disturbs the replica if it has reached the awaited stage."""
        if replica is self.replica and stage_of(replica.core.state) is self.awaited:
            self._disturb()

    def _await_stage(self):
        if not self.remaining:
            self.replica = self.awaited = None
            self.on_left_alone()
            return
        self.remaining -= 1
        number = self.remaining
        self.awaited = self.random.choice(list(JoinStage))

        def end_wait():
            if self.awaited is not None and self.remaining == number:
                self._disturb()

        self.simulation.call_later(self.random.uniform(0, LONGEST_WAIT_S), end_wait)

    def _disturb(self):
        replica = self.replica
        self.awaited = None
        if not replica.up:
            self._await_stage()
            return
        stage = stage_of(replica.core.state).name.lower()
        disturb = self.random.choice([self._kill, self._kill, self._freeze, self._lead])
        name = disturb.__name__.strip("_")
        self.simulation.counts[f"joining: {name} while {stage}"] += 1
        disturb(replica)

    def _kill(self, replica):
        member_id = replica.member_id
        replica.crash(self.simulation.now)

        def restart():
            if not replica.up and replica.member_id == member_id:
                self.simulation.start(replica)
            self._await_stage()

        absence_s = self.random.uniform(0.05, LONGEST_ABSENCE_S)
        self.simulation.call_later(absence_s, restart)

    def _freeze(self, replica):
        frozen_s = self.random.uniform(0.05, LONGEST_FREEZE_S)
        replica.frozen_until = self.simulation.now + frozen_s
        self.simulation.call_later(frozen_s, self._await_stage)

    def _lead(self, replica):
        leader = self.leader()
        if leader is not None and leader is not replica:
            self.simulation.call_later(0.0, lambda: self._transfer(leader))
        self._await_stage()

    def _transfer(self, leader):
        if leader.up and leader.core.is_leader:
            self.simulation.step(
                leader, lambda core, local: core.transfer_leadership(now=local)
            )
