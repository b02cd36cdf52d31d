"""Checks a randomised run by what searchers and callers received."""

from collections import Counter, defaultdict

from tier_model.records import coverage_errors
from tier_model.searchers import CRASH_MARK

TOLERANCE = 1e-9
RESETS_TO_QUARANTINE = 2  # docs/design.md, section 7.9; not the program's constant


def require(condition, rule, detail):
    """Raises AssertionError with the name of the violated rule."""
    assert condition, f"{rule}: {detail}"


class DecisionChecks:
    """Records sends, arrivals and replies, which ``check_all`` checks."""

    def __init__(self, *, window_s):
        self.window_s = window_s
        self.counts = Counter()
        self.entry_of = {}
        self.finished_requests = set()
        self.sends = {}  # sub-request id -> (host, time, profile, extra)
        self.arrivals = {}  # sub-request id -> (time, sub-request)
        self.refused_not_run = set()
        self.resets = defaultdict(set)  # query -> sub-request ids
        self.resets_seen = defaultdict(set)  # (entry id, query) -> ids
        self.second_reset = {}  # query -> time at which one host had seen two
        self.quarantine_refusals = []  # (time, query)

    # ---- Events --------------------------------------------------------------

    def sent(self, entry, request, sub_request, now):
        self.entry_of[request] = entry
        require(
            request not in self.finished_requests,
            "nothing is sent after the finish",
            sub_request.request_id,
        )
        self.sends[sub_request.sub_request_id] = (
            entry.entry_id,
            now,
            sub_request.profile,
            sub_request.extra,
        )
        self.counts["sent"] += 1

    def arrived(self, sub_request, now):
        require(
            sub_request.sub_request_id not in self.arrivals,
            "a sub-request arrives once",
            sub_request.sub_request_id,
        )
        self.arrivals[sub_request.sub_request_id] = (now, sub_request)

    def reset_seen(self, entry, request, result, now):
        query = bytes(request.gather.body.query)
        seen = self.resets_seen[entry.entry_id, query]
        if request.gather.attempts.get(result.sub_request_id) is not None:
            seen.add(result.sub_request_id)
        if len(seen) == RESETS_TO_QUARANTINE:
            self.second_reset.setdefault(query, now)

    def finished(self, request, action, now):
        record = request.record
        require(
            request not in self.finished_requests,
            "a request finishes once",
            record.request_id,
        )
        self.finished_requests.add(request)
        require(
            now <= record.started_at + record.profile.deadline_ms / 1000 + TOLERANCE,
            "a reply is sent by the deadline",
            record.request_id,
        )
        if action.answer is not None:
            self.counts["answers"] += 1
            fraction = action.answer.coverage.fraction
            self.counts["partial answers"] += fraction < 1
            require(
                fraction >= record.profile.minimum_coverage - TOLERANCE,
                "an answer has the minimum coverage",
                record.request_id,
            )
        elif action.refusal is not None:
            self.counts[f"{action.refusal.code} {action.refusal.run.value}"] += 1
            if action.refusal.run.value == "not_run":
                self.refused_not_run.add(record.request_id)
            if action.refusal.code == "request_quarantined":
                query = bytes(request.gather.body.query)
                self.quarantine_refusals.append((now, query))

    # ---- Checks --------------------------------------------------------------

    def check_all(self, tier):
        """Runs all checks; raises AssertionError for the first failure."""
        for record in tier.records:
            require(
                record.finished_at is not None,
                "every request gets a reply",
                record.request_id,
            )
        errors = coverage_errors(tier)
        require(errors == 0, "coverage and snapshot are exact", f"{errors} answers")
        self._check_runs(tier)
        self._check_crashes(tier)
        self._check_extra_load(tier)

    def _check_runs(self, tier):
        arrived = defaultdict(int)
        for _, sub_request in self.arrivals.values():
            request_id = sub_request.request_id
            require(
                request_id not in self.refused_not_run
                or self._ended_without_run(tier, sub_request),
                "not_run is certain",
                request_id,
            )
            if not sub_request.idempotent:
                key = (request_id, sub_request.partition)
                arrived[key] += 1
                require(arrived[key] == 1, "at most one run", key)
        self.counts["non-idempotent runs"] = len(arrived)

    def _ended_without_run(self, tier, sub_request):
        searcher = tier.searchers[sub_request.upstream_id]
        return sub_request.sub_request_id in searcher.refused

    def _check_crashes(self, tier):
        crashes = Counter()
        for searcher in tier.searchers.values():
            for _, request_id, partition, _ in searcher.crashes:
                crashes[request_id, partition] += 1
        self.counts["crashed searchers"] = sum(crashes.values())
        for key, count in crashes.items():
            require(count <= 2, "at most one further upstream per partition", key)
        for refused_at, query in self.quarantine_refusals:
            require(
                len(self.resets[query]) >= RESETS_TO_QUARANTINE,
                "a quarantine follows two resets",
                query,
            )
            self.counts["innocent quarantined"] += CRASH_MARK not in query
            self._check_no_more(query, refused_at)
        for query, known_at in self.second_reset.items():
            self._check_no_more(query, known_at)

    def _check_no_more(self, query, since):
        late = [
            time
            for time, sub_request in self.arrivals.values()
            if sub_request.query == query and time > since + self.flight_s
        ]
        require(not late, "no upstream is lost to a resend", (query, since, late))

    flight_s = 0.006  # connection set-up and one hop, for sub-requests sent before

    def _check_extra_load(self, tier):
        limits = {"rider-gate": 0.2, "ward-gate": 0.1}
        first, extra = defaultdict(list), defaultdict(list)
        for key, (host, time, profile, is_extra) in self.sends.items():
            if key in self.arrivals:
                (extra if is_extra else first)[host, profile].append(time)
        for entry in tier.host_list:
            for time, profile in entry.probes:
                self.counts["probes"] += 1
                extra[entry.entry_id, profile].append(time)
        for key, times in extra.items():
            self.counts["extra arrived"] += len(times)
            for time in times:
                start = time - self.window_s
                in_extra = sum(start < item <= time for item in times)
                in_first = sum(start < item <= time for item in first[key])
                require(
                    in_extra <= limits[key[1]] * in_first + TOLERANCE,
                    "extra load in any sliding minute",
                    f"{key} {in_extra} extra, {in_first} first",
                )
