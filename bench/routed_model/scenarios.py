"""Troubles of searchers, each at set times of a run."""

import asyncio
from dataclasses import dataclass

from .tier import RoutedTier
from .virtual_loop import VirtualLoop

WARM_UP_S = 3.0
SETTLE_S = 3.0  # after the last request was sent


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """What happens to a share of all searchers of shards, from ``WARM_UP_S`` on."""

    slow_share: float = 0.0
    slow_factor: float = 8.0
    remove_share: float = 0.0
    shed_share: float = 0.0  # of the searchers
    shed_rate: float = 0.6  # of the requests at these
    dark_share: float = 0.0


SCENARIOS = {
    "calm": Trouble(),
    "slow": Trouble(slow_share=0.15),
    "slow-and-fewer": Trouble(slow_share=0.15, remove_share=0.15),
    "shedding": Trouble(shed_share=0.8),
    "dark": Trouble(dark_share=0.1),
}


@dataclass(frozen=True, kw_only=True)
class Measures:
    """What callers got from the time of the trouble on; shares of 1.

    ``extra`` is the number of arrivals at searchers of shards beyond the first of
    each request, as a share of these.
    """

    scenario: str
    deployment: str
    seed: int
    credit: float
    by_kind: dict[str, float]
    late: float
    failed: float
    missing: float
    extra: float
    p99_ms: dict[str, float]


def run_scenario(
    *, name, deployment, seed, seconds, load, owner_hop_ms=None
) -> Measures:
    """Plays one scenario and returns what callers got."""
    loop = VirtualLoop()
    try:
        playing = _play(name, deployment, seed, seconds, load, owner_hop_ms)
        return loop.run_until_complete(playing)
    finally:
        loop.close()


async def _play(name, deployment, seed, seconds, load, owner_hop_ms):
    tier = RoutedTier(
        deployment=deployment, seed=seed, load=load, owner_hop_ms=owner_hop_ms
    )
    tier.start(until=WARM_UP_S + seconds)
    await asyncio.sleep(WARM_UP_S)
    arrived = _shard_arrivals(tier)
    first = sum(tier.first_sends[shard] for shard in tier.shards)
    _begin(tier, SCENARIOS[name])
    await asyncio.sleep(seconds + SETTLE_S)
    extra = _shard_arrivals(tier) - arrived
    first = sum(tier.first_sends[shard] for shard in tier.shards) - first
    return _measure(tier, name, seed, extra / max(1, first) - 1)


def _shard_arrivals(tier):
    return sum(m.arrivals for shard in tier.shards for m in tier.models[shard])


def _begin(tier, trouble):
    """Draws the searchers of each trouble apart from each other."""
    models = [model for shard in tier.shards for model in tier.models[shard]]
    tier.random.shuffle(models)

    def draw(share):
        count = round(share * len(tier.shards) * tier.deployment.shard.searchers)
        return [models.pop() for _ in range(min(count, len(models)))]

    for model in draw(trouble.remove_share):
        if len(tier.models[model.searcher.service]) > 1:
            tier.remove(model)
    for model in draw(trouble.slow_share):
        model.slow = trouble.slow_factor
    for model in draw(trouble.dark_share):
        model.dark = True
    for model in draw(trouble.shed_share):
        model.shed_share = trouble.shed_rate


def _measure(tier, name, seed, extra):
    records = [r for r in tier.records if r.started_at >= WARM_UP_S]
    caller_s = 2 * tier.deployment.caller_ms / 1000
    answered = [r for r in records if r.answered_at is not None]
    late = [r for r in answered if r.took_s + caller_s > r.kind.aim_ms / 1000]
    gathered = [r for r in answered if r.kind.needed]
    by_kind, p99_ms = {}, {}
    for kind in tier.deployment.kinds:
        own = [r for r in records if r.kind is kind]
        by_kind[kind.name] = sum(r.credit(caller_s) for r in own) / (
            max(1, len(own)) * kind.worth
        )
        times = sorted(r.took_s for r in own if r.answered_at is not None)
        p99_ms[kind.name] = 1000 * times[int(0.99 * len(times))] if times else 0.0
    owed = sum(r.kind.worth for r in records)
    return Measures(
        scenario=name,
        deployment=tier.deployment.name,
        seed=seed,
        credit=sum(r.credit(caller_s) for r in records) / owed,
        by_kind=by_kind,
        late=len(late) / len(records),
        failed=1 - len(answered) / len(records),
        missing=sum(1 - r.covered for r in gathered) / max(1, len(gathered)),
        extra=extra,
        p99_ms=p99_ms,
    )
