"""A run with faults, and the check that no host serves an older version for too long.

The bound holds for a host that is in touch: it has run for a while, reaches the control
replicas that have a majority, and these have neither restarted nor been cut off from
each other meanwhile. Disks that stall, and machines that are late with all that they
do, take no host out of touch.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from .machines import SYNC_S, ModelLoop
from .tier import DATA_CENTRES, LIMITS, ModelTier

APPLY_S = 4.0  # from the acknowledgement of a version until it is in force
STABLE_S = 5.0
STABLE_AFTER_POWER_LOSS_S = 2 * STABLE_S
RUN_S = 60.0
CHECK_S = 0.05
FOUNDING_S = 5.0
MAX_RETURN_S = 4.0
MAX_HOST_LAG_S = 0.6  # for each message that an overloaded host handles
LATE_REPLY_S = (0.8, 1.3)


@dataclass(frozen=True, kw_only=True)
class LateHost:
    """A host that was in touch and behind an acknowledged version for too long."""

    host: str
    version: int
    acknowledged: int
    at: float

    def __str__(self):
        return (
            f"{self.at:.2f} s: {self.host} has version {self.version}, "
            f"{self.acknowledged} was acknowledged more than {APPLY_S} s before"
        )


@dataclass(kw_only=True)
class Disturbances:
    """When machines and the paths between them were last disturbed."""

    core_at: float = 0.0
    stable_s: float = STABLE_S  # after the last one
    hosts_at: dict = field(default_factory=dict)  # name of a host -> time

    def touch(self, host: str, now: float):
        """Records a disturbance of a host."""
        self.hosts_at[host] = now


class ControlRun:
    """One run: changes and faults at random times, drawn by a seed.

    ``faults`` names the kinds of faults, methods of this class.
    """

    def __init__(self, *, seed: int, faults: tuple[str, ...]):
        self.random = random.Random(seed)
        self.faults = faults
        self.tier = ModelTier(seed=seed)
        self.disturbed = Disturbances()
        self.lost = set()  # replicas that are down, stalled or cut off
        self.late = []  # LateHosts, the first of each host
        self.longest_s = 0.0  # that a host in touch was behind
        self.behind_since = {}  # name of a host -> acknowledgement it lacks
        self.counts = Counter()
        self.story = []  # (time, what happened)

    async def run(self):
        """Runs to the end; raises the first failure of a task of the run."""
        async with self.tier:
            self.tier.start()
            await asyncio.sleep(FOUNDING_S)
            async with asyncio.TaskGroup() as group:
                work = [group.create_task(self._change())]
                work += [
                    group.create_task(self._repeat(getattr(self, f"_{kind}")))
                    for kind in self.faults
                ]
                await self._check()
                for task in work:
                    task.cancel()

    @property
    def now(self):
        """The virtual time."""
        return asyncio.get_running_loop().time()

    async def _change(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await self.tier.change()

    async def _repeat(self, fault):
        while True:
            await asyncio.sleep(self.random.uniform(1.0, 15.0))
            await fault()

    def _tell(self, text):
        self.story.append((self.now, text))
        self.counts[text.split()[0]] += 1

    # ---- Check --------------------------------------------------------------------

    async def _check(self):
        while self.now < RUN_S:
            await asyncio.sleep(CHECK_S)
            for host in self.tier.hosts:
                self._check_host(host)

    def _check_host(self, host):
        if not self._is_in_touch(host):
            return
        due = self.tier.newest_acknowledged(self.now - APPLY_S)
        name = host.machine.name
        missed = [at for at, v in self.tier.acknowledged if v > host.version]
        if missed:
            self.longest_s = max(self.longest_s, self.now - min(missed))
        if host.version < due and name not in {late.host for late in self.late}:
            late = LateHost(
                host=name, version=host.version, acknowledged=due, at=self.now
            )
            self.late.append(late)

    def _is_in_touch(self, host):
        calm_since = max(
            self.disturbed.core_at,
            self.disturbed.hosts_at.get(host.machine.name, 0.0),
        )
        return (
            self.now - calm_since > self.disturbed.stable_s
            and self._reaches_majority(host)
        )

    def _reaches_majority(self, host):
        up = [replica for replica in self.tier.replicas if replica.is_up]
        connected = [
            replica
            for replica in up
            if sum(self._connects(replica, other) for other in up) >= 3
        ]
        return len(connected) >= 3 and all(self._connects(host, r) for r in connected)

    def _connects(self, one, other):
        return self.tier.network.reaches(one.machine, other.machine)

    # ---- Faults -------------------------------------------------------------------

    def _take_replica(self):
        """Returns a replica that may be lost now, or None."""
        free = [r for r in self.tier.replicas if r not in self.lost]
        if len(self.lost) >= LIMITS.losses:
            return None
        replica = self.random.choice(free)
        self.lost.add(replica)
        return replica

    async def _kills(self):
        replica = self._take_replica()
        if replica is None:
            return
        loses_disk = self.random.random() < 0.4
        self._tell(f"kill {replica.machine.name} wiped={loses_disk}")
        self.disturbed.core_at = self.now
        replica.kill(loses_disk=loses_disk)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        self._tell(f"start {replica.machine.name}")
        self.disturbed.core_at = self.now
        replica.start()
        await asyncio.sleep(LIMITS.catch_up_s)
        self.lost.discard(replica)

    async def _cuts(self):
        replica = self._take_replica()
        if replica is None:
            return
        names = [
            r.machine.name for r in self.tier.replicas if r.machine != replica.machine
        ]
        await self._cut(replica.machine.name, names)
        await asyncio.sleep(LIMITS.catch_up_s)
        self.lost.discard(replica)

    async def _cut(self, name, others):
        self._tell(f"cut {name}")
        self.disturbed.core_at = self.now
        for other in others:
            self.tier.network.block(name, other)
        await asyncio.sleep(self.random.uniform(2.0, 16.0))
        self._tell(f"join {name}")
        self.disturbed.core_at = self.now
        for other in others:
            self.tier.network.unblock(name, other)

    async def _bridge_cuts(self):
        one, other = self.random.sample(DATA_CENTRES, 2)
        machines = [m.machine for m in (*self.tier.replicas, *self.tier.hosts)]
        pairs = [
            (a.name, b.name)
            for a in machines
            for b in machines
            if (a.data_centre, b.data_centre) == (one, other)
        ]
        self._tell(f"bridge_cut {one} {other}")
        self._disturb_data_centres({one, other})
        for a, b in pairs:
            self.tier.network.block(a, b)
        await asyncio.sleep(self.random.uniform(2.0, 16.0))
        self._tell(f"bridge_join {one} {other}")
        self._disturb_data_centres({one, other})
        for a, b in pairs:
            self.tier.network.unblock(a, b)

    def _disturb_data_centres(self, names):
        self.disturbed.core_at = self.now
        for host in self.tier.hosts:
            if host.machine.data_centre in names:
                self.disturbed.touch(host.machine.name, self.now)

    async def _stalls(self):
        replica = self._take_replica()
        if replica is None:
            return
        length_s = self.random.uniform(2.0, 16.0)
        self._tell(f"stall {replica.machine.name} {length_s:.1f}")
        replica.machine.stalled_until = self.now + length_s
        await asyncio.sleep(length_s + LIMITS.catch_up_s)
        self.lost.discard(replica)

    async def _slow_disks(self):
        replica = self.random.choice(self.tier.replicas)
        self._tell(f"slow_disk {replica.machine.name}")
        replica.machine.sync_s = SYNC_S * self.random.choice((30, 100, 200))
        await asyncio.sleep(self.random.uniform(2.0, 16.0))
        replica.machine.sync_s = SYNC_S

    async def _full_disks(self):
        replica = self._take_replica()
        if replica is None:
            return
        self._tell(f"full_disk {replica.machine.name}")
        replica.machine.is_full = True
        await asyncio.sleep(self.random.uniform(2.0, 16.0))
        self._tell(f"room_on_disk {replica.machine.name}")
        replica.machine.is_full = False
        await asyncio.sleep(LIMITS.catch_up_s)
        self.lost.discard(replica)

    async def _host_restarts(self):
        host = self.random.choice(self.tier.hosts)
        self._tell(f"restart {host.machine.name}")
        host.kill()
        self.disturbed.touch(host.machine.name, self.now + 1.0)
        await asyncio.sleep(1.0)
        host.start()

    async def _power_losses(self):
        """All machines lose power right after a change; some lose their disks."""
        if self.lost:
            return
        self.disturbed.stable_s = STABLE_AFTER_POWER_LOSS_S
        self.lost.update(self.tier.replicas)
        await self.tier.change()
        wiped = self.random.sample(self.tier.replicas, LIMITS.losses)
        self._tell(f"power_loss wiped={[r.machine.name for r in wiped]}")
        for replica in self.tier.replicas:
            replica.kill(loses_disk=replica in wiped)
        for host in self.tier.hosts:
            host.kill()
        # Until all are back, nobody is in touch.
        self.disturbed.core_at = self.now + MAX_RETURN_S
        await asyncio.gather(
            *map(self._return, (*self.tier.replicas, *self.tier.hosts))
        )
        self._tell("power_back")
        await asyncio.sleep(LIMITS.catch_up_s)
        self.lost.clear()

    async def _return(self, machine):
        await asyncio.sleep(self.random.uniform(1.0, MAX_RETURN_S))
        machine.start()

    async def _overloads(self):
        await self._delay_a_host(self.random.uniform(0.1, MAX_HOST_LAG_S))

    async def _late_replies(self):
        """A host handles each reply later than its polls used to wait for it."""
        await self._delay_a_host(self.random.uniform(*LATE_REPLY_S))

    async def _delay_a_host(self, lag_s):
        host = self.random.choice(self.tier.hosts)
        self._tell(f"overload {host.machine.name} {lag_s:.2f}")
        host.machine.lag_s = lag_s
        await asyncio.sleep(self.random.uniform(2.0, 16.0))
        host.machine.lag_s = 0.0


ALL_FAULTS = (
    "kills",
    "cuts",
    "bridge_cuts",
    "stalls",
    "slow_disks",
    "full_disks",
    "host_restarts",
    "overloads",
)
# They leave too little time for the other faults, or replace one of them.
EXTRA_FAULTS = ("power_losses", "late_replies")


def run_with_faults(*, seed: int, faults: tuple[str, ...] = ALL_FAULTS) -> ControlRun:
    """Returns the run after its end."""
    run = ControlRun(seed=seed, faults=faults)
    loop = ModelLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run.run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    return run
