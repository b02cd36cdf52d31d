"""Runs the control service with hosts, operators and faults in simulated time."""

import asyncio

from support.membership_actors import Callers, Checks, Host, Operators, announce
from support.membership_world import Group, World


def run_simulation(*, seed, steps, faults=True):
    """Runs ``steps`` events and returns the number of events of each kind."""
    return asyncio.run(_run(seed, steps, faults))


async def _run(seed, steps, faults):
    world = World(seed)
    group = Group(world)
    checks = Checks(world)
    hosts = [Host(world, group, checks, f"e{number}") for number in range(1, 5)]
    operators = Operators(world, group, checks)
    callers = Callers(world, group, checks, hosts)
    _schedule_repeatedly(world, lambda: announce(world, group), mean_s=0.7)
    _schedule_repeatedly(world, operators.act, mean_s=0.8)
    _schedule_repeatedly(world, operators.read, mean_s=0.3)
    _schedule_repeatedly(world, callers.act, mean_s=0.3)
    if faults:
        _schedule_repeatedly(
            world, lambda: world.random.choice(hosts).inject_fault(), mean_s=2.0
        )
        _schedule_repeatedly(world, group.elect_other, mean_s=9.0)
        _schedule_repeatedly(world, group.freeze, mean_s=8.0)
        _schedule_repeatedly(world, group.restart, mean_s=15.0)
    started = world.now
    await world.run(steps)
    group.check_equal_states()
    world.counts["simulated seconds"] = round(world.now - started)
    world.counts["entries"] = len(group.entries)
    return dict(sorted(world.counts.items()))


def _schedule_repeatedly(world, action, *, mean_s):
    def fire():
        world.schedule(world.random.expovariate(1 / mean_s), fire)
        action()

    world.schedule(world.random.uniform(0, mean_s), fire)
