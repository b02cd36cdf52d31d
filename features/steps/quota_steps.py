"""Steps for the ledger and the permits of quotas, in virtual time."""

import itertools

from behave import then, when

from support.quota_mutations import MUTATIONS
from support.quota_run import Faults, QuotaRun, Rules, quota_of

FAULTS = {
    "no faults": (),
    "cuts": ("cut",),
    "suspensions": ("suspend",),
    "kills": ("kill",),
    "split leaders": ("split",),
    "leader changes": ("leader", "lost_leader"),
    "all faults": ("cut", "suspend", "kill", "leader", "lost_leader"),
    "rare faults": ("cut", "suspend", "kill", "leader", "lost_leader"),
}
EVERY_S = 5.0
# A new ledger grants the whole rate only after 6.5 s.
INTERVALS_S = {"rare faults": 60.0, "split leaders": 20.0}
QUOTAS = ((25, 25), (25, 100), (100, 100))  # rate and burst of these runs
SEEDS = range(1, 9)  # of the runs that must find a missing rule
STRANDED_GROUPS = 11
STRANDED_FROM_S = 4.0
STRANDED_UNTIL_S = 158.0
STRANDED_RUN_S = 167.0


def faults_of(name):
    """Returns the faults of a run; lost and late messages come with them."""
    kinds = FAULTS[name]
    if not kinds:
        return Faults()
    every_s = INTERVALS_S.get(name, EVERY_S)
    disturbed = name != "rare faults"
    return Faults(
        kinds=kinds,
        every_s=every_s,
        loss=0.02 * disturbed,
        late=0.02 * disturbed,
        twice=0.5 * disturbed,
    )


def stranded_run(*, hosts, seed, rules=None):
    run = QuotaRun(
        hosts=hosts,
        quotas=[(0.0, quota_of(100, 100))],
        demand=0.8,
        seed=seed,
        run_s=STRANDED_RUN_S,
        shift_s=0.0,
        faults=Faults(loss=0.02, late=0.02, twice=0.5),
        rules=rules,
    )
    run.strand(
        STRANDED_FROM_S, STRANDED_UNTIL_S, groups=STRANDED_GROUPS, suspended=True
    )
    run.run()
    return run


def mutation_run(faults, rate, burst, seed, rules):
    if faults == "stranded hosts":
        return stranded_run(hosts=12, seed=seed, rules=rules)
    run = QuotaRun(
        hosts=9,
        quotas=[(0.0, quota_of(rate, burst))],
        demand=3.0,
        seed=seed,
        faults=faults_of(faults),
        rules=rules,
    )
    run.run()
    return run


def breaks(run):
    return run.excess() > 0 or run.counted_too_often() > 0


@when(
    "callers ask {hosts:d} hosts for {demand:g} times a quota of {rate:g} a second and "
    "{burst:g} under {faults}, seed {seed:d}"
)
def step_run(context, hosts, demand, rate, burst, faults, seed):
    context.run = QuotaRun(
        hosts=hosts,
        quotas=[(0.0, quota_of(rate, burst))],
        demand=demand,
        seed=seed,
        run_s=200.0 if faults == "rare faults" else 60.0,
        faults=faults_of(faults),
    )
    context.run.run()
    assert context.run.runs


@when(
    "hosts with permits for a quota of 100 a second and 100 are suspended in turn, "
    "{hosts:d} hosts, seed {seed:d}"
)
def step_strand(context, hosts, seed):
    context.run = stranded_run(hosts=hosts, seed=seed)


@when(
    "the quota of callers at {hosts:d} hosts is lowered and raised under {faults}, "
    "seed {seed:d}"
)
def step_changes(context, hosts, faults, seed):
    context.run = QuotaRun(
        hosts=hosts,
        quotas=[
            (0.0, quota_of(25, 25)),
            (20.0, quota_of(2, 2)),
            (45.0, quota_of(50, 10)),
            (70.0, quota_of(0.5, 1)),
            (95.0, quota_of(25, 100)),
        ],
        demand=3.0,
        seed=seed,
        run_s=120.0,
        faults=faults_of(faults),
    )
    context.run.run()


@when(
    "the run with a quota of {rate:g} a second and {burst:g} under {faults} is "
    "repeated without {rule}"
)
def step_mutation(context, rate, burst, faults, rule):
    rules = MUTATIONS[rule]
    context.broken = [
        seed for seed in SEEDS if breaks(mutation_run(faults, rate, burst, seed, rules))
    ]


@then("no window has more requests than the bound")
def step_bound(context):
    assert context.run.excess() <= 0, context.run.excess()


@then("no ledger has counted a request twice")
def step_counts(context):
    assert context.run.counted_too_often() <= 0, context.run.counted_too_often()


@then("after each raise most of the new quota is used")
def step_raised(context):
    for began_at, ended_at, rate in ((45.0, 70.0, 50), (95.0, 120.0, 25)):
        settled_at = began_at + 5.0
        used = sum(settled_at <= at < ended_at for at in context.run.runs)
        assert used >= 0.9 * rate * (ended_at - settled_at), (began_at, used)


@then("no request within the quota is refused")
def step_not_refused(context):
    refused = [r for r in context.run.refusals if r.within_quota]
    assert not refused, refused


@then("no request within the quota is refused except soon after a fault")
def step_refused_soon_after(context):
    assert context.run.faults_at
    refused = context.run.refused_in_vain()
    assert not refused, refused


@then("at least {share:g} of the quota is used")
def step_used(context, share):
    run = context.run
    owed = run.quota.rate_per_s * run.run_s + run.quota.burst
    assert len(run.runs) >= share * owed, (len(run.runs), owed)


@then("refused callers are told different times")
def step_spread(context):
    due = {}
    for refusal in context.run.refusals:
        second = int((refusal.at + refusal.retry_after_s) * 10)
        due[second] = due.get(second, 0) + 1
    refused = len(context.run.refusals)
    assert max(due.values()) <= max(40, 0.05 * refused), max(due.values())


@then("some run breaks a bound or counts twice")
def step_found(context):
    assert context.broken


@then("the runs that find missing rules break nothing with all rules")
def step_all_rules(context):
    for faults in ("stranded hosts", "cuts", "leader changes", "split leaders"):
        for (rate, burst), seed in itertools.product(QUOTAS, SEEDS):
            run = mutation_run(faults, rate, burst, seed, Rules())
            assert not breaks(run), (faults, rate, burst, seed, run.excess())
