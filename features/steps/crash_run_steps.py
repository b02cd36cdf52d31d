"""Steps for the randomised run of the quarantine of routed requests."""

from behave import then, when

from support.crash_run import CrashRun

RUN_S = 30.0
SEARCHERS = 30
HARMLESS_PER_S = 200.0
ALMOST_NEVER_PER_S = 1e-9
# So that each of the popular requests runs on several searchers that end.
MANY_PER_S = 1000.0
FREQUENT_END_GAP_S = 0.25


@when(
    "a request that ends searchers comes {rate:g} times a second to {hosts:d} hosts with "
    "{faults} faults, seed {seed:d}"
)
def step_run(context, rate, hosts, faults, seed):
    context.run = CrashRun(
        hosts=hosts,
        searchers=SEARCHERS,
        harmless_per_s=HARMLESS_PER_S,
        crashing_per_s=rate,
        faults=faults == "other",
        seed=seed,
    )
    context.run.run(RUN_S)


@when(
    "searchers end by themselves and connections break at {hosts:d} hosts for "
    "{seconds:g} s"
)
def step_run_harmless(context, hosts, seconds):
    context.run = CrashRun(
        hosts=hosts,
        searchers=SEARCHERS,
        harmless_per_s=MANY_PER_S,
        crashing_per_s=ALMOST_NEVER_PER_S,
        faults=True,
        seed=11,
    )
    context.run.own_end_gap_s = FREQUENT_END_GAP_S
    context.run.run(seconds)
    assert context.run.counts["own ends"] > 100


@then(
    "at most {count:d} arrivals of it are later than {seconds:g} s after its third end"
)
def step_arrivals(context, count, seconds):
    run = context.run
    assert len(run.ends) >= 3, run.ends
    assert run.late_arrivals <= count, (run.late_arrivals, run.counts)


@then("at most {part:d} in {whole:d} harmless requests are refused")
def step_refused(context, part, whole):
    counts = context.run.counts
    assert counts["refused"] * whole <= part * counts["harmless"], counts


@then("no harmless request is refused")
def step_none_refused(context):
    assert context.run.counts["refused"] == 0, context.run.counts
