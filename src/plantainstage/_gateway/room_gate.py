"""Admits requests of client accounts while upstreams cannot serve all of them.

A request is refused before anything is done for it if its account is over the share of
the capacity that the leader of the control group states, or, without recent word of the
leader, over the share that follows from this host's own counts. A router has a gate
only while the configuration has accounts.
"""

import asyncio
import heapq
import math
from collections import defaultdict
from dataclasses import dataclass

from plantainstage._gateway import answers
from plantainstage._gateway.messages import STATUS_UNAVAILABLE, CallerRequest
from plantainstage._gateway.service_request import (
    NO_ROOM_IN_TIME,
    ROOM_QUEUE_FULL,
    SEARCHERS_LIMITED,
    ServiceRequest,
)
from plantainstage._messages.serving import AccountUse
from plantainstage._reports.account_counters import account_outcome
from plantainstage._serving import room_admission
from plantainstage._serving.account_totals import MAX_ACCOUNTS
from plantainstage._serving.configuration import AllOf, Route
from plantainstage._serving.fair_room import FairRoom
from plantainstage._serving.room_admission import (
    AdmissionCredit,
    RetrySpread,
    RouteSigns,
)
from plantainstage._serving.spreading import spread_weight

ACCOUNT_OVER_SHARE = "account_over_share"
# Outcomes of requests that upstreams could have served if they had had room.
NO_ROOM_OUTCOMES = frozenset(
    {
        "rejected",
        "deadline_passed",
        "shards_unavailable",
        "timed_out",
        "too_few_shards",
        NO_ROOM_IN_TIME,
        ROOM_QUEUE_FULL,
        SEARCHERS_LIMITED,
    }
)
# Hosts report every 0.3 s; ten lost replies mean that the leader is out of reach.
WORD_VALIDITY_S = 3.0
# A host sees a small part of all requests, and so needs longer to count some.
OWN_WINDOW_S = 10.0
OWN_MIN_FAILED = 3
OWN_INTERVAL_S = 0.5
RECENT_S = 10.0  # time constant of the requests that an account recently had admitted
# Requests waiting for one service; more would not be served before their deadlines.
MAX_WAITING = 256


@dataclass(frozen=True, kw_only=True)
class _Word:
    """The share that the leader stated."""

    share: float
    at: float


@dataclass(kw_only=True)
class _Tally:
    asked: int = 0
    no_room: int = 0
    served: int = 0
    over_share: int = 0


@dataclass(kw_only=True)
class _Recent:
    count: float = 0.0
    at: float = 0.0

    def decayed(self, now):
        return self.count * math.exp((self.at - now) / RECENT_S)


@dataclass(frozen=True, kw_only=True)
class WaitingPart:
    """A part of a request that waits for room at its service."""

    part: ServiceRequest

    def __call__(self):
        return self.part.send_waiting()


class RoomGate:
    """Decides which requests of accounts are started, and in which order they wait."""

    def __init__(self, *, router):
        self.router = router
        self.words = {}  # account -> _Word
        self.own = FairRoom(
            priorities=self._priorities,
            window_s=OWN_WINDOW_S,
            min_failed=OWN_MIN_FAILED,
        )
        self.own_at = 0.0
        self.credit = AdmissionCredit()
        self.signs = RouteSigns()
        phase = spread_weight(router.fleet.host_id, "retry") / 2**32
        self.spread = RetrySpread(phase=phase)
        self.unreported = defaultdict(_Tally)  # account -> _Tally
        self.uncounted = defaultdict(_Tally)
        self.recent = {}  # account -> _Recent, the least recent first

    # ---- Shares -------------------------------------------------------------------

    def apply_share(self, account: str, share: float, now: float):
        """Records the share of an account that the leader states."""
        self.words.pop(account, None)
        self.words[account] = _Word(share=share, at=now)
        if len(self.words) > MAX_ACCOUNTS:
            del self.words[next(iter(self.words))]

    def take_uses(self) -> tuple[AccountUse, ...]:
        """Returns what this host saw of each account since the last call."""
        uses, self.unreported = self.unreported, defaultdict(_Tally)
        return _uses(uses)

    def share(self, account: str, now: float) -> float:
        """Returns the share of the account's requests that are admitted."""
        word = self.words.get(account)
        if word is not None and now - word.at < WORD_VALIDITY_S:
            return word.share
        return self.own.room_share(account, now)

    def _count_own(self, now):
        if now - self.own_at >= OWN_INTERVAL_S:
            self.own_at = now
            uses, self.uncounted = self.uncounted, defaultdict(_Tally)
            self.own.on_uses(self.router.fleet.host_id, _uses(uses), now)

    def _priorities(self):
        return {
            name: account.priority
            for name, account in self.router.accounts.items()
            if account.priority is not None
        }

    # ---- Admission ----------------------------------------------------------------

    def refusal(self, route: Route, request: CallerRequest) -> answers.Answer | None:
        """Returns the answer to a request that is not admitted, or None.

        A request that another host passes on was admitted there.
        """
        if request.origin is not None:
            return None
        now = asyncio.get_running_loop().time()
        self._count_own(now)
        self._count(request.account, "asked")
        share = self.share(request.account, now)
        level = self.signs.level(route.name, now) if share < 1.0 else 0.0
        if level:
            share = 1.0 - level * (1.0 - share)
            priority = request.priority_on(route)
            if not self.credit.admit(request.account, priority, share=share):
                return self._refuse(route, request, share, now)
        self._admitted(request.account, now)
        return None

    def _refuse(self, route, request, share, now):
        self._count(request.account, "over_share")
        self._count_refusal(route, request)
        used_s = self.router.used_by_earlier_attempts_s(route, request.deadline_ms)
        retry_s = room_admission.retry_after_s(
            share=share, spread=self.spread.next(), waited_s=used_s
        )
        word = self.words.get(request.account)
        word_age_s = None if word is None else round(now - word.at, 2)
        self.router.events.log_ordinary(
            "request",
            request_id=request.request_id,
            route=route.name,
            version=self.router.version,
            outcome=ACCOUNT_OVER_SHARE,
            status=STATUS_UNAVAILABLE,
            elapsed_ms=round((now - request.received_at) * 1000, 1),
            account=request.account,
            priority=request.priority_on(route),
            room_share=round(share, 3),
            room_share_age_s=word_age_s,
            room_credit=round(self.credit.level(request.account), 2),
            retry_after_s=round(retry_s, 3),
        )
        return answers.refusal(reason=ACCOUNT_OVER_SHARE, retry_after_s=retry_s)

    def _count_refusal(self, route, request):
        metrics = self.router.metrics
        metrics.over_share.inc()
        kind = "gather" if isinstance(route.target, AllOf) else "single"
        metrics.requests.labels(kind, STATUS_UNAVAILABLE).inc()
        if request.account:
            outcome = account_outcome(
                reason=ACCOUNT_OVER_SHARE, status=STATUS_UNAVAILABLE
            )
            metrics.account_requests.count(request.account, outcome)

    def _admitted(self, account, now):
        recent = self.recent.pop(account, None) or _Recent()
        recent.count, recent.at = recent.decayed(now) + 1.0, now
        self.recent[account] = recent
        if len(self.recent) > MAX_ACCOUNTS:
            del self.recent[next(iter(self.recent))]

    def _count(self, account, name):
        for tallies in (self.unreported, self.uncounted):
            tally = tallies[account]
            setattr(tally, name, getattr(tally, name) + 1)

    def finished(self, route: Route, request: CallerRequest, outcome: str, status: int):
        """Records the outcome of a request that was admitted here."""
        if request.origin is not None or request.account is None:
            return
        now = asyncio.get_running_loop().time()
        if outcome in NO_ROOM_OUTCOMES and status >= 500:
            self.signs.lacked_room(route.name, now)
            self._count(request.account, "no_room")
        elif 0 < status < 500:
            self.signs.served(route.name, now)
            self._count(request.account, "served")

    # ---- Waiting for room ---------------------------------------------------------

    def wait(self, part: ServiceRequest, remaining_s: float):
        """Lets a part wait for room, or refuses it at once.

        Parts wait by priority, then by what their account recently had admitted, then
        by arrival. Beyond ``MAX_WAITING`` the last of them is refused, and so is a part
        that is expected to wait longer than ``remaining_s``.
        """
        queue = self.router.fleet.waiting[part.service]
        rank = self._rank(part)
        if self._expected_wait_s(part, queue, rank) > remaining_s:
            self._turn_away(part, NO_ROOM_IN_TIME)
            return
        if len(queue) >= MAX_WAITING:
            _drop_ended(queue)
        if len(queue) >= MAX_WAITING:
            last = max(queue)
            if last[0] <= rank or not isinstance(last[2], WaitingPart):
                self._turn_away(part, ROOM_QUEUE_FULL)
                return
            queue.remove(last)
            heapq.heapify(queue)
            self._add(part, rank)
            self._turn_away(last[2].part, ROOM_QUEUE_FULL)
            return
        self._add(part, rank)

    def _add(self, part, rank):
        waiting = WaitingPart(part=part)
        self.router.fleet.wait_for_room(part.service, rank, waiting)

    def _turn_away(self, part, reason):
        spread = self.spread.next()
        retry_s = room_admission.retry_after_s(share=1.0, spread=spread)
        part.turn_away_waiting(reason, retry_after_s=retry_s)

    def _rank(self, part):
        request = part.request
        now = asyncio.get_running_loop().time()
        recent = self.recent.get(request.account)
        admitted = 0.0 if recent is None else recent.decayed(now)
        # The host's own callers come before those of a host that is cut off.
        priority = request.priority_on(part.route)
        return (priority, request.origin is not None, admitted)

    def _expected_wait_s(self, part, queue, rank):
        """Returns when the parts ahead have been served, as far as that is known."""
        ahead = sum(1 for entry in queue if entry[0] <= rank)
        work_s = self.router.work_time(part.route).median.value
        return ahead * work_s / max(1, self.router.fleet.request_room(part.service))


def _uses(tallies):
    return tuple(
        AccountUse(
            account=account,
            asked=tally.asked,
            no_room=tally.no_room,
            served=tally.served,
            over_share=tally.over_share,
        )
        for account, tally in tallies.items()
    )


def _drop_ended(queue):
    """Removes parts whose request has ended while they waited."""
    queue[:] = [
        entry
        for entry in queue
        if not (isinstance(entry[2], WaitingPart) and entry[2].part.over)
    ]
    heapq.heapify(queue)
