"""Randomised simulation of Gather and OwnerQueue with faults.

Messages are carried by the tier model of the benchmarks. In addition, results are
lost, delayed, duplicated, reordered and forged, ownership moves, leases expire and
callers disconnect. The checks use only what searchers and callers received; the
program's own invariants raise InvariantViolation.
"""

import random
import sys
from dataclasses import replace
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "bench"), str(ROOT / "examples")]

import msgspec  # noqa: E402

from plantainstage._messages.configuration import Profile  # noqa: E402
from plantainstage._messages.forward import SubOutcome  # noqa: E402
from plantainstage._routing.gather import (  # noqa: E402
    FinishRequest,
    SendSubRequest,
)
from standin.deployments import ServiceGroup  # noqa: E402
from support.decision_checks import DecisionChecks  # noqa: E402
from tier_model.deployment import KOGI_BASIN  # noqa: E402
from tier_model.entry import EntryModel, QueueModel  # noqa: E402
from tier_model.policies import PlantainstagePolicy  # noqa: E402
from tier_model.searchers import CRASH_MARK, SearcherModel  # noqa: E402
from tier_model.tier import Tier  # noqa: E402

WINDOW_S = 3.0
DEPLOYMENT = replace(
    KOGI_BASIN,
    name="simulated",
    entry_hosts=3,
    groups=(
        ServiceGroup(
            name="part",
            partitions=2,
            replicas=3,
            slots=3,
            connections=6,  # an owner may use fewer connections than slots
            connect_ms=3,
        ),
        ServiceGroup(
            name="fast",
            partitions=2,
            replicas=3,
            slots=2,
            connections=20,
            connect_ms=1,
        ),
    ),
    profile=Profile(
        name="rider-gate",
        index="ditch-turns",
        deadline_ms=90,
        minimum_coverage=0.5,
        extra_load_limit=0.2,
        weight=3,
    ),
)
SECOND_PROFILE = Profile(
    name="ward-gate", index="ditch-turns", deadline_ms=140, extra_load_limit=0.1
)


class FaultySearcher(SearcherModel):
    """Records arrivals; some answers have a wrong snapshot or too few documents."""

    def receive(self, connection_id, sub_request, remaining_s, reply):
        if self.alive and connection_id not in self.silent_connections:
            self.checks.arrived(sub_request, self.loop.now)
        # Delivery and the searcher's timers are late by a few milliseconds.
        remaining_s += self.random.random() * 0.008
        super().receive(
            connection_id, sub_request, remaining_s, self._corrupted(sub_request, reply)
        )

    def _corrupted(self, sub_request, reply):
        def corrupted(answer):
            if answer.outcome is SubOutcome.ANSWERED:
                chance = self.random.random()
                if chance < 0.02:
                    answer.snapshot = "s0"
                elif chance < 0.04:
                    answer.documents //= 2
                    key = sub_request.sub_request_id
                    self.answers[key] = (*self.answers[key][:3], answer.documents)
            elif answer.outcome is SubOutcome.RESET:
                key = sub_request.sub_request_id
                self.checks.resets[sub_request.query].add(key)
            reply(answer)

        return corrupted


class FaultyEntry(EntryModel):
    """Loses, delays, forges and duplicates results; reports events to the checks."""

    def result(self, sub_result):
        request = self.requests_by_sub_request.get(sub_result.sub_request_id)
        if request is None:
            return
        rng = self.tier.faults
        chance = rng.random()
        if chance < 0.03:
            self.tier.log("result lost", sub_result.sub_request_id)
            return
        if chance < 0.08:
            self.loop.after(rng.random() * 0.2, self._pass, request, sub_result)
            return
        if chance < 0.11:
            self._pass(request, self._forged(sub_result, rng))
        self._pass(request, sub_result)
        if chance > 0.94:
            self.loop.after(rng.random() * 0.05, self._pass, request, sub_result)

    def _pass(self, request, sub_result):
        if sub_result.outcome is SubOutcome.RESET:
            self.tier.checks.reset_seen(self, request, sub_result, self.loop.now)
        self._gather_event(request, request.gather.on_result, sub_result)

    def _forged(self, sub_result, rng):
        fields = ({"snapshot": "s0"}, {"partition": "other"}, {"upstream_id": "other"})
        return msgspec.structs.replace(
            sub_result, hits=b'["forged"]', **rng.choice(fields)
        )

    def _gather_actions(self, request, actions):
        checks = self.tier.checks
        for action in actions:
            match action:
                case SendSubRequest(sub_request=sub_request):
                    checks.sent(self, request, sub_request, self.loop.now)
                case FinishRequest():
                    checks.finished(request, action, self.loop.now)
                    self.tier.active.discard(request)
        if not request.gather.finished:
            self.tier.active[request] = None
        super()._gather_actions(request, actions)


class _OrderedSet(dict):
    """A set with a fixed order, so that a seed gives the same run each time."""

    def discard(self, item):
        self.pop(item, None)


class DecisionSimulation:
    """One seeded run; ``log`` is called with a line for each event."""

    def __init__(self, *, seed, log=None):
        self.rng = random.Random(seed)
        self.checks = DecisionChecks(window_s=WINDOW_S)
        self.steps = 0
        self.verbose = log
        Tier.entry_class, Tier.searcher_class = FaultyEntry, FaultySearcher
        try:
            FaultySearcher.checks = self.checks
            self.tier = Tier(
                deployment=DEPLOYMENT,
                policy_class=PlantainstagePolicy,
                seed=seed,
                window_s=WINDOW_S,
                random=self.rng,
            )
        finally:
            Tier.entry_class, Tier.searcher_class = EntryModel, SearcherModel
        self.tier.profiles = (DEPLOYMENT.profile, SECOND_PROFILE)
        self.tier.faults = random.Random(f"{seed}/faults")
        self.tier.checks = self.checks
        self.tier.active = _OrderedSet()
        self.tier.log = self._log
        self.tier.publish(spread_s=0.0)
        for searcher in self.tier.searchers.values():
            searcher.straggler_share = 0.05
            searcher.shed_share = 0.01
        self.crash_number = 0
        self.operations = (
            (120, self._request),
            (20, self._non_idempotent_request),
            (2, self._disconnect_random_caller),
            (0.5, self._crashing_request),
            (1, self._kill_and_restart),
            (1, self._turn_silent),
            (1, self._roll_snapshot),
            (1, self._move_owner),
            (1, self._expire_lease),
            (0.5, self._burst),
        )

    def run(self, steps):
        """Performs random operations at random intervals."""
        weights = [weight for weight, _ in self.operations]
        for _ in range(steps):
            self.steps += 1
            (operation,) = self.rng.choices(self.operations, weights)
            operation[1]()
            self.tier.loop.run(self.tier.loop.now + self.rng.expovariate(250))

    def finish(self):
        """Lets outstanding requests end and checks the whole run."""
        self.tier.loop.run(self.tier.loop.now + 5.0)
        self.checks.check_all(self.tier)

    def report(self):
        """Returns event counts, which show whether the run covered the faults."""
        counts = dict(self.checks.counts)
        for entry in self.tier.host_list:
            for name, value in vars(entry.policy.routing.counters).items():
                counts[name] = counts.get(name, 0) + value
        return counts

    # ---- Operations ----------------------------------------------------------

    def _log(self, event, detail=""):
        self.checks.counts[event] += 1
        if self.verbose is not None:
            self.verbose(f"{self.tier.loop.now:9.4f} {event} {detail}")

    def _request(self):
        profile = self.rng.choice(self.tier.profiles)
        self.tier.send(query=b'{"q":%d}' % self.steps, profile=profile)

    def _non_idempotent_request(self):
        names = sorted({s.spec.partition for s in self.tier.searchers.values()})
        chosen = tuple(self.rng.sample(names, self.rng.choice((1, 1, 2))))
        self._log("non-idempotent request", ",".join(chosen))
        self.tier.send(
            query=b'{"book":%d}' % self.steps,
            profile=SECOND_PROFILE,
            idempotent=False,
            partitions=chosen,
        )

    def _burst(self):
        self._log("burst")
        for number in range(25):
            self.tier.send(query=b'{"burst":%d}' % (self.steps * 100 + number))

    def _disconnect_random_caller(self):
        if not self.tier.active:
            return
        request = self.rng.choice(list(self.tier.active))
        self._log("caller gone", request.record.request_id)
        entry = self.checks.entry_of.get(request, self.tier.host_list[0])
        entry._gather_event(request, request.gather.on_caller_disconnect)

    def _crashing_request(self):
        # Each crashing query is sent five times, through random hosts.
        self.crash_number += 1
        query = b'{"q":"%s %d"}' % (CRASH_MARK, self.crash_number)
        self._log("crashing request", self.crash_number)
        partitions = self.rng.choice(((), ("part-0",)))
        for number in range(5):
            self.tier.loop.after(0.06 * number, self._send_crashing, query, partitions)

    def _send_crashing(self, query, partitions):
        record = self.tier.send(
            query=query, profile=SECOND_PROFILE, partitions=partitions
        )
        if self.rng.random() < 0.3:
            self.tier.loop.after(0.003, self._disconnect_caller_of, record)

    def _disconnect_caller_of(self, record):
        for request in list(self.tier.active):
            if request.record is record:
                entry = self.checks.entry_of[request]
                entry._gather_event(request, request.gather.on_caller_disconnect)

    def _random_searcher(self):
        return self.rng.choice(list(self.tier.searchers.values()))

    def _kill_and_restart(self):
        searcher = self._random_searcher()
        if searcher.alive:
            self._log("searcher killed", searcher.spec.upstream_id)
            searcher.terminate()
            self.tier.loop.after(0.3, searcher.restart)

    def _turn_silent(self):
        searcher = self._random_searcher()
        self._log("connections silent", searcher.spec.upstream_id)
        searcher.turn_silent(0.6)

    def _roll_snapshot(self):
        newest = max(
            int(name[1:]) for s in self.tier.searchers.values() for name in s.snapshots
        )
        searcher = self._random_searcher()
        add = self.rng.random() < 0.6
        name = f"s{newest + (self.rng.random() < 0.1)}"
        if add:
            searcher.snapshots.add(name)
        elif len(searcher.snapshots) > 1:
            searcher.snapshots.discard(min(searcher.snapshots))
        searcher.announced = set(searcher.snapshots)
        self._log("snapshots", f"{searcher.spec.upstream_id} {searcher.snapshots}")
        self.tier.publish(spread_s=0.05)

    def _expire_lease(self):
        entry = self.rng.choice(self.tier.host_list)
        self._log("lease lapsed", entry.entry_id)
        entry.policy.lease.until = self.tier.loop.now
        self.tier.loop.after(0.05, setattr, entry.policy.lease, "until", float("inf"))

    # ---- Ownership -----------------------------------------------------------

    def _move_owner(self):
        tier = self.tier
        upstream_id = self.rng.choice(list(tier.searchers))
        if upstream_id in tier.moving:
            return
        old = tier.hosts[tier.owners[upstream_id]]
        new = self.rng.choice(tier.host_list)
        self._log("owner moves", f"{upstream_id} {old.entry_id} to {new.entry_id}")
        tier.moving.add(upstream_id)
        tier.publish(spread_s=0.05)
        queue = old.queues[upstream_id]
        old._queue_event(queue, queue.logic.end_ownership)
        self._move_when_idle(upstream_id, queue, new)

    def _move_when_idle(self, upstream_id, queue, new):
        tier = self.tier
        if queue.exchanges or not queue.logic.idle(tier.loop.now):
            tier.loop.after(0.005, self._move_when_idle, upstream_id, queue, new)
            return
        tier.epochs[upstream_id] = tier.epochs.get(upstream_id, 1) + 1
        tier.owners[upstream_id] = new.entry_id
        searcher = tier.searchers[upstream_id]
        logic = new.policy.queue(searcher.spec, {"rider-gate": 3, "ward-gate": 1})
        logic.begin_ownership(epoch=tier.epochs[upstream_id])
        new.queues[upstream_id] = QueueModel(entry=new, searcher=searcher, logic=logic)
        tier.moving.discard(upstream_id)
        tier.publish(spread_s=0.05)
