"""Checks the replies of a run against the sub-requests that searchers recorded."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from chaos.callers import BOOKING_PROFILE, CRASH_SUFFIX

NEW_WORK_LIMIT_S = 3.0  # guaranteed limit for upstreams that leave
# A request counts as in flight at a planned stop if it was sent at least this long
# before the stop; a later one may not have reached the process yet.
IN_FLIGHT_MARGIN_S = 0.1
# Faults in which an entry host may lose a reset that it saw, or cannot report it.
REPORT_LOSS_FAULTS = {"kill", "cut_off", "freeze", "silence", "cut_from_control"}


@dataclass(kw_only=True)
class Checks:
    """Compares replies with the recorded runs; adds violations to the history."""

    history: object
    runs: list
    searchers: list
    manifests: dict

    def __post_init__(self):
        self.runs_by_request = defaultdict(list)
        for run in self.runs:
            self.runs_by_request[run["request_id"]].append(run)

    def run_all(self):
        """Runs all checks."""
        for attempt in self.history.attempts:
            if attempt.status == 200:
                self.check_answer(attempt)
            elif attempt.body.get("run") == "not_run":
                self.check_not_run(attempt)
        self.check_bookings()
        self.check_crashes()
        self.check_caps()
        self.check_outages()
        self.check_stops()

    def _record_violation(self, attempt, text):
        self.history.record_violation(
            f"{attempt.request_id} through {attempt.entry}: {text}"
        )

    # ---- Answers ----

    def check_answer(self, attempt):
        """An answer belongs to its request and one snapshot; its coverage is exact."""
        body = attempt.body
        if body["request_id"] != attempt.request_id:
            self._record_violation(
                attempt, f"answer of another request: {body['request_id']}"
            )
        manifest = self.manifests.get(body["snapshot"])
        if manifest is None:
            self._record_violation(attempt, f"unknown snapshot {body['snapshot']}")
            return
        requested = attempt.partitions or tuple(manifest)
        documents = 0
        for partition, hits in body["hits"].items():
            documents += self._check_partition(attempt, partition, hits)
        coverage = body["coverage"]
        total = sum(manifest[name] for name in requested)
        missing = sorted(set(requested) - set(body["hits"]))
        stated = (
            coverage["documents_answered"],
            coverage["documents_total"],
            sorted(coverage["partitions_missing"]),
        )
        if stated != (documents, total, missing):
            self._record_violation(
                attempt, f"coverage {stated}, but {(documents, total, missing)} ran"
            )

    def _check_partition(self, attempt, partition, hits):
        """Returns the document count from the searcher's record of the run."""
        (hit,) = hits
        if hit["echo"].get("token") != attempt.token:
            self._record_violation(attempt, f"hits of another request: {hit['echo']}")
        for run in self.runs_by_request[attempt.request_id]:
            if (
                run["upstream_id"] == hit["searcher"]
                and run["partition"] == partition
                and run["snapshot"] == attempt.body["snapshot"]
                and run["outcome"] == "answered"
            ):
                return run["documents"]
        self._record_violation(
            attempt, f"no record of {partition} on {hit['searcher']}"
        )
        return 0

    # ---- Refusals and bookings ----

    def check_not_run(self, attempt):
        """A request that was refused as not run has no run until it is sent again."""
        resent_at = min(
            (
                other.sent_at
                for other in self.history.attempts
                if other.request_id == attempt.request_id
                and other.sent_at > attempt.sent_at
            ),
            default=float("inf"),
        )
        ran = [
            run
            for run in self.runs_by_request.get(attempt.request_id, ())
            if run["started"] < resent_at
        ]
        if ran:
            self._record_violation(
                attempt, f"{attempt.body['error']} says not_run, but ran: {ran}"
            )

    def check_bookings(self):
        """A non-idempotent request runs at most once, with one answer."""
        answers = defaultdict(set)
        for attempt in self.history.attempts:
            if attempt.profile == BOOKING_PROFILE and attempt.status == 200:
                answers[attempt.request_id].add(
                    str(sorted(attempt.body["hits"].items()))
                )
        for request_id, runs in self.runs_by_request.items():
            if request_id.endswith("-booking") and len(runs) > 1:
                self.history.record_violation(
                    f"{request_id} ran {len(runs)} times: {runs}"
                )
        for request_id, different in answers.items():
            if len(different) > 1:
                self.history.record_violation(
                    f"{request_id} got {len(different)} different answers"
                )

    def check_crashes(self):
        """A query that crashes searchers crashes at most two of a partition.

        If an entry host fails after a reset and before the reset is recorded, the
        query may crash one more, since no other host has seen that reset.
        """
        report_may_be_lost = bool(REPORT_LOSS_FAULTS & set(self.history.faults))
        crashed = Counter(
            request_id.partition(CRASH_SUFFIX)[0]
            for request_id, runs in self.runs_by_request.items()
            for run in runs
            if run["outcome"] == "crashed"
        )
        self.history.max_crashes = max(crashed.values(), default=0)
        for name, count in crashed.items():
            if count > 2 + report_may_be_lost:
                self.history.record_violation(
                    f"a query of {name} crashed {count} searchers"
                )

    # ---- Searchers ----

    def check_caps(self):
        """No searcher had more slots or connections in use than its caps."""
        for item in self.searchers:
            for what in ("slots", "connections"):
                if item[f"max_{what}"] > item[what]:
                    self.history.record_violation(
                        f"{item['upstream_id']} had {item[f'max_{what}']} {what} "
                        f"in use, its cap is {item[what]}"
                    )

    def check_outages(self):
        """A searcher that was taken out gets no new work.

        This holds from the time its change is in force, and from 3 s after the
        change was accepted at the latest.
        """
        for outage in self.history.outages:
            for since, what in (
                (outage.in_force_at, "in force"),
                (outage.accepted_at + NEW_WORK_LIMIT_S, "accepted 3 s before"),
            ):
                late = [
                    run["started"] - since
                    for run in self.runs
                    if run["upstream_id"] == outage.upstream_id
                    and since < run["started"] < outage.back_at
                ]
                if late:
                    self.history.record_violation(
                        f"{outage.upstream_id} got {len(late)} sub-requests up to "
                        f"{max(late):.3f} s after its change was {what}"
                    )

    def check_stops(self):
        """A planned stop does not interrupt requests in flight."""
        for host, stopped_at in self.history.planned_stops:
            for attempt in self.history.attempts:
                in_flight = (
                    attempt.sent_at + IN_FLIGHT_MARGIN_S < stopped_at < attempt.ended_at
                )
                interrupted = attempt.status == 0 and attempt.error.startswith("reply")
                if attempt.entry == host and in_flight and interrupted:
                    self._record_violation(
                        attempt, f"interrupted by a planned stop: {attempt}"
                    )


def check_logs(tier, history):
    """Checks that versions never decrease on a host and that no process has failed.

    A traceback or a violated invariant in a log counts as a failure.
    """
    for name in tier.hosts:
        path = tier.folder / f"{name}.log"
        text = path.read_text(encoding="utf-8", errors="replace")
        if "Traceback" in text or "invariant" in text:
            lines = [
                line
                for line in text.splitlines()
                if "Traceback" in line or "invariant" in line or "Error" in line
            ]
            history.record_violation(f"{name} failed: {lines[:3]}")
    for name in tier.entries:
        newest = 0
        for line in tier.log_lines(name):
            if line["event"] == "configuration applied":
                if line["version"] < newest:
                    history.record_violation(
                        f"{name} went from version {newest} to {line['version']}"
                    )
                newest = line["version"]


def summary_lines(history):
    """Returns the summary lines of a run."""
    answers = [item for item in history.attempts if item.status == 200]
    refusals = Counter(
        f"{item.body.get('error')}/{item.body.get('run')}"
        for item in history.attempts
        if item.status not in (0, 200)
    )
    full = sum(item.body["coverage"]["fraction"] == 1.0 for item in answers)
    silent = Counter(item.error for item in history.attempts if item.status == 0)
    return [
        f"faults: {dict(history.faults)}",
        f"changes: {dict(history.changes)}",
        f"attempts: {len(history.attempts)}, answers: {len(answers)} ({full} in full)",
        f"refusals: {dict(refusals)}",
        f"without a reply: {dict(silent)}",
        f"most searchers crashed by one query: {history.max_crashes}",
        f"violations: {len(history.violations)}",
        *(f"  {text}" for text in history.violations),
    ]
