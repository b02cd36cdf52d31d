"""Checks the documented guarantees against the record of a soak."""

from collections import defaultdict

from .contents import SHARDS, gathered_body, signature, single_body
from .http import HEADER_NAMES

NOT_RUN = (429, 503)
DRAIN_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 3.0
# Time that a host has to catch up after a fault before the limits apply again.
SETTLE_S = 4.0


class Checks:
    """Adds a violation to the record for each guarantee that did not hold."""

    def __init__(self, *, record):
        self.record = record
        self.runs = defaultdict(list)
        for run in record.runs:
            self.runs[run.request_id].append(run)

    def run_all(self):
        """Runs all checks."""
        for attempt in self.record.attempts:
            self._check_answer(attempt)
            self._check_runs(attempt)
            self._check_stop(attempt)
        self._check_drains()
        self._check_probes()
        self._check_final_configuration()

    def _record_violation(self, text):
        self.record.violations.append(text)

    def _check_answer(self, attempt):
        """A successful answer is complete and belongs to its request."""
        if attempt.status != 200:
            return
        if attempt.path.startswith("/all/"):
            self._check_gathered(attempt)
        elif attempt.body != single_body(attempt.request_id):
            self._record_violation(
                f"{attempt.request_id}: the body belongs to another request"
            )

    def _check_gathered(self, attempt):
        named = attempt.headers.get(HEADER_NAMES.part_signatures.lower(), "")
        signatures = [item.strip() for item in named.split(",")]
        services = [item.split(".")[0] for item in signatures]
        request_id = attempt.request_id
        if signatures != [signature(request_id, service) for service in services]:
            self._record_violation(f"{request_id}: parts of another request: {named}")
        if len(set(services)) != len(services) or set(services) - set(SHARDS):
            self._record_violation(f"{request_id}: unexpected set of parts: {named}")
        missing = int(attempt.headers.get(HEADER_NAMES.missing_parts.lower(), "0"))
        if len(services) + missing != len(SHARDS):
            self._record_violation(
                f"{request_id}: {len(services)} parts, {missing} missing"
            )
        if attempt.body != gathered_body(request_id, services):
            self._record_violation(
                f"{request_id}: not the greatest records of its parts"
            )

    def _check_runs(self, attempt):
        """An at-most-once request runs at most once, and a refused one does not run."""
        runs = self.runs[attempt.request_id]
        if attempt.path.startswith("/card/") and len(runs) > 1:
            self._record_violation(f"{attempt.request_id}: ran {len(runs)} times")
        if attempt.status in NOT_RUN and runs:
            self._record_violation(f"{attempt.request_id}: refused, but ran")

    def _check_stop(self, attempt):
        """A planned stop does not interrupt a request that has reached a searcher."""
        runs = self.runs[attempt.request_id]
        if attempt.status or not attempt.fully_sent or not runs:
            return
        since = attempt.sent_at - SETTLE_S
        during = [
            item
            for item in self.record.fault_periods
            if item.overlaps(since, attempt.ended_at)
        ]
        own = [item for item in during if item.target == attempt.gateway]
        searchers = {run.searcher for run in runs}
        others = [item for item in during if item.target in searchers]
        if own and all(item.kind == "stop" for item in own) and not others:
            self._record_violation(
                f"{attempt.request_id}: interrupted by a planned stop of "
                f"{attempt.gateway}, {attempt.sent_at:.3f} to {attempt.ended_at:.3f} s"
            )

    def _check_drains(self):
        """A drained searcher gets no new work after the limit."""
        gateways = {a.request_id: a.gateway for a in self.record.attempts}
        for drain in self.record.drains:
            for run in self.record.runs:
                if run.searcher != drain.searcher or run.request_id == "":
                    continue
                late = run.at - drain.at - DRAIN_LIMIT_S
                if not 0 < late < self._restart_time(drain) - drain.at - DRAIN_LIMIT_S:
                    continue
                gateway = gateways.get(run.request_id, "")
                if not self.record.had_fault({gateway}, drain.at, run.at):
                    self._record_violation(
                        f"{run.request_id}: ran at {run.searcher} "
                        f"{late:.1f} s after the limit"
                    )

    def _restart_time(self, drain):
        """Returns the end of the drained searcher's fault, when it is restarted."""
        return min(
            (
                item.ended_at
                for item in self.record.fault_periods
                if item.target == drain.searcher and item.ended_at > drain.at
            ),
            default=drain.at,
        )

    def _check_probes(self):
        """A version takes effect within the limit, and no process reverts one."""
        highest_seen = {}  # (gateway, process) -> highest version whose route was there
        for probe in sorted(self.record.probes, key=lambda p: p.at):
            key = (probe.gateway, probe.process_id)
            if probe.status != 404:
                if probe.status not in NOT_RUN:
                    highest_seen[key] = max(highest_seen.get(key, 0), probe.version)
                continue
            if highest_seen.get(key, 0) >= probe.version:
                self._record_violation(
                    f"{probe.gateway} reverted to a version before {probe.version}"
                )
            due_at = self.record.acknowledged[probe.version] + IN_FORCE_LIMIT_S
            targets = {probe.gateway, *self._registries()}
            since = due_at - IN_FORCE_LIMIT_S - SETTLE_S
            if probe.at > due_at and not self.record.had_fault(
                targets, since, probe.at
            ):
                self._record_violation(
                    f"{probe.gateway} did not apply version {probe.version} in time"
                )

    def _registries(self):
        targets = {item.target for item in self.record.fault_periods}
        return {target for target in targets if target.startswith("registry-")}

    def _check_final_configuration(self):
        """The configuration at the end is at least the newest acknowledged version."""
        newest = max(self.record.acknowledged, default=0)
        final = self.record.final_document
        if final is None:
            self._record_violation("no replica returned the configuration at the end")
        elif final["version"] < newest:
            self._record_violation(
                f"version {newest} was lost: the newest one is {final['version']}"
            )
        elif final != self.record.documents.get(final["version"]):
            self._record_violation(
                f"version {final['version']} differs from the published one"
            )
