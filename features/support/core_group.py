"""Raft cores without disk or network; a scenario delivers each message."""

import random
from dataclasses import dataclass

from plantainstage._agreement import actions
from plantainstage._agreement.core import Core, DurableState
from plantainstage._agreement.phases import split_into_phases
from plantainstage._agreement.state import Timing
from plantainstage._messages.agreement import (
    Member,
    MemberId,
    Membership,
    Snapshot,
)

TIMING = Timing(trailing_entries=0)
MAX_CAMPAIGNS = 10


def make_member_id(name):
    """Returns the member id of the named replica, which has only one folder."""
    return MemberId(replica_id=name, incarnation="1")


@dataclass(frozen=True, kw_only=True)
class QueuedMessage:
    """A message that has not been delivered or dropped yet."""

    sender: str
    receiver: str
    message: object


class CoreGroup:
    """A group of cores that share one simulated clock."""

    def __init__(self, names, *, timing=TIMING):
        self.now = 100.0
        self.timing = timing
        self.queue = []
        self.syncs = dict.fromkeys(names, 0)
        self.completed = {name: [] for name in names}
        membership = Membership(
            members=tuple(Member(member_id=make_member_id(name)) for name in names)
        )
        self.initial_snapshot = Snapshot(index=0, term=0, membership=membership)
        self.cores = {}
        for name in names:
            self.add(name, snapshot=self.initial_snapshot)
        self.deliver_all()

    def add(self, name, **durable):
        """Starts a core with the given durable state."""
        durable.setdefault("boot", 1)
        self.cores[name] = Core(
            durable=DurableState(
                member_id=make_member_id(name),
                boot_nonce=f"{name}-{durable['boot']}",
                **durable,
            ),
            timing=self.timing,
            random_source=random.Random(1),
            now=self.now,
        )
        self.syncs.setdefault(name, 0)
        self.completed.setdefault(name, [])
        self.run_actions(name)

    def state(self, name):
        return self.cores[name].state

    def run_actions(self, name):
        """Carries out a core's actions; messages are added to ``queue``."""
        core = self.cores[name]
        core.flush(now=self.now)
        deferred = []
        while batch := core.take_actions():
            phases = split_into_phases(batch)
            deferred.extend(phases.immediate)
            if phases.storage:
                self.syncs[name] += 1
                core.synced(now=self.now)
                core.flush(now=self.now)
            deferred.extend(phases.deferred)
        for action in deferred:
            match action:
                case actions.Send(receiver=receiver, message=message):
                    item = QueuedMessage(
                        sender=name, receiver=receiver.replica_id, message=message
                    )
                    self.queue.append(item)
                case _:
                    self.completed[name].append(action)

    def take(self, *types, sender=None, receiver=None):
        """Removes and returns the queued messages that match."""
        taken = [
            item
            for item in self.queue
            if (not types or isinstance(item.message, types))
            and sender in (None, item.sender)
            and receiver in (None, item.receiver)
        ]
        self.queue = [item for item in self.queue if item not in taken]
        return taken

    def deliver(self, queued, *, process=None):
        """Delivers messages; replies are queued in turn."""
        for item in queued:
            core = self.cores.get(item.receiver)
            if core is None:
                continue
            core.receive(
                sender=make_member_id(item.sender),
                process=process or self.state(item.sender).boot_nonce,
                message=item.message,
                now=self.now,
            )
            self.run_actions(item.receiver)

    def inject(self, sender, receiver, message):
        """Delivers a message that the sender's core did not create itself."""
        item = QueuedMessage(sender=sender, receiver=receiver, message=message)
        self.deliver([item])

    def durable_copy(self, name):
        """Returns the durable state that a copy of a core's folder contains now."""
        state = self.state(name)
        return {
            "snapshot": self.initial_snapshot,
            "entries": list(state.log.entries),
            "term": state.term,
            "vote": state.vote,
            "peers": dict(state.peers),
        }

    def deliver_all(self, *, without=()):
        """Delivers until the queue is empty; drops messages from or to ``without``."""
        while queued := self.take():
            self.deliver(
                item
                for item in queued
                if item.sender not in without and item.receiver not in without
            )

    def advance(self, seconds, names=None):
        """Advances the clock and runs the timers of the named cores."""
        self.now += seconds
        for name in names or list(self.cores):
            self.cores[name].tick(now=self.now)
            self.run_actions(name)

    def elect(self, name, *, only=()):
        """Makes a core the leader; delivers only messages of the types ``only``."""
        self.now += 10.0
        for _ in range(MAX_CAMPAIGNS):
            self.now = max(self.now, self.state(name).election_deadline)
            self.cores[name].tick(now=self.now)
            self.run_actions(name)
            while queued := self.take(*only):
                self.deliver(queued)
            if self.cores[name].is_leader:
                return
        raise AssertionError(f"{name} is not elected")

    def propose(self, name, *commands):
        """Proposes commands one by one in one batch; returns their indices."""
        core = self.cores[name]
        indices = [core.propose([c], now=self.now)[0][0] for c in commands]
        self.run_actions(name)
        return indices

    def actions_of(self, name, action_type):
        """Returns the completed actions of a core that have the given type."""
        return [a for a in self.completed[name] if isinstance(a, action_type)]
