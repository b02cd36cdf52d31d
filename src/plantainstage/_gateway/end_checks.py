"""Decides whether a searcher has ended after a connection to it broke."""

import asyncio
import enum
from functools import partial

from plantainstage._gateway.messages import CallerRequest
from plantainstage._serving.crash_evidence import CrashEvidence, Ruling, Standing

# The other connections of a searcher that has ended close within this time.
SETTLE_S = 0.02
REFUSED = "connection_refused"


class Verdict(enum.Enum):
    """What the signs right after a break say of a searcher."""

    CONNECTED = "other connections to it are open"
    ACCEPTS = "it accepts connections"
    UNKNOWN = "it does not answer"
    ISOLATED = "this host reaches no searcher"
    ENDED = "it refuses connections"


def _do_nothing():
    """Replaces ``on_observation`` until it is set."""


class EndChecks:
    """Checks the searchers whose connections broke, each start once at a time.

    A searcher has ended if none of its connections is left and its address refuses new
    ones, while this host has a connection to another searcher. Otherwise the
    announcement of a new start, or the lack of announcements, decides later.
    """

    def __init__(self, *, fleet, evidence: CrashEvidence, events, metrics):
        self.fleet = fleet
        self.evidence = evidence
        self.events = events
        self.metrics = metrics
        self.running = {}  # start -> task
        self.on_observation = _do_nothing  # called when control has something to learn
        fleet.on_start_gone = self.start_gone

    # ---- Queries ------------------------------------------------------------------

    def remaining_s(self, request: CallerRequest) -> float:
        """Returns how long the request is quarantined, 0 if it is not."""
        if self.evidence.is_idle:
            return 0.0
        now = asyncio.get_running_loop().time()
        return self.evidence.remaining_s(request.fingerprint, now)

    def is_on_trial(self, request: CallerRequest) -> bool:
        """Whether the request is to be tried with one searcher before others get it."""
        if self.evidence.is_idle:
            return False
        now = asyncio.get_running_loop().time()
        standing = self.evidence.standing(request.fingerprint, now)
        return standing is Standing.ON_TRIAL

    def may_send(self, request: CallerRequest) -> bool:
        """Whether a call that has waited for its connection may still be sent."""
        return not self.remaining_s(request)

    def may_repeat(self, request: CallerRequest) -> bool:
        """Whether a repeat or a hedge may be sent."""
        if self.evidence.is_idle:
            return True
        now = asyncio.get_running_loop().time()
        return self.evidence.may_repeat(request.fingerprint, now)

    # ---- Events -------------------------------------------------------------------

    def call_broken(self, request: CallerRequest, member):
        """Records a break in the middle of a request and starts a check."""
        loop = asyncio.get_running_loop()
        start = member.searcher.start
        recorded = self.evidence.record_broken(request.fingerprint, start, loop.time())
        if recorded and start not in self.running:
            task = asyncio.create_task(self._check(member))
            self.running[start] = task
            task.add_done_callback(partial(self._checked, start))

    def searcher_answered(self, member):
        """Records that a searcher has answered after breaks of its connections."""
        if self.evidence.pending:
            now = asyncio.get_running_loop().time()
            self.evidence.record_alive(member.searcher.start, now - SETTLE_S)

    def request_answered(self, request: CallerRequest):
        """Records that a searcher has run a request to its end."""
        now = asyncio.get_running_loop().time()
        reported = self.evidence.last_number
        self.apply(self.evidence.record_answer(request.fingerprint, now))
        if self.evidence.last_number > reported:
            self.on_observation()

    def start_gone(self, searcher):
        """Takes the end of a start's announcements for its end, if it is in doubt."""
        if self.evidence.is_pending(searcher.start):
            self._record_end(searcher, "it announces itself no longer")

    def apply(self, rulings: list[Ruling]):
        """Logs what is quarantined from now on, or no longer."""
        for ruling in rulings:
            if ruling.quarantined:
                self.metrics.quarantined.inc()
            self.events.log_event(
                "request_quarantined" if ruling.quarantined else "quarantine_ended",
                fingerprint=ruling.fingerprint,
                ended_searchers=ruling.ends,
            )

    # ---- Checks -------------------------------------------------------------------

    async def _check(self, member):
        await asyncio.sleep(SETTLE_S)
        verdict = await self._verdict(member)
        if verdict is Verdict.ENDED:
            self._record_end(member.searcher, verdict.value)
        else:
            if verdict in (Verdict.CONNECTED, Verdict.ACCEPTS):
                self.evidence.record_contact(member.searcher.start)
            self.events.log_ordinary(
                "searcher_end_open",
                searcher=member.searcher.searcher_id,
                service=member.searcher.service,
                reason=verdict.value,
            )

    async def _verdict(self, member):
        if member.pool.is_connected:
            return Verdict.CONNECTED
        refusal = await member.pool.probe()
        if refusal is None:
            return Verdict.ACCEPTS
        if refusal != REFUSED:
            return Verdict.UNKNOWN
        return Verdict.ENDED if self.fleet.is_connected else Verdict.ISOLATED

    def _record_end(self, searcher, reason):
        now = asyncio.get_running_loop().time()
        requests = sorted(self.evidence.pending.get(searcher.start, ()))
        rulings = self.evidence.record_end(searcher.start, now)
        self.metrics.ended_searchers.inc()
        self.events.log_event(
            "searcher_ended",
            searcher=searcher.searcher_id,
            service=searcher.service,
            reason=reason,
            fingerprints=requests,
        )
        self.apply(rulings)
        self.on_observation()

    def _checked(self, start, task):
        del self.running[start]
        if not task.cancelled() and task.exception() is not None:
            trace = repr(task.exception())
            self.events.log_event("task_failed", task="end check", trace=trace)
