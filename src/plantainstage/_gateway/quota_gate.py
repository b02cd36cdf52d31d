"""Admits requests of client accounts within their quotas, before they are started."""

import asyncio
import math
import secrets
from collections.abc import Callable

from plantainstage._gateway import answers
from plantainstage._reports.account_counters import account_outcome
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.boot_clock import boot_time
from plantainstage._serving.configuration import AllOf
from plantainstage._serving.quota_permits import (
    WAIT_S,
    Admitted,
    Permit,
    QuotaPermits,
    Refused,
    Waiting,
)

OVER_QUOTA = "over_quota"


def _ignore(*, urgent):
    """Stands for a link that has not been connected."""


class GatedRequest:
    """A request of an account, from its arrival to its answer.

    ``start()`` starts it and returns the RoutedRequest; ``reply(answer)`` answers it if
    it is refused. It waits for a permit while ``timer`` is set.
    """

    def __init__(self, *, gate, route, request, start: Callable, reply: Callable):
        self.gate = gate
        self.route = route
        self.request = request
        self.start = start
        self.reply = reply
        self.timer = None
        self.permit = None  # Permit, while it may be given back
        self.routed = None
        self.answer = None

    @property
    def is_waiting(self):
        """Whether it waits for a permit."""
        return self.timer is not None

    def answered(self, answer):
        """Records the answer; a request that has run keeps its permit."""
        self.answer = answer
        if self.routed is not None:
            self._settle()

    def caller_disconnected(self):
        """Drops the request if it waits; else its permit is settled."""
        if self.is_waiting:
            self.gate.drop(self)
        elif self.routed is not None and self.permit is not None:
            self.gate.settle(self, has_run=not self.routed.is_untouched)

    def admit(self, permit: Permit):
        """Starts the request."""
        self.permit = permit
        self.routed = self.start()
        if self.answer is not None:
            self._settle()

    def _settle(self):
        if self.permit is None:
            return
        refused = self.answer.status == 503 and not self.answer.is_of_searcher
        # Without a RoutedRequest its start has failed before anything was sent.
        untouched = self.routed is None or self.routed.is_untouched
        has_run = not (refused and untouched)
        self.gate.settle(self, has_run=has_run)


class QuotaGate:
    """Holds the permits of this host, and the requests that wait for them.

    ``on_news(urgent=...)`` is called when there is something to report; it is urgent if
    requests wait.
    """

    def __init__(
        self,
        *,
        router,
        host_id: str,
        bounds: QuotaBounds,
        clock: Callable[[], float] = boot_time,
    ):
        self.router = router
        self.clock = clock
        self.permits = QuotaPermits(
            host_id=host_id, process=secrets.token_hex(6), bounds=bounds
        )
        self.version = None  # of the accounts in ``permits``
        self.waiting = {}  # GatedRequest -> None, in the order of their arrival
        self.on_news = _ignore
        age = router.metrics.quota_contact_age
        age.set_function(self._contact_age_s)

    # ---- Commands -----------------------------------------------------------------

    def refresh(self):
        """Puts the accounts of the configuration in force into the permits."""
        if self.router.version == self.version:
            return
        self.version = self.router.version
        self.permits.set_accounts(self.router.accounts, self.clock())

    def collect(self):
        """Brings what there is to report up to date."""
        self.refresh()
        if self.router.room_gate is not None:
            uses = self.router.room_gate.take_uses()
            self.permits.count_room_uses(uses, self.clock())

    def pass_on(self, gated: GatedRequest):
        """Starts a request, or refuses it, at the latest after ``WAIT_S``."""
        self.refresh()
        request = gated.request
        decision = self.permits.admit(request.account, self.clock())
        if isinstance(decision, Waiting):
            self.router.metrics.quota_waits.inc()
            self.waiting[gated] = None
            loop = asyncio.get_running_loop()
            gated.timer = loop.call_later(self._wait_s(request), self._expire, gated)
        else:
            self._decide(gated, decision)
        self.on_news(urgent=bool(self.waiting))

    def apply_grants(self):
        """Decides on the requests that wait, and gives back permits beyond need."""
        self._apply_room_shares()
        for gated in list(self.waiting):
            if gated in self.waiting:
                self._decide_waiting(gated, is_last=False)
        self.permits.return_surplus()

    def _apply_room_shares(self):
        shares = self.permits.take_room_shares()
        if self.router.room_gate is not None:
            now = asyncio.get_running_loop().time()
            for account, share in shares.items():
                self.router.room_gate.apply_share(account, share, now)

    def drop(self, gated: GatedRequest):
        """Forgets a request that waits."""
        self._end_waiting(gated)
        self.permits.drop_waiting(gated.request.account)

    def settle(self, gated: GatedRequest, *, has_run: bool):
        """Counts a request that has ended; one that no searcher has got is undone."""
        permit, gated.permit = gated.permit, None
        if not has_run:
            self.permits.give_back(permit)
        self.on_news(urgent=bool(self.waiting))

    # ---- Waiting ------------------------------------------------------------------

    def _wait_s(self, request):
        if request.deadline_ms is None:
            return WAIT_S
        return min(WAIT_S, request.deadline_ms / 1000)

    def _expire(self, gated):
        self._decide_waiting(gated, is_last=True)

    def _decide_waiting(self, gated, *, is_last):
        account = gated.request.account
        decision = self.permits.admit_waiting(account, self.clock(), is_last=is_last)
        if not isinstance(decision, Waiting):
            self._end_waiting(gated)
            self._decide(gated, decision)

    def _end_waiting(self, gated):
        del self.waiting[gated]
        gated.timer.cancel()
        gated.timer = None

    def _decide(self, gated, decision):
        match decision:
            case Admitted(permit=permit):
                gated.admit(permit)
            case Refused(retry_after_s=retry_after_s):
                self._refuse(gated, retry_after_s)

    def _refuse(self, gated, retry_after_s):
        answer = answers.over_quota(retry_after_s=retry_after_s)
        metrics = self.router.metrics
        metrics.quota_refusals.inc()
        kind = "gather" if isinstance(gated.route.target, AllOf) else "single"
        metrics.requests.labels(kind, answer.status).inc()
        outcome = account_outcome(reason=OVER_QUOTA, status=answer.status)
        metrics.account_requests.count(gated.request.account, outcome)
        self._log_refusal(gated, answer, retry_after_s)
        gated.reply(answer)

    def _log_refusal(self, gated, answer, retry_after_s):
        """Logs what decided it; such lines may be many and are dropped first."""
        request, permits = gated.request, self.permits
        now = asyncio.get_running_loop().time()
        self.router.events.log_ordinary(
            "request",
            request_id=request.request_id,
            route=gated.route.name,
            version=self.router.version,
            outcome=OVER_QUOTA,
            status=answer.status,
            elapsed_ms=round((now - request.received_at) * 1000, 1),
            account=request.account,
            retry_after_ms=round(retry_after_s * 1000),
            permits_held=permits.held(request.account),
            leader_age_ms=self._contact_age_ms(),
            ledger=permits.ledger,
        )

    def _contact_age_s(self):
        """Returns the age of the last contact with a leader, -1 before the first."""
        age_s = self.permits.contact_age_s(self.clock())
        return -1.0 if math.isinf(age_s) else age_s

    def _contact_age_ms(self):
        return round(self._contact_age_s() * 1000)
