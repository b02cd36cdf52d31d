"""Queue of sub-requests for one searcher, at the entry host that owns it.

It does no I/O. The calling code passes in events with the current time (seconds
on a monotonic clock) and carries out the returned actions in order.
"""

import heapq
import math

from plantainstage._errors import check_invariant
from plantainstage._limits import suspects
from plantainstage._limits.actions import (
    AbortExchange,
    CloseConnection,
    OwnerAction,
    ProbeSearcher,
    ReportCrashedFingerprint,
    ReturnResult,
    StartExchange,
    WakeQueueAt,
)
from plantainstage._limits.connections import ConnectionTable
from plantainstage._limits.fair_queue import FairQueue
from plantainstage._limits.queue_items import (
    BUSY,
    SLOT_FREE_OUTCOMES,
    HostLease,
    Queued,
    Running,
)
from plantainstage._limits.service_times import ServiceTimes
from plantainstage._limits.silence import Reachability, SilenceDetector
from plantainstage._messages.forward import SubOutcome, SubResult

__all__ = [
    "AbortExchange",
    "CloseConnection",
    "HostLease",
    "OwnerAction",
    "OwnerQueue",
    "ProbeSearcher",
    "ReportCrashedFingerprint",
    "ReturnResult",
    "StartExchange",
    "WakeQueueAt",
]

# An exchange that runs longer than this many medians counts as a straggler.
STRAGGLER_MEDIANS = 2.0
# After an exchange without a reply, the searcher may run the sub-request until its
# deadline. The searcher measures that from the arrival, and its timers may be late:
# with 10 ms, 4 of 3 slots were in use on a busy machine.
SLOT_RELEASE_GRACE_S = 0.25


class OwnerQueue:
    """Sends sub-requests to one searcher within its slot and connection caps.

    ``slots`` and ``connections`` are the caps that the searcher announced;
    ``lease``, ``quarantines`` and ``budgets`` are shared by all queues of the host.
    The queue sends nothing until ``begin_ownership`` has been called with the epoch
    of an active ownership. For example::

        queue = OwnerQueue(
            upstream_id="r1", slots=3, connections=30, lease=lease,
            quarantines=routing.quarantines, budgets=budgets,
        )
        queue.begin_ownership(epoch=4)
        for action in queue.submit("e2", sub_request, now):
            match action:
                case StartExchange():   # run it, then call queue.finished(...)
                case ReturnResult(requester_id=host, result=result): ...

    ``finished`` takes a ``SubResult`` with ``outcome`` and, for an answer, the
    answer's fields; the queue fills in ``queued`` and ``service_ms``. Report
    ``NOT_SENT`` only if no byte of the exchange was sent, and ``CANCELLED`` only
    after a reply with status 499.
    """

    def __init__(
        self,
        *,
        upstream_id: str,
        slots: int,
        connections: int,
        lease: HostLease,
        quarantines,
        budgets,
        weights=None,
    ):
        self.upstream_id = upstream_id
        self.slots = slots
        self.lease = lease
        self.quarantines = quarantines
        self.budgets = budgets
        self.connections = ConnectionTable(cap=connections)
        self.silence = SilenceDetector()
        self.waiting = FairQueue()
        self.waiting.set_weights(weights or {})
        self.by_id = {}
        self.running = {}
        self.held_slots = []  # heap of times at which held slots become free
        self.epoch = None
        self.times = ServiceTimes()
        self.wake_at = math.inf
        self.any_suspect = False  # may remain true after the last one has ended
        self.probe_profile = ""  # profile of the exchange suspected last
        self.probe_reservation = None  # budget taken for the outstanding probe

    # ---- Ownership -----------------------------------------------------------

    def begin_ownership(self, *, epoch):
        """Allows sending under this ownership epoch."""
        if self.epoch is None:
            self.silence.allow_trial()
        self.epoch = epoch

    def end_ownership(self, now):
        """Stops sending: returns queued sub-requests, closes idle connections.

        The searcher can be released once ``idle`` returns true.
        """
        self.epoch = None
        actions = []
        for item in self.waiting.drain():
            self._return_unsent(item, "not_owner", actions)
        for connection_id in self.connections.close_idle():
            actions.append(CloseConnection(connection_id=connection_id))
        self._wake(actions, now)
        return actions

    def set_weights(self, weights):
        """Sets the weight of each profile by name."""
        self.waiting.set_weights(weights)

    def idle(self, now):
        """Whether no sub-request of this owner can still run on the searcher."""
        self._free_held_slots(now)
        return not (
            self.running or self.waiting or self.held_slots or self.connections.idle
        )

    # ---- Events --------------------------------------------------------------

    def submit(self, requester_id, sub_request, now):
        """Queues a sub-request of an entry host (possibly this one).

        A duplicate of one that is queued or running is ignored.
        """
        if (
            sub_request.sub_request_id in self.by_id
            or sub_request.sub_request_id in self.running
        ):
            return []
        item = Queued(
            requester_id=requester_id,
            sub_request=sub_request,
            deadline=now + sub_request.remaining_ms / 1000,
        )
        actions = []
        reason = self._reason_to_refuse(item, now) or self._reason_full(item, now)
        if reason:
            self._return_unsent(item, reason, actions)
            return actions
        self.waiting.push(item)
        self.by_id[sub_request.sub_request_id] = item
        self._dispatch(actions, now)
        return actions

    def cancel(self, sub_request_id, now):
        """Cancels a sub-request that the requester no longer needs.

        A running non-idempotent sub-request continues: if it were stopped while
        running, its effect would be unknown.
        """
        actions = []
        item = self.by_id.get(sub_request_id)
        if item is not None:
            self.waiting.remove(item)
            self._return_unsent(item, "cancelled", actions)
            return actions
        running = self.running.get(sub_request_id)
        if (
            running is not None
            and not running.aborted
            and running.queued.sub_request.idempotent
        ):
            running.aborted = True
            actions.append(AbortExchange(sub_request_id=sub_request_id))
        return actions

    def first_byte(self, sub_request_id, now):
        """Records that a byte of the reply arrived: the connection is not silent."""
        running = self.running.get(sub_request_id)
        if running is not None:
            running.got_byte = True

    def finished(self, result, now, *, connection_usable):
        """Handles the end of an exchange; frees its slot, or holds it for a time.

        ``connection_usable`` is false if the connection has been closed. The slot is
        held until after the deadline if the searcher may still run the sub-request.
        """
        running = self.running.pop(result.sub_request_id, None)
        check_invariant(
            running is not None,
            invariant="one_finish_per_exchange",
            detail=f"{self.upstream_id}: {result.sub_request_id}",
        )
        actions = []
        item = running.queued
        usable = connection_usable and self.epoch is not None
        self.connections.release(running.connection_id, usable=usable)
        if connection_usable and not usable:
            actions.append(CloseConnection(connection_id=running.connection_id))
        elapsed = now - running.started_at
        self._observe_outcome(
            running, result.outcome, result.reason, elapsed, actions, now
        )
        # After a complete reply, also a 504, the searcher no longer runs it.
        if result.outcome not in SLOT_FREE_OUTCOMES and not connection_usable:
            free_at = item.deadline + SLOT_RELEASE_GRACE_S
            if free_at > now:
                heapq.heappush(self.held_slots, free_at)
        self._dispatch(actions, now)
        actions.append(
            ReturnResult(
                requester_id=item.requester_id,
                result=SubResult(
                    sub_request_id=result.sub_request_id,
                    upstream_id=self.upstream_id,
                    partition=item.sub_request.partition,
                    outcome=result.outcome,
                    reason=result.reason,
                    snapshot=result.snapshot,
                    documents=result.documents,
                    hits=result.hits,
                    queued=len(self.waiting) + len(self.running),
                    service_ms=elapsed * 1000,
                    reported_load=result.reported_load,
                ),
            )
        )
        return actions

    def connection_lost(self, connection_id, now):
        """Removes an idle connection that the searcher has closed."""
        self.connections.remove_idle(connection_id)
        return []

    def probe_finished(self, answered, now, *, sent=True, statuses=None):
        """Handles the outcome of a probe; closes silent connections.

        ``sent`` is false only if certainly no byte of the probe was sent. For
        ``statuses`` see ``suspects.resolve``.
        """
        actions = []
        if not sent:
            self.budgets.give_back(self.probe_reservation)
        self.silence.probe_finished(answered)
        if answered:
            for running in suspects.resolve(self.running.values(), statuses, now):
                actions.append(
                    CloseConnection(connection_id=running.connection_id, silent=True)
                )
        else:
            self._return_all_unsent("searcher_silent", actions)
        self._dispatch(actions, now)
        return actions

    def on_timer(self, now):
        """Frees held slots, returns late sub-requests, probes silent exchanges."""
        self.wake_at = math.inf
        actions = []
        self._check_silence(actions, now)
        self._drop_late(actions, now)
        self._dispatch(actions, now)
        return actions

    # ---- Admission -----------------------------------------------------------

    def expected_wait_s(self, profile, now):
        """Returns the expected wait of a new sub-request of this profile."""
        busy = len(self.running) + len(self.held_slots)
        if busy < self.slots and not self.waiting:
            return 0.0
        ahead = self.waiting.ahead(profile) + 1
        return ahead * self.times.mean_s / self.slots

    def _reason_to_refuse(self, item, now):
        sub_request = item.sub_request
        if self.epoch is None or sub_request.epoch != self.epoch:
            return "not_owner"
        if not self.lease.valid(now):
            return "lease_expired"
        if self.quarantines.is_quarantined(sub_request.fingerprint, now):
            return "quarantined"
        if now + self.times.median_s > item.deadline:
            return "deadline"
        return ""

    def _reason_full(self, item, now):
        state = self.silence.state
        if state is Reachability.UNREACHABLE or (
            state is Reachability.TRIAL and self.running
        ):
            return "searcher_silent"
        wait = self.expected_wait_s(item.profile, now)
        if wait > 0 and item.sub_request.alternatives > 0 and self._declines(now):
            return BUSY
        if now + wait + self.times.median_s > item.deadline:
            return "queue_full"
        return ""

    def _declines(self, now):
        """Whether a sub-request should be sent to an alternative replica instead.

        The slot of an exchange that has run for several medians is not expected to
        become free soon.
        """
        threshold = now - STRAGGLER_MEDIANS * self.times.median_s
        free_soon = self.slots - len(self.held_slots)
        for running in self.running.values():
            if running.started_at < threshold:
                free_soon -= 1
        return len(self.waiting) >= free_soon - 1

    # ---- Sending -------------------------------------------------------------

    def _dispatch(self, actions, now):
        self._free_held_slots(now)
        while (
            self.waiting
            and len(self.running) + len(self.held_slots) < self.slots
            and self.connections.can_acquire()
        ):
            item = self.waiting.pop()
            reason = self._reason_to_refuse(item, now)
            if reason:
                self._return_unsent(item, reason, actions)
            else:
                self._start(item, actions, now)
        self._wake(actions, now)

    def _start(self, item, actions, now):
        sub_request = item.sub_request
        self.by_id.pop(sub_request.sub_request_id, None)
        connection_id, must_open = self.connections.acquire()
        self.running[sub_request.sub_request_id] = Running(
            queued=item, started_at=now, connection_id=connection_id
        )
        check_invariant(
            len(self.running) + len(self.held_slots) <= self.slots,
            invariant="slot_cap",
            detail=f"{self.upstream_id}: {len(self.running)} of {self.slots}",
        )
        actions.append(
            StartExchange(
                requester_id=item.requester_id,
                sub_request=sub_request,
                deadline=item.deadline,
                connection_id=connection_id,
                open_connection=must_open,
            )
        )

    def _return_unsent(self, item, reason, actions):
        sub_request = item.sub_request
        self.by_id.pop(sub_request.sub_request_id, None)
        check_invariant(
            sub_request.sub_request_id not in self.running,
            invariant="not_sent_is_certain",
            detail=f"{self.upstream_id}: {sub_request.sub_request_id}",
        )
        actions.append(
            ReturnResult(
                requester_id=item.requester_id,
                result=SubResult(
                    sub_request_id=sub_request.sub_request_id,
                    upstream_id=self.upstream_id,
                    partition=sub_request.partition,
                    outcome=SubOutcome.NOT_SENT,
                    reason=reason,
                    queued=len(self.waiting) + len(self.running),
                ),
            )
        )

    def _return_all_unsent(self, reason, actions):
        for item in self.waiting.drain():
            self._return_unsent(item, reason, actions)

    # ---- Timers and silence --------------------------------------------------

    def _observe_outcome(self, running, outcome, reason, elapsed, actions, now):
        match outcome:
            case SubOutcome.ANSWERED:
                self.times.observe(elapsed)
                self.silence.observe(elapsed)
                self.silence.replied(now)
                sub_request = running.queued.sub_request
                self.quarantines.record_answer(
                    sub_request.fingerprint, sub_request.partition
                )
            case SubOutcome.REFUSED:
                self.silence.replied(now)
            case SubOutcome.CANCELLED:
                self.silence.observe_at_least(elapsed)
                self.silence.replied(now)
            case SubOutcome.SILENT:
                # The probe was answered, so the searcher may merely have become
                # slower than the threshold, which then has to increase too.
                self.silence.observe(elapsed)
            case SubOutcome.RESET:
                sub_request = running.queued.sub_request
                if self.quarantines.record_reset(
                    fingerprint=sub_request.fingerprint,
                    upstream_id=self.upstream_id,
                    partition=sub_request.partition,
                    now=now,
                ):
                    duration_ms = round(self.quarantines.duration_s * 1000)
                    actions.append(
                        ReportCrashedFingerprint(
                            fingerprint=sub_request.fingerprint,
                            duration_ms=duration_ms,
                        )
                    )
            case SubOutcome.TIMED_OUT if not running.got_byte:
                # A searcher that replies on other connections is merely slow.
                if self.silence.no_recent_reply(now):
                    self.probe_profile = running.queued.profile
                    self._probe(actions, now)
            case SubOutcome.NOT_SENT if reason == "connection_refused":
                self.probe_profile = running.queued.profile
                self.silence.connection_refused()
                self._return_all_unsent("searcher_silent", actions)

    def _check_silence(self, actions, now):
        if suspects.mark(self.running.values(), self.silence.suspect_after_s, now):
            self.any_suspect = True
        # A connection may become suspect too soon after the previous probe for
        # another one to be sent; it then has to be probed later.
        if self._needs_probe():
            self._probe(actions, now)

    def _needs_probe(self):
        """Whether a probe is needed to tell if the searcher or a connection is dead."""
        if self.silence.state is Reachability.UNREACHABLE:
            return self.epoch is not None
        if not self.any_suspect or self.silence.state is Reachability.PROBING:
            return False
        self.any_suspect = bool(suspects.silent(self.running.values()))
        return self.any_suspect

    def _probe(self, actions, now):
        """Sends a probe if one is due and a suspect exchange's budget allows it."""
        if not self.silence.probe_due(now):
            return
        silent = suspects.silent(self.running.values())
        profiles = [item.queued.profile for item in silent] or [self.probe_profile]
        self.probe_reservation = self.budgets.take_for_any(profiles, now)
        if self.probe_reservation is None:
            self.silence.probe_denied(now)
            return
        self.silence.probe_sent(now)
        self.probe_profile = self.probe_reservation[0]
        actions.append(suspects.make_probe(silent, self.probe_profile))

    def _drop_late(self, actions, now):
        late = [
            item
            for item in self.by_id.values()
            if item.deadline - self.times.median_s <= now
        ]
        for item in late:
            self.waiting.remove(item)
            self._return_unsent(item, "deadline", actions)

    def _free_held_slots(self, now):
        held = self.held_slots
        while held and held[0] <= now:
            heapq.heappop(held)

    def _wake(self, actions, now):
        time = math.inf
        if self.held_slots:
            time = self.held_slots[0]
        if self.running:
            threshold = self.silence.suspect_after_s
            time = min(time, suspects.next_suspect_at(self.running.values(), threshold))
        if self.waiting:
            latest_start = self.waiting.earliest_deadline() - self.times.median_s
            time = min(time, max(latest_start, now))
        if self._needs_probe():
            time = min(time, self.silence.next_probe or now)
        if time < self.wake_at:
            self.wake_at = time
            actions.append(WakeQueueAt(time=time))
