"""Steps for the simulated control service, its state machine and its planner."""

import asyncio
import itertools
import random
import sys

from behave import given, then, when

from plantainstage._control.memory_log import MemoryLog
from plantainstage._control.reconciler import Reconciler
from plantainstage._control.service import ControlService
from plantainstage._membership import commands
from plantainstage._membership.machine import MembershipMachine
from plantainstage._membership.planner import (
    PlannedHost,
    PlannedSearcher,
    plan_owners,
)
from plantainstage._messages import configuration, control
from support.membership_simulation import run_simulation
from support.processes import ROOT

sys.path.append(str(ROOT / "examples"))

from standin.deployments import DEPLOYMENTS, placements_of  # noqa: E402

DATA_CENTRES = ("upper-canal", "middle-canal", "lower-canal")


@when(
    "the control service is simulated for {steps:d} events with faults and seed {seed:d}"
)
def simulate_with_faults(context, steps, seed):
    context.counts = run_simulation(seed=seed, steps=steps)


@when(
    "the control service is simulated for {steps:d} events without faults and seed {seed:d}"
)
def simulate_without_faults(context, steps, seed):
    context.counts = run_simulation(seed=seed, steps=steps, faults=False)


def require(context, *names):
    missing = [name for name in names if not context.counts.get(name)]
    assert not missing, f"{missing} did not happen in {context.counts}"


@then("changes were decided, resent, in conflict and reported in force")
def check_changes(context):
    require(
        context, "change decided", "change resent", "change in conflict", "in force"
    )


@then("hosts were frozen, disconnected and restarted while leaders changed")
def check_faults(context):
    require(context, "host frozen", "host cut", "host restarted", "election")


@then("sub-requests and claims of every outcome took place")
def check_claims(context):
    require(context, "sub-request", "claim answered", "claim not_run", "claim unknown")
    require(context, "answer read", "answer not kept")


@then("no outcome was unknown")
def check_known(context):
    assert "outcome_unknown" not in context.counts, context.counts


@then("at least {count:d} sub-requests took place")
def check_sub_requests(context, count):
    assert context.counts["sub-request"] >= count, context.counts


def random_command(source):
    name = f"e{source.randrange(4)}"
    upstream_id = f"u{source.randrange(6)}"
    incarnation = str(source.randrange(3))
    upstream_process = commands.UpstreamProcess(
        upstream_id=upstream_id, incarnation=incarnation
    )
    upstream = configuration.Upstream(
        upstream_id=upstream_id,
        incarnation=incarnation,
        address="127.0.0.1:7400",
        data_centre="a",
        index="i",
        slots=3,
        connections=30,
        holdings=(
            configuration.SnapshotHolding(
                snapshot=f"s{source.randrange(2)}", partitions=("p",)
            ),
        ),
    )
    manifests = tuple(
        configuration.Manifest(
            index="i", snapshot=f"s{n}", sequence=n, documents={"p": 1}
        )
        for n in range(2)
    )
    entry = configuration.EntryHost(
        entry_id=name,
        incarnation=source.choice((incarnation, str(source.randrange(10_000)))),
        data_centre="a",
        caller_address="127.0.0.1:1",
        forward_address="127.0.0.1:2",
    )
    body = source.choice(
        (
            control.PublishProfile(
                profile=configuration.Profile(
                    name="x", index="i", deadline_ms=source.randrange(3000)
                )
            ),
            control.RetireProfile(name="x"),
            control.TakeUpstreamOut(upstream_id=upstream_id),
            control.PutUpstreamIn(upstream_id=upstream_id),
        )
    )
    now_ms = 1_700_000_000_000 + source.randrange(3) * 13 * 3600 * 1000
    # Few ids, so that many claims are completed, resent and dropped.
    request_id = f"{now_ms - source.randrange(3)}-booking-{source.randrange(5)}"
    kind = source.choice(tuple(control.ClaimOutcomeKind))
    return source.choice(
        (
            commands.ApplyChange(
                change=control.Change(
                    number=source.randrange(1, 400), operator="ada", body=body
                )
            ),
            commands.RegisterUpstreams(upstreams=(upstream,), manifests=manifests),
            commands.MarkUpstreamsLost(upstreams=(upstream_process,)),
            commands.ForgetUpstreams(upstreams=(upstream_process,)),
            commands.RegisterEntry(entry=entry),
            commands.RemoveEntry(
                entry_id=name, incarnation=incarnation, left=source.random() < 0.2
            ),
            commands.MoveOwners(
                assignments=tuple(
                    commands.Assignment(
                        upstream_id=f"u{number}",
                        entry_id=name,
                        expected_epoch=source.choice((0, source.randrange(60))),
                    )
                    for number in source.sample(range(6), 6)
                ),
                releases=(
                    commands.Release(
                        upstream_id=upstream_id, epoch=source.randrange(60)
                    ),
                ),
            ),
            commands.ForgetDeadlines(up_to_version=source.randrange(200)),
            commands.ClaimAttempt(
                request_id=request_id,
                nonce=str(source.randrange(4)),
                digest=str(source.random() < 0.9),
                entry_id=name,
                incarnation=incarnation,
                deadline_ms=100,
                now_ms=now_ms,
            ),
            commands.CompleteAttempt(
                request_id=request_id,
                attempt=source.randrange(1, 3),
                outcome=control.ClaimOutcome(
                    kind=kind, body=bytes(source.randrange(100))
                ),
                keep_bytes=source.choice((100, 200)),
            ),
            commands.AddQuarantine(
                fingerprint=str(source.randrange(5)), expires_ms=source.randrange(99)
            ),
            commands.ExpireQuarantines(now_ms=source.randrange(99)),
        )
    )


@given("{count:d} random commands with seed {seed:d}")
def make_commands(context, count, seed):
    source = random.Random(seed)
    context.commands = [
        commands.encode_command(random_command(source)) for _ in range(count)
    ]


@when("one machine applies them all and others start from its snapshots meanwhile")
def apply_commands(context):
    first = MembershipMachine()
    context.machines = [first]
    for index, command in enumerate(context.commands, 1):
        results = [
            machine.apply(index=index, command=command) for machine in context.machines
        ]
        assert all(result == results[0] for result in results), (index, results)
        if index % 500 == 0:
            restored = MembershipMachine()
            restored.restore(snapshot=first.take_snapshot())
            context.machines.append(restored)


@then("all machines hold equal states")
def compare_machines(context):
    snapshots = {machine.take_snapshot() for machine in context.machines}
    assert len(snapshots) == 1
    assert context.machines[0].state.version > 100


@given("{partitions:d} partitions of {replicas:d} searchers and {hosts:d} entry hosts")
def make_plan(context, partitions, replicas, hosts):
    context.searchers = [
        PlannedSearcher(
            upstream_id=f"rider-desk-{partition:02}-{replica}",
            data_centre=DATA_CENTRES[replica % len(DATA_CENTRES)],
            partitions=frozenset({f"ditch-turns/{partition}"}),
        )
        for partition in range(partitions)
        for replica in range(replicas)
    ]
    context.plan_hosts = tuple(
        PlannedHost(
            entry_id=f"entry-{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        for number in range(1, hosts + 1)
    )
    context.plans = [plan_owners(searchers=context.searchers, hosts=context.plan_hosts)]


@given(
    'the 83 searchers of the deployment "{name}" and {hosts:d} entry hosts over its data centres'
)
def make_plan_of_deployment(context, name, hosts):
    deployment = DEPLOYMENTS[name]
    context.searchers = [
        PlannedSearcher(
            upstream_id=item.upstream_id,
            data_centre=item.data_centre,
            partitions=frozenset({item.partition}),
        )
        for item in placements_of(deployment)
    ]
    centres = itertools.cycle(deployment.data_centres)
    context.plan_hosts = tuple(
        PlannedHost(entry_id=f"entry-{number}", data_centre=next(centres))
        for number in range(1, hosts + 1)
    )
    context.plans = [plan_owners(searchers=context.searchers, hosts=context.plan_hosts)]


@then("no host owns two replicas of a partition")
def check_spread(context):
    for plan in context.plans:
        assert len(plan) == len(context.searchers)
        pairs = {
            (plan[item.upstream_id], partition)
            for item in context.searchers
            for partition in item.partitions
        }
        assert len(pairs) == len(context.searchers)


@then("no host owns more than {most:d} searchers")
def check_balance(context, most):
    for plan in context.plans:
        owners = list(plan.values())
        assert max(owners.count(host.entry_id) for host in context.plan_hosts) <= most


@when("one of the hosts leaves")
def remove_each_host(context):
    context.first = context.plans[0]
    context.plans = [
        plan_owners(
            searchers=context.searchers,
            hosts=[host for host in context.plan_hosts if host != gone],
        )
        for gone in context.plan_hosts
    ]


def keep_hosts(context, hosts):
    context.first = context.plans[0]
    context.plan_hosts = hosts
    context.plans = [plan_owners(searchers=context.searchers, hosts=hosts)]


@when("all hosts of the upper canal leave")
def remove_data_centre(context):
    others = [h for h in context.plan_hosts if h.data_centre != "upper-canal"]
    keep_hosts(context, others)


@when("all hosts of the upper canal but one leave")
def leave_one_host(context):
    upper = [h for h in context.plan_hosts if h.data_centre == "upper-canal"]
    keep_hosts(context, [h for h in context.plan_hosts if h not in upper[1:]])


@then("every searcher has an owner in its own data centre")
def check_local_owners(context):
    data_centres = {host.entry_id: host.data_centre for host in context.plan_hosts}
    (plan,) = context.plans
    for searcher in context.searchers:
        assert data_centres[plan[searcher.upstream_id]] == searcher.data_centre


@then("every searcher of the other data centres keeps its owner")
def check_kept_owners(context):
    (plan,) = context.plans
    for searcher in context.searchers:
        if searcher.data_centre != "upper-canal":
            assert plan[searcher.upstream_id] == context.first[searcher.upstream_id]


@then("at most {most:d} searchers move on average over all hosts")
def check_moves(context, most):
    moves = [
        sum(plan[name] != owner for name, owner in context.first.items())
        for plan in context.plans
    ]
    assert sum(moves) / len(moves) <= most, moves


class SingleControl:
    """A control service on one replica in memory, with a clock set by the test."""

    def __init__(self, resources):
        # One event loop for all calls, since they share confirmations.
        self.runner = resources.enter_context(asyncio.Runner())
        self.now = 100.0
        self.machine = MembershipMachine()
        self.service = ControlService(
            log=MemoryLog(machine=self.machine, address="127.0.0.1:1"),
            machine=self.machine,
            clock=lambda: self.now,
        )
        self.reconciler = Reconciler(control_context=self.service.control_context)

    def handle(self, request):
        return self.runner.run(self.service.handle(request))

    def reconcile(self):
        self.runner.run(self.reconciler.reconcile())

    def renew(self, process):
        entry = configuration.EntryHost(
            entry_id="e1",
            incarnation=process,
            data_centre="a",
            caller_address="127.0.0.1:1",
            forward_address="127.0.0.1:2",
        )
        return self.handle(control.RenewEntryLease(entry=entry, applied_version=0))

    def announce(self):
        upstream = configuration.Upstream(
            upstream_id="u1",
            incarnation="1",
            address="127.0.0.1:3",
            data_centre="a",
            index="i",
            slots=3,
            connections=30,
            holdings=(),
        )
        return self.handle(control.AnnounceUpstreams(upstreams=(upstream,)))

    def ownership(self):
        return self.machine.configuration().ownerships[0]


@given('a control service where "e1" owns a searcher, with a deadline of {ms:d} ms')
def start_single_control(context, ms):
    context.single = SingleControl(context.resources)
    profile = configuration.Profile(name="x", index="i", deadline_ms=ms)
    change = control.Change(
        number=1, operator="ada", body=control.PublishProfile(profile=profile)
    )
    context.single.handle(control.SubmitChange(change=change))
    context.single.announce()
    context.single.renew("first")
    context.single.reconcile()
    assert context.single.ownership().active
    context.granted_at = context.single.now
    context.single.renew("first")


@when('"e1" restarts and a late renewal of its earlier process arrives')
def restart_single(context):
    context.single.now += 0.1
    assert isinstance(context.single.renew("second"), control.LeaseGranted)
    reply = context.single.renew("first")
    assert reply.code == "entry_superseded", reply


@then(
    "no host may send to the searcher until lease and deadline have passed, {ms:d} ms"
)
def check_wait(context, ms):
    single = context.single
    while not single.ownership().active:
        single.now += 0.1
        single.renew("second")
        single.announce()
        single.reconcile()
        assert single.now < context.granted_at + 10 * ms / 1000, "never released"
    assert single.now >= context.granted_at + ms / 1000, single.now
