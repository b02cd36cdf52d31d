"""Measures of one run, from the replies to callers and the searchers' records."""

import sys
from collections import Counter

import msgspec
from chaos.checks import Checks
from chaos.history import History

from tier_processes.load import by_window

WINDOW_S = 2.0  # represents a minute in the worst-window measure
# An answer is late if it comes later than this after the deadline.
SCHEDULING_MARGIN_S = 0.005


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """One line of output; latencies are those of callers, from the due time.

    ``worst_window`` is the share of late, refused and lost requests in the worst
    window, ``extra_load`` the share of sub-requests beyond the first of each
    partition since the tier started (less than a minute, the window of the budget),
    and ``cpu_us`` the CPU time of the entry hosts for each sub-request, null if one
    was killed. ``late_at_host`` counts answers that were late by the elapsed time
    that they state; the others were delayed on their way or in this process.
    ``violations`` counts all violations that ``Checks`` found.
    """

    scenario: str
    deployment: str
    entry_hosts: int
    seed: int
    rate: float
    seconds: float
    requests: int
    good: int
    late: int
    late_at_host: int
    refused: dict[str, int]
    lost: int
    partial: int
    not_sent: int
    resent: int
    worst_window: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    sub_requests: int
    extra_load: float
    refused_by_searchers: int
    coverage_exact: bool
    caps_exceeded: int
    peak_connections_share: float
    violations: int
    snapshots: dict[str, int]
    cpu_us: float | None


class BenchHistory(History):
    """Prints to standard error, since the measures go to standard output."""

    def print_step(self, text):
        """Prints one step."""
        print(text, file=sys.stderr, flush=True)


def is_late(request, deadline_s):
    """Whether the answer came after the deadline plus the scheduling margin."""
    return request.elapsed_s > deadline_s + SCHEDULING_MARGIN_S


def is_bad(request, deadline_s):
    """Whether the request was late, refused or lost."""
    return request.last.status != 200 or is_late(request, deadline_s)


def quantile_ms(elapsed, share):
    """Returns a quantile of times in seconds, converted to milliseconds."""
    ordered = sorted(elapsed)
    position = min(int(len(ordered) * share), len(ordered) - 1)
    return round(ordered[position] * 1000, 1) if ordered else 0.0


def worst_window(requests, started_at, seconds, deadline_s):
    """Returns the highest share of bad requests in any window."""
    shares = [
        sum(is_bad(item, deadline_s) for item in window) / len(window)
        for window in by_window(requests, started_at, min(WINDOW_S, seconds))
    ]
    return round(max(shares, default=0.0), 4)


def check_history(tier, requests, runs, records):
    """Checks all guarantees against the records; returns the History."""
    history = BenchHistory()
    history.attempts = [item for request in requests for item in request.attempts]
    Checks(
        history=history, runs=runs, searchers=records, manifests=tier.manifests()
    ).run_all()
    return history


def measure_run(*, tier, scenario, load, cpu_s):
    """Returns the Measures of a load that has ended."""
    requests = load.requests
    all_runs = tier.runs_from_files()
    runs = [run for run in all_runs if run["request_id"].startswith(load.prefix)]
    pairs = {(run["request_id"], run["partition"]) for run in all_runs}
    records = tier.records()
    history = check_history(tier, requests, runs, records)
    refused_by = _refused_by_searchers(tier, all_runs)
    answered = [item for item in requests if item.last.status == 200]
    late = [item for item in answered if is_late(item, tier.deadline_s)]
    elapsed = [item.elapsed_s for item in answered]
    cap_violations = [text for text in history.violations if "its cap is" in text]
    return Measures(
        scenario=scenario,
        deployment=tier.deployment.name,
        entry_hosts=len(tier.entry_data_centres),
        seed=tier.seed,
        rate=round(load.rate, 1),
        seconds=load.seconds,
        requests=len(requests),
        good=len(answered) - len(late),
        late=len(late),
        late_at_host=sum(
            item.last.body["elapsed_ms"] / 1000 > tier.deadline_s + SCHEDULING_MARGIN_S
            for item in answered
        ),
        refused=_refusals(requests),
        lost=sum(item.last.status == 0 for item in requests),
        partial=sum(
            bool(item.last.body["coverage"]["partitions_missing"]) for item in answered
        ),
        not_sent=load.unsent,
        resent=sum(len(item.attempts) > 1 for item in requests),
        worst_window=worst_window(
            requests, load.started_at, load.seconds, tier.deadline_s
        ),
        p50_ms=quantile_ms(elapsed, 0.5),
        p99_ms=quantile_ms(elapsed, 0.99),
        p999_ms=quantile_ms(elapsed, 0.999),
        sub_requests=len(runs),
        extra_load=round(
            (len(all_runs) + refused_by - len(pairs)) / max(len(pairs), 1), 4
        ),
        refused_by_searchers=refused_by,
        coverage_exact=not any("coverage" in text for text in history.violations),
        caps_exceeded=len(cap_violations),
        peak_connections_share=max(
            round(item["max_connections"] / item["connections"], 2) for item in records
        ),
        violations=len(history.violations),
        snapshots=dict(Counter(item.last.body["snapshot"] for item in answered)),
        cpu_us=None if _lost_entry(tier) else round(cpu_s / max(len(runs), 1) * 1e6, 1),
    )


def _lost_entry(tier):
    return any(
        tier.programs[name].process.poll() is not None
        for name in tier.entry_data_centres
    )


def _refusals(requests):
    return dict(
        Counter(
            f"{item.last.body.get('error')}/{item.last.body.get('run')}"
            for item in requests
            if item.last.status not in (0, 200)
        )
    )


def _refused_by_searchers(tier, runs):
    """Counts sub-requests that running searchers refused (503 and 409)."""
    ran = Counter(run["upstream_id"] for run in runs)
    return sum(
        max(item["received"] - ran[name], 0)
        for process in tier.standins.keys() - tier.last_records.keys()
        for item in tier.records_of(process)
        for name in (item["upstream_id"],)
    )
