"""Scenarios, which set up the load and the faults of a run."""

import random
from dataclasses import dataclass

import msgspec

from .searchers import CRASH_MARK, SERVICE_MEDIAN_S
from .tier import Tier

MEAN_SERVICE_S = (
    SERVICE_MEDIAN_S * 1.063
)  # mean to median of the log-normal distribution
RANDOM_LOAD_SHARE = 0.2  # share of the searchers that report a random load
CRASH_RESEND_S = 0.05
CRASH_RESENDS = 30
MOVES = 12  # pairs of searchers that swap their partitions
RESTART_DOWN_S = 0.3
STEADY_PROFILE = "steady"
STEADY_LOAD = 0.2  # share of capacity, below the profile's share of one half


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The duration of a run and the scale of a minute.

    ``minute_s`` virtual seconds represent a minute in the extra-load window
    and in the worst-minute measure. Latencies and deadlines are not scaled.
    """

    warm_up_s: float
    minutes: int
    minute_s: float
    load: float  # share of capacity

    @property
    def end_s(self):
        """Virtual time at which the load ends."""
        return self.warm_up_s + self.minutes * self.minute_s


def no_fault(tier, plan):
    """Injects no fault."""


def stragglers(tier, plan):
    """5% of the sub-requests take 10 times as long."""
    for searcher in tier.searchers.values():
        searcher.straggler_share = 0.05


def slow_searchers(tier, plan):
    """One searcher in ten takes 10 times as long."""
    for number, searcher in enumerate(tier.searchers.values()):
        if number % 10 == 4:
            tier.loop.at(plan.warm_up_s, setattr, searcher, "slow_factor", 10.0)


def replica_lost(tier, plan):
    """A replica is lost, and later another one."""
    names = list(tier.searchers)
    tier.loop.at(plan.warm_up_s + 0.2, tier.kill, names[0])
    tier.loop.at(plan.warm_up_s + plan.minute_s / 2, tier.kill, names[40])


def snapshot_rollout(tier, plan):
    """Searchers move to a new snapshot in turn while one of them drains."""
    names = list(tier.searchers)
    tier.random.shuffle(names)
    start = plan.warm_up_s + 0.2
    span = plan.minute_s * 0.6
    for number, name in enumerate(names):
        at = start + span * number / len(names)
        searcher = tier.searchers[name]
        tier.loop.at(at, _take_snapshot, tier, searcher)
        tier.loop.at(at + 1.0, _drop_snapshot, tier, searcher)
    tier.loop.at(start + span / 2, _drain, tier, tier.searchers[names[0]])


def _take_snapshot(tier, searcher):
    searcher.snapshots.add("s2")
    searcher.announced = set(searcher.snapshots)
    tier.publish()


def _drop_snapshot(tier, searcher):
    # The searcher drops the data at once; entry hosts are informed later.
    searcher.snapshots.discard("s1")
    searcher.announced = set(searcher.snapshots)
    tier.publish()


def _drain(tier, searcher):
    searcher.state = "draining"
    tier.publish()


def overload(tier, plan):
    """The load is at or above capacity, and searchers shed a small share of it."""
    for searcher in tier.searchers.values():
        searcher.shed_share = 0.002


def crashing_request(tier, plan):
    """A request that crashes each searcher that runs it is sent repeatedly."""
    tier.loop.at(plan.warm_up_s + 0.2, _send_crashing, tier, 0)


def _send_crashing(tier, number):
    if number < CRASH_RESENDS:
        entry = tier.host_list[number % len(tier.host_list)]
        query = b'{"q":"' + CRASH_MARK + b'"}'
        tier.send(query=query, entry=entry)
        tier.loop.after(CRASH_RESEND_S, _send_crashing, tier, number + 1)


def silent_connections(tier, plan):
    """A tenth of the open connections stop delivering replies for good."""
    for searcher in tier.searchers.values():
        tier.loop.at(plan.warm_up_s + 0.2, searcher.turn_silent, 0.1)
        tier.loop.at(plan.warm_up_s + plan.minute_s / 2, searcher.turn_silent, 0.1)


def slow_data_centre(tier, plan):
    """All searchers of one data centre take 10 times as long."""
    zone = tier.deployment.zones[0]
    for searcher in tier.searchers.values():
        if searcher.spec.zone == zone:
            tier.loop.at(plan.warm_up_s, setattr, searcher, "slow_factor", 10.0)


def moving_partitions(tier, plan):
    """Pairs of searchers swap their partitions while they serve."""
    names = list(tier.searchers)
    tier.random.shuffle(names)
    start = plan.warm_up_s + 0.2
    span = plan.minute_s * 0.6
    for number in range(MOVES):
        one = tier.searchers[names[2 * number]]
        other = tier.searchers[names[2 * number + 1]]
        at = start + span * number / MOVES
        for mover, target in ((one, other), (other, one)):
            partition = target.spec.partition
            tier.loop.at(at, _take_partition, tier, mover, partition)
            tier.loop.at(at + 1.0, _drop_partition, tier, mover, partition)


def _take_partition(tier, searcher, partition):
    searcher.partitions.add(partition)
    searcher.announced_partitions = set(searcher.partitions)
    tier.publish()


def _drop_partition(tier, searcher, kept):
    # The searcher drops the data at once; entry hosts are informed later.
    searcher.partitions = {kept}
    searcher.announced_partitions = {kept}
    tier.publish()


def lost_data_centre(tier, plan):
    """All searchers and entry hosts of one data centre are lost at once."""
    zone = tier.deployment.zones[0]
    tier.loop.at(plan.warm_up_s + 0.2, tier.lose_zone, zone)


def cold_starts(tier, plan):
    """One searcher in three restarts, one after another, and is slow at first."""
    names = list(tier.searchers)[::3]
    tier.random.shuffle(names)
    start = plan.warm_up_s + 0.2
    span = plan.minute_s * 0.7
    for number, name in enumerate(names):
        at = start + span * number / len(names)
        tier.loop.at(at, tier.restart, name, RESTART_DOWN_S)


def flood(tier, plan):
    """One profile sends an excessive load; another of equal weight does not.

    The other one stays within its share of the capacity.
    """
    steady = msgspec.structs.replace(tier.profiles[0], name=STEADY_PROFILE)
    tier.profiles = (*tier.profiles, steady)
    tier.publish(spread_s=0.0)
    rate = tier.capacity(MEAN_SERVICE_S) * STEADY_LOAD
    tier.start_load(rate=rate, until=plan.end_s, profile=steady)


SCENARIOS = {
    "no-fault": (no_fault, None),
    "stragglers": (stragglers, None),
    "slow-searchers": (slow_searchers, None),
    "replica-lost": (replica_lost, None),
    "snapshot-rollout": (snapshot_rollout, None),
    "overload-1x": (overload, 1.0),
    "overload-2x": (overload, 2.0),
    "overload-5x": (overload, 5.0),
    "crashing-request": (crashing_request, None),
    "silent-connections": (silent_connections, None),
    "slow-data-centre": (slow_data_centre, None),
    "lost-data-centre": (lost_data_centre, None),
    "moving-partitions": (moving_partitions, None),
    "cold-starts": (cold_starts, None),
    "flood": (flood, 5.0),
}


def run_scenario(*, name, deployment, policy_class, seed, plan, trace=None):
    """Runs one scenario to its end and returns the tier."""
    setup, load = SCENARIOS[name]
    tier = Tier(
        deployment=deployment,
        policy_class=policy_class,
        seed=seed,
        window_s=plan.minute_s,
        random=random.Random(f"{seed}/{name}"),
    )
    for number, searcher in enumerate(tier.searchers.values()):
        searcher.reports_random_load = number % round(1 / RANDOM_LOAD_SHARE) == 0
    tier.trace = trace
    setup(tier, plan)
    share = plan.load if load is None else load
    rate = tier.capacity(MEAN_SERVICE_S) * share
    tier.start_load(rate=rate, until=plan.end_s)
    tier.loop.run(plan.end_s + 2.5)
    return tier
