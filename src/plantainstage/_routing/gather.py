"""State machine of one request at the entry host that received it.

It does no I/O. The calling code passes in events with the current time (seconds
on a monotonic clock) and carries out the returned actions in order.
"""

import heapq

from plantainstage._errors import check_invariant
from plantainstage._limits.quarantine_times import fingerprint_of
from plantainstage._limits.queue_items import BUSY
from plantainstage._messages.callers import RunState
from plantainstage._messages.forward import SubOutcome, SubRequest
from plantainstage._routing import refusals
from plantainstage._routing.actions import (
    CancelSubRequest,
    FinishRequest,
    GatherAction,
    ReportCrashes,
    SendSubRequest,
    WakeAt,
)
from plantainstage._routing.answering import (
    NOT_RUN_OUTCOMES,
    build_answer,
    build_refusal,
    run_state,
)
from plantainstage._routing.crashes import crash_report, record_reset
from plantainstage._routing.hedging import (
    RECHECK_MEDIANS,
    SCARCE_USED_SHARE,
    hedge_time,
    hedges_needed,
)
from plantainstage._routing.progress import Attempt, PartitionProgress
from plantainstage._routing.view import available_documents, choose_snapshot

__all__ = [
    "CancelSubRequest",
    "FinishRequest",
    "Gather",
    "GatherAction",
    "ReportCrashes",
    "SendSubRequest",
    "WakeAt",
]

# The reply becomes final this long before the deadline: encoding and writing an
# answer take less than 1 ms, and event-loop timers fire up to 1 ms late.
FINISH_MARGIN_S = 0.002
FLOAT_TOLERANCE = 1e-9

_ANSWERED = SubOutcome.ANSWERED
_NOT_SENT = SubOutcome.NOT_SENT
_NO_REPLICAS_TRIED = frozenset()


class Gather:
    """Scatters one request over partitions and gathers the results by the deadline.

    ``view`` and ``routing`` are shared by all gathers of the host; ``budget``
    is the profile's ``ExtraLoadBudget``. The claim of a non-idempotent request
    must be granted before ``start``. Every method returns a list of
    ``GatherAction`` to carry out in order. After a ``FinishRequest`` further calls
    are allowed and have no effect, except that a late reset may still be reported.
    For example::

        view = ConfigurationView(configuration=configuration, routing=routing)
        profile = view.profiles[body.profile]
        gather = Gather(
            request_id=request_id, profile=profile, body=body, view=view,
            routing=routing, budget=budgets.for_profile(profile), now=now,
        )
        for action in gather.start(now):
            match action:
                case SendSubRequest(owner_id=owner_id, sub_request=sub_request):
                    gathers[sub_request.sub_request_id] = gather
                    ...

    ``now`` in the constructor is the arrival time of the request, from which the
    deadline is measured. Results are matched by sub-request id, which is unique
    across requests and hosts.
    """

    def __init__(
        self, *, request_id: str, profile, body, view, routing, budget, now: float
    ):
        self.request_id = request_id
        self.profile = profile
        self.body = body
        self.view = view
        self.routing = routing
        self.budget = budget
        self.arrived_at = now
        self.finish_at = now + profile.deadline_ms / 1000 - FINISH_MARGIN_S
        self.query = bytes(body.query)
        # Without the profile and the id: a resend may have others.
        self.fingerprint = fingerprint_of(profile.index.encode(), self.query)
        self.snapshot = None
        self.parts = ()
        self.attempts = {}
        self.due = []  # heap of (time, number, part) for hedges and retries
        self.due_count = 0
        self.total = 0
        self.needed = 0.0
        self.answered = 0
        self.attainable = 0
        self.unresolved = 0
        self.finished = False
        self.recording_crashes = False

    # ---- Events --------------------------------------------------------------

    def start(self, now):
        """Sends the first sub-requests, or refuses the request as not run."""
        profile = self.profile
        if self.routing.quarantines.is_quarantined(self.fingerprint, now):
            self.routing.counters.quarantine_refusals += 1
            return self._refuse(refusals.quarantined(self, RunState.NOT_RUN), now)
        names = self.body.partitions
        chosen = choose_snapshot(
            self.view, profile.index, names, profile.minimum_coverage
        )
        if chosen is None:
            refusal = refusals.index_unavailable(profile.index)
            if self.view.snapshots.get(profile.index):
                refusal = refusals.unknown_partition(names)
            return self._refuse(refusal, now)
        snapshot, requested = chosen
        self.snapshot = snapshot
        self.total = sum([item.documents for item in requested])
        self.needed = (profile.minimum_coverage - FLOAT_TOLERANCE) * self.total
        available = available_documents(requested) if names else snapshot.available
        if available < self.needed:
            return self._refuse(build_refusal(self), now)
        if not self.routing.admission.admits(
            profile=profile,
            partitions=requested,
            needed=self.needed,
            remaining_s=self.finish_at - now,
            now=now,
        ):
            self.routing.counters.overload_refusals += 1
            return self._refuse(refusals.overloaded(), now)
        return self._scatter(requested, now)

    def on_result(self, sub_result, now):
        """Handles the result of one of this request's sub-requests."""
        attempt = self.attempts.get(sub_result.sub_request_id)
        if (
            attempt is None
            or attempt.outcome is not None
            or not attempt.matches(sub_result, self.snapshot.snapshot)
        ):
            self.routing.counters.discarded_results += 1
            return []
        self._resolve(attempt, sub_result, now)
        outcome = sub_result.outcome
        crashed = outcome is SubOutcome.RESET and record_reset(self, attempt, now)
        if self.finished:
            return self._late_result(attempt, crashed, now)
        actions = []
        if crashed or sub_result.reason == "quarantined":
            self._stop_for_crashes(actions, now)
        elif not self.recording_crashes:
            part = attempt.part
            if outcome is _ANSWERED:
                self._accept(part, sub_result, actions, now)
            elif part.result is None and (
                part.outstanding == 0 or outcome is _NOT_SENT
            ):
                self._retry(part, attempt, actions, now)
            if self.unresolved == 0 or self.attainable < self.needed:
                self._finish(actions, now)
        return actions

    def on_timer(self, now):
        """Sends hedges and retries that are due; finishes once the time is up."""
        if self.finished:
            return []
        actions = []
        if now >= self.finish_at:
            self._finish(actions, now)
            return actions
        due = self.due
        while due and due[0][0] <= now:
            part = heapq.heappop(due)[2]
            if part.result is None and not part.given_up:
                if part.outstanding and self._skips_hedge(now):
                    continue
                self._send_extra(part, actions, now)
        if self._settled():
            self._finish(actions, now)
        else:
            actions.append(self._wake())
        return actions

    def on_quarantine_recorded(self, now):
        """Refuses the request, which no other host will run again from now on."""
        if self.finished or not self.recording_crashes:
            return []
        actions = []
        self._finish(actions, now)
        return actions

    def on_caller_disconnect(self, now):
        """Cancels outstanding sub-requests if the request is idempotent.

        A non-idempotent request continues, so that its outcome can be recorded
        for a resend.
        """
        if self.finished or not self.body.idempotent:
            return []
        actions = []
        self._complete(actions, FinishRequest(), now)
        return actions

    # ---- Sending -------------------------------------------------------------

    def _scatter(self, requested, now):
        actions = []
        self.parts = [PartitionProgress(item) for item in requested]
        self.unresolved = len(self.parts)
        self.attainable = self.total
        hedges = self.body.idempotent
        used_share = self.budget.used_share(now)
        choose = self.routing.choose
        for part in self.parts:
            view = part.view
            replica = choose(view.replicas, _NO_REPLICAS_TRIED, now)
            if replica is None:
                self._give_up(part)
                continue
            self._send(part, replica, actions, now, extra=None)
            if hedges and len(view.replicas) > 1:
                self._add_due(
                    hedge_time(view.latency, used_share, self.finish_at, now), part
                )
        if self._settled():
            self._finish(actions, now)
        else:
            actions.append(self._wake())
        return actions

    def _send(self, part, replica, actions, now, *, extra):
        idempotent = self.body.idempotent
        if self.finished or self.recording_crashes:
            check_invariant(
                False, invariant="no_send_after_finish", detail=self.request_id
            )
        if not part.may_run_again() or (
            not idempotent and (part.may_have_sent or part.outstanding)
        ):
            check_invariant(
                False, invariant="runs_per_partition", detail=self.request_id
            )
        routing = self.routing
        sub_request_id = routing.next_sub_request_id()
        part.outstanding += 1
        part.possible_runs += 1
        replica.estimate.outstanding += 1
        attempt = Attempt(sub_request_id, part, replica, now, extra)
        part.attempts.append(attempt)
        self.attempts[sub_request_id] = attempt
        sub_request = SubRequest(
            sub_request_id=sub_request_id,
            request_id=self.request_id,
            profile=self.profile.name,
            upstream_id=replica.upstream_id,
            epoch=replica.epoch,
            index=self.snapshot.index,
            snapshot=self.snapshot.snapshot,
            partition=part.view.name,
            fingerprint=self.fingerprint,
            query=self.query,
            remaining_ms=(self.finish_at - now - 2 * replica.hop_s) * 1000,
            idempotent=idempotent,
            extra=extra is not None,
            alternatives=(
                0
                if routing.admission.overload > 0
                else len(part.view.replicas) - len(part.attempts)
            ),
        )
        actions.append(
            SendSubRequest(owner_id=replica.owner_id, sub_request=sub_request)
        )

    def _retry(self, part, attempt, actions, now):
        """Tries another replica after a failed attempt, if that is allowed."""
        if attempt.outcome is not _NOT_SENT:
            self._send_extra(part, actions, now)
            return
        # No upstream received the failed attempt, so another one is not extra load.
        # Each replica is tried once, which bounds the number of retries.
        replica = None
        if self._may_send(part, now):
            replica = part.next_untried(self.routing.choose, now)
        extra = None
        if replica is not None and attempt.extra is not None:
            extra = self.budget.take(now)  # reuses the budget that _resolve returned
            if extra is None:
                self._wait_for_budget(part, actions, now)
                return
        if replica is not None:
            self._send(part, replica, actions, now, extra=extra)
        elif part.outstanding == 0:
            self._give_up(part)

    def _may_send(self, part, now):
        if now >= self.finish_at:
            return False
        if not self.body.idempotent:
            return not part.may_have_sent and part.outstanding == 0
        return part.may_run_again()

    def _send_extra(self, part, actions, now):
        """Sends a hedge or retry if the budget allows it, or else waits for budget."""
        replica = None
        if self._may_send(part, now) and now < part.latest_useful_send(self.finish_at):
            replica = self.routing.choose(
                part.view.replicas, part.possibly_reached(), now
            )
        if replica is None:
            if part.outstanding == 0:
                self._give_up(part)
            return
        if part.outstanding and self.routing.quarantines.has_reset(
            self.fingerprint, now
        ):
            return  # a hedge could let the request crash one more searcher
        counters = self.routing.counters
        taken = self.budget.take(
            now, room=hedges_needed(self.parts, self.attainable - self.needed)
        )
        if taken is not None:
            if part.outstanding:
                counters.hedges += 1
            else:
                counters.retries += 1
            self._send(part, replica, actions, now, extra=taken)
            return
        counters.budget_denials += 1
        self._wait_for_budget(part, actions, now)

    def _wait_for_budget(self, part, actions, now):
        """Schedules another check of the budget if an answer is still possible then."""
        again = now + RECHECK_MEDIANS * part.view.latency.median_s
        if again < part.latest_useful_send(self.finish_at):
            self._add_due(again, part)
            actions.append(self._wake())
        elif part.outstanding == 0:
            self._give_up(part)

    def _skips_hedge(self, now):
        if self.routing.admission.overload > 0:
            return True  # a hedge would only make the queues longer
        return (
            self.answered >= self.needed
            and self.budget.used_share(now) > SCARCE_USED_SHARE
        )

    def _add_due(self, time, part):
        self.due_count += 1
        heapq.heappush(self.due, (time, self.due_count, part))

    def _wake(self):
        due = self.due
        if due and due[0][0] < self.finish_at:
            return WakeAt(time=due[0][0])
        return WakeAt(time=self.finish_at)

    # ---- Results -------------------------------------------------------------

    def _resolve(self, attempt, result, now):
        """Marks the attempt as ended and updates the estimates from its result."""
        outcome = attempt.outcome = result.outcome
        part = attempt.part
        estimate = attempt.replica.estimate
        if not self.finished:
            part.outstanding -= 1
            estimate.outstanding -= 1
        if outcome is _ANSWERED or outcome in NOT_RUN_OUTCOMES:
            part.view.wait.observe(estimate.observe_queue(result, now), now)
        if outcome is _ANSWERED:
            part.may_have_sent = True
            elapsed = now - attempt.sent_at
            estimate.observe(result, elapsed, now)
            part.view.latency.observe(elapsed)
            self.routing.quarantines.record_answer(self.fingerprint, part.view.name)
            return
        if outcome is not _NOT_SENT:
            part.may_have_sent = True
        elif attempt.extra is not None:
            self.budget.give_back(attempt.extra)
        if outcome in NOT_RUN_OUTCOMES:
            part.possible_runs -= 1
            if result.reason == BUSY:
                part.declined += (attempt.replica,)
        elif outcome is SubOutcome.TIMED_OUT:
            estimate.observe_at_least(now - attempt.sent_at, now)
        elif outcome is not SubOutcome.CANCELLED:
            estimate.observe_failure(now)

    def _accept(self, part, result, actions, now):
        if part.result is not None:
            return
        part.result = result
        documents = result.documents
        self.answered += documents
        if part.given_up:
            self.attainable += documents
        else:
            self.unresolved -= 1
            self.attainable -= part.view.documents - documents
        if part.outstanding:
            for attempt in part.attempts:
                self._cancel(attempt, actions, now)

    def _give_up(self, part):
        if not part.given_up:
            part.given_up = True
            self.unresolved -= 1
            self.attainable -= part.view.documents

    def _cancel(self, attempt, actions, now):
        if attempt.outcome is not None or attempt.cancelled:
            return
        attempt.cancelled = True
        attempt.replica.estimate.observe_at_least(now - attempt.sent_at, now)
        actions.append(
            CancelSubRequest(
                owner_id=attempt.replica.owner_id,
                sub_request_id=attempt.sub_request_id,
            )
        )

    # ---- Crashes -------------------------------------------------------------

    def _stop_for_crashes(self, actions, now):
        """Stops sending; the request is refused once the quarantine is recorded."""
        if self.recording_crashes:
            return
        self.recording_crashes = True
        self.due.clear()
        for attempt in self.attempts.values():
            self._cancel(attempt, actions, now)
        actions.append(crash_report(self))
        actions.append(self._wake())

    def _late_result(self, attempt, crashed, now):
        """Counts a result that arrives after the finish; a crash is still reported.

        Otherwise, if the caller of a request that crashed searchers has
        disconnected, only this host would refuse its resends.
        """
        self.routing.counters.late_results += 1
        if attempt.extra is None and attempt.outcome is not _NOT_SENT:
            self.budget.record_first(1, sent_at=attempt.sent_at, now=now)
        return [crash_report(self)] if crashed else []

    # ---- Finishing -----------------------------------------------------------

    def _settled(self):
        return not self.recording_crashes and (
            self.unresolved == 0 or self.attainable < self.needed
        )

    def _finish(self, actions, now):
        if self.recording_crashes:
            finish = FinishRequest(refusal=refusals.quarantined(self, run_state(self)))
        elif self.answered >= self.needed:
            finish = FinishRequest(answer=build_answer(self, now))
        else:
            finish = FinishRequest(refusal=build_refusal(self))
        self._complete(actions, finish, now)

    def _refuse(self, refusal, now):
        actions = []
        self._complete(actions, FinishRequest(refusal=refusal), now)
        return actions

    def _complete(self, actions, finish, now):
        check_invariant(
            not self.finished, invariant="finished_once", detail=self.request_id
        )
        self.finished = True
        self.due.clear()
        first = 0
        for attempt in self.attempts.values():
            if attempt.outcome is None:
                self._cancel(attempt, actions, now)
                attempt.part.outstanding -= 1
                attempt.replica.estimate.outstanding -= 1
            elif attempt.extra is None and attempt.outcome is not _NOT_SENT:
                first += 1
        if first:
            self.budget.record_first(first, sent_at=self.arrived_at, now=now)
        actions.append(finish)
