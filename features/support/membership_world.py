"""Simulated time and a simulated replicated group for the control service.

The group is correct by construction: a proposal may be lost, committed late or
committed without the proposer's knowledge, but a committed entry is never lost. The
control service, its state machine and its reconciliation are the real ones.
"""

import asyncio
import heapq
import itertools
import random

from loguru import logger

from plantainstage._control.reconciler import Reconciler
from plantainstage._control.service import ControlService
from plantainstage._errors import NotLeaderError, OutcomeUnknownError
from plantainstage._membership.machine import MembershipMachine
from plantainstage._messages.control import NotLeader

KEEP_BYTES = {"c1": 600, "c2": 900, "c3": 1200}
LOOP_ITERATIONS = 16  # enough for the longest chain of tasks between two events


class World:
    """Simulated time, randomness and counts of what happened."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.queue = []
        self.sequence = itertools.count()
        self.tasks = set()
        self.failures = []
        self.counts = {}

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def schedule(self, delay, callback):
        """Calls ``callback`` after a simulated delay in seconds."""
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), callback))

    def wall_ms(self):
        return 1_700_000_000_000 + int(self.now * 1000)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def run(self, steps):
        """Runs events in order of time; the first failure of a task ends the run."""
        logger.disable("plantainstage")
        try:
            for _ in range(steps):
                self.now, _, callback = heapq.heappop(self.queue)
                callback()
                for _ in range(LOOP_ITERATIONS):
                    await asyncio.sleep(0)
                if self.failures:
                    raise self.failures[0]
        finally:
            logger.enable("plantainstage")
            for task in tuple(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)


class SimulatedLog:
    """The log of one replica of the group; implements ``ReplicatedLog``."""

    def __init__(self, group, name):
        self.group = group
        self.name = name
        self.term = 0
        self.is_leader = False
        self.applied = 0
        self.machine = MembershipMachine()

    @property
    def leader_address(self):
        return self.group.leader or ""

    def members(self):
        return ()

    async def propose(self, command):
        return await self.group.submit(self, command)

    async def confirm_leadership(self):
        return await self.group.submit(self, None)

    def catch_up(self, index):
        """Applies committed entries up to ``index``; returns the last result."""
        result = None
        while self.applied < index:
            self.applied += 1
            command = self.group.entries[self.applied - 1]
            result = self.machine.apply(index=self.applied, command=command)
        return result


class Replica:
    """One control process: its log, service and reconciliation."""

    def __init__(self, world, group, name):
        self.world = world
        self.name = name
        self.group = group
        self.frozen_until = 0.0
        self.start(SimulatedLog(group, name))

    def start(self, log):
        self.log = log
        self.service = ControlService(
            log=log,
            machine=log.machine,
            clock=lambda: self.world.now,
            wall_ms=self.world.wall_ms,
            count=self.world.count,
            # Room for two to four answers. The limits differ between replicas, which
            # must not make their states differ.
            keep_bytes=KEEP_BYTES[self.name],
        )
        self.reconciler = Reconciler(control_context=self.service.control_context)

    def when_running(self, callback):
        """Calls ``callback`` now, or once the replica is no longer frozen."""
        if self.world.now >= self.frozen_until:
            callback()
        else:
            self.world.schedule(
                self.frozen_until - self.world.now + 0.001,
                lambda: self.when_running(callback),
            )

    def tick(self):
        """Runs the reconciliation every 100 ms, as the control service does."""
        self.world.schedule(0.1, self.tick)
        if self.world.now >= self.frozen_until and self.log.is_leader:
            self.world.spawn(self.reconciler.reconcile())

    def receive(self, request, on_reply):
        """Handles a request; ``on_reply`` runs when the reply is decided."""

        async def handle():
            service = self.service
            reply = await service.handle(request)
            code = getattr(reply, "code", "")
            assert code != "invariant_violated", reply
            if service is self.service:
                on_reply(reply)

        self.when_running(lambda: self.world.spawn(handle()))


class Group:
    """Three replicas that agree on one log."""

    def __init__(self, world):
        self.world = world
        self.entries = []
        self.leader = None
        self.term = 0
        self.pending = {}
        self.numbers = itertools.count()
        self.replicas = {
            name: Replica(world, self, name) for name in ("c1", "c2", "c3")
        }
        for replica in self.replicas.values():
            replica.tick()
        self.elect("c1")

    def submit(self, log, command):
        """Returns a future; the term may end before the proposal is decided."""
        future = asyncio.get_running_loop().create_future()
        if not log.is_leader:
            future.set_exception(NotLeaderError(leader_address=self.leader or ""))
            return future
        number = next(self.numbers)
        self.pending[number] = (log, log.term, command, future)
        self.world.schedule(self.world.random.uniform(0.001, 0.03), self._decide_next)
        return future

    def _decide_next(self):
        if self.pending:
            self._decide(min(self.pending))

    def _decide(self, number):
        """Commits a proposal or confirms a read, if its term is still the current one."""
        log, term, command, future = self.pending.pop(number)
        replica = self.replicas[log.name]
        if term != self.term:
            error = NotLeaderError() if command is None else OutcomeUnknownError()
            replica.when_running(lambda: _fail(future, error))
            return
        if command is not None:
            self.entries.append(command)
        index = len(self.entries)

        def apply():
            result = log.catch_up(index)
            if not future.done():
                future.set_result(index if command is None else result)

        replica.when_running(apply)

    def elect(self, name):
        """Starts a new term; the old leader learns of it later."""
        self.world.count("election")
        old = self.replicas.get(self.leader)
        # A pending proposal of the old term may be in the new leader's log or lost.
        for number in sorted(self.pending):
            log, term, command, future = self.pending.pop(number)
            if command is not None and self.world.random.random() < 0.5:
                self.entries.append(command)
            error = NotLeaderError() if command is None else OutcomeUnknownError()
            self.replicas[log.name].when_running(
                lambda future=future, error=error: _fail(future, error)
            )
        self.term += 1
        self.leader = name
        if old is not None and old.name != name:
            old_log, old_term = old.log, old.log.term

            def notice():
                if old_log.term == old_term:
                    old_log.is_leader = False

            self.world.schedule(
                self.world.random.choice((0.0, 0.2, 1.0)),
                lambda: old.when_running(notice),
            )
        new = self.replicas[name]
        new.log.catch_up(len(self.entries))
        new.log.term = self.term
        new.log.is_leader = True

    def elect_other(self):
        """Elects a running replica other than the leader."""
        others = [
            name
            for name, replica in self.replicas.items()
            if name != self.leader and self.world.now >= replica.frozen_until
        ]
        if others:
            self.elect(self.world.random.choice(others))

    def freeze(self):
        """Freezes one replica for a while; another one is elected if it was the leader."""
        name = self.world.random.choice(sorted(self.replicas))
        replica = self.replicas[name]
        if any(self.world.now < item.frozen_until for item in self.replicas.values()):
            return
        self.world.count("replica frozen")
        replica.frozen_until = self.world.now + self.world.random.uniform(0.1, 6.0)
        if name == self.leader:
            self.world.schedule(0.6, self._elect_if_still_frozen(name))

    def _elect_if_still_frozen(self, name):
        def elect():
            if self.leader == name and (
                self.world.now < self.replicas[name].frozen_until
            ):
                self.elect_other()

        return elect

    def restart(self):
        """Restarts a replica from the snapshot of another one."""
        name = self.world.random.choice(sorted(self.replicas))
        replica = self.replicas[name]
        if self.world.now < replica.frozen_until:
            return
        self.world.count("replica restarted")
        if name == self.leader:
            self.elect_other()
        source = self.world.random.choice(sorted(self.replicas))
        other = self.replicas[source].log
        log = SimulatedLog(self, name)
        if other is not replica.log:
            log.machine.restore(snapshot=other.machine.take_snapshot())
            log.applied = other.applied
        replica.log.is_leader = False
        replica.start(log)
        if name == self.leader:
            self.elect(name)

    def check_equal_states(self):
        """Checks that all replicas reach the same state from the same log."""
        snapshots = set()
        for replica in self.replicas.values():
            replica.log.catch_up(len(self.entries))
            snapshots.add(replica.log.machine.take_snapshot())
        assert len(snapshots) == 1, "replicas differ at the same index"


def _fail(future, error):
    if not future.done():
        future.set_exception(error)


def call(
    world,
    group,
    request,
    on_reply,
    *,
    disconnected=lambda: False,
    on_decided=None,
    to_any=False,
):
    """Sends a request over a network that loses, delays, repeats and reorders.

    ``on_decided`` runs at the moment at which the reply is decided. Most requests go
    to the leader, those with ``to_any`` to a random replica.
    """
    to_leader_probability = 0.0 if to_any else 0.9
    target = group.replicas[
        group.leader
        if world.random.random() < to_leader_probability
        else world.random.choice(sorted(group.replicas))
    ]
    copies = 1 if world.random.random() < 0.9 else 2

    def decided(reply):
        if isinstance(reply, NotLeader):
            return
        if on_decided is not None:
            on_decided(reply)
        if world.random.random() < 0.05:
            world.count("reply lost")
            return
        world.schedule(
            _delay(world), lambda: None if disconnected() else on_reply(reply)
        )

    for _ in range(copies):
        world.schedule(
            _delay(world),
            lambda: None if disconnected() else target.receive(request, decided),
        )


def _delay(world):
    if world.random.random() < 0.02:
        return world.random.uniform(0.1, 2.5)
    return world.random.uniform(0.001, 0.02)
