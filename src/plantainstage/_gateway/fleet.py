"""The searchers that an entry host knows, their connections and their load."""

import asyncio
import heapq
import itertools
from collections import defaultdict

from plantainstage._gateway.messages import CallFailure, FailureKind
from plantainstage._gateway.pool import SearcherPool
from plantainstage._serving import placement
from plantainstage._serving.searchers import Searcher, SearcherState

# A searcher that can't be reached is tried again after this time.
UNREACHABLE_PAUSE_S = 1.0


class Member:
    """One start of a searcher with its load and its pool."""

    def __init__(self, *, searcher: Searcher, names, now):
        self.load = placement.SearcherLoad(searcher=searcher, known_since=now)
        self.pool = SearcherPool(searcher=searcher, names=names)
        self.usable = True

    @property
    def searcher(self):
        """The newest announcement."""
        return self.load.searcher


class Fleet:
    """All searchers by service; ``on_room`` hears of a service with room again."""

    def __init__(self, *, data_centre: str, names):
        self.data_centre = data_centre
        self.names = names
        self.members = {}  # searcher id -> Member
        self.by_service = defaultdict(dict)  # service -> searcher id -> Member
        self.connection_caps = {}  # service -> connections of each searcher
        self.waiting = defaultdict(list)  # service -> heap of those without room
        self.order = itertools.count()
        self.hosts = 1  # entry hosts that share the caps

    # ---- Beliefs ------------------------------------------------------------------

    def learn(self, searcher: Searcher):
        """Takes a new belief about a searcher."""
        known = self.members.get(searcher.searcher_id)
        if known and known.searcher.started_at_ms != searcher.started_at_ms:
            self.forget(searcher.searcher_id)
            known = None
        if searcher.state is not SearcherState.READY:
            self.forget(searcher.searcher_id)
            return
        if known is not None and known.searcher.address == searcher.address:
            known.load.searcher = searcher
            return
        self.forget(searcher.searcher_id)
        self._drop_earlier_at(searcher)
        now = asyncio.get_running_loop().time()
        member = Member(searcher=searcher, names=self.names, now=now)
        self.members[searcher.searcher_id] = member
        self.by_service[searcher.service][searcher.searcher_id] = member
        self.offer_room(searcher.service)

    def forget(self, searcher_id: str):
        """Sends nothing new to a searcher; what runs there goes on."""
        member = self.members.pop(searcher_id, None)
        if member is not None:
            del self.by_service[member.searcher.service][searcher_id]
            member.usable = False
            member.pool.retire()

    def _drop_earlier_at(self, searcher):
        """Addresses are used again; the latest start at one counts."""
        for member in list(self.members.values()):
            other = member.searcher
            earlier = other.started_at_ms <= searcher.started_at_ms
            if other.address == searcher.address and earlier:
                self.forget(other.searcher_id)

    def count(self, service: str) -> int:
        """Returns how many searchers of a service are known."""
        return len(self.by_service.get(service, ()))

    # ---- Choice -------------------------------------------------------------------

    def choose(self, service: str, *, tried, work_s: float) -> placement.Choice | None:
        """Returns the best searcher with a free connection that was not tried."""
        now = asyncio.get_running_loop().time()
        cap = self._connection_share(service)
        loads = [
            member.load
            for searcher_id, member in self.by_service.get(service, {}).items()
            if searcher_id not in tried
            and member.load.in_flight < self._request_share(member)
            and member.pool.has_room(cap, now)
        ]
        return placement.choose(
            loads, now=now, work_s=work_s, data_centre=self.data_centre
        )

    def _connection_share(self, service):
        cap = self.connection_caps.get(service, 16)
        return max(1, int(cap * 0.9 / max(1, self.hosts)))

    def _request_share(self, member):
        """How many requests of this host may be at one searcher at a time."""
        return max(2, member.searcher.slots)

    # ---- Waiting for room ---------------------------------------------------------

    def wait_for_room(self, service: str, priority: int, take):
        """Calls ``take()`` when the service may have room, the most urgent first.

        ``take`` returns whether it needs to wait no longer.
        """
        queue = self.waiting[service]
        heapq.heappush(queue, (priority, next(self.order), take))

    def offer_room(self, service: str):
        """Lets requests that wait for the service try again."""
        queue = self.waiting.get(service)
        while queue:
            entry = heapq.heappop(queue)
            if not entry[2]():
                heapq.heappush(queue, entry)
                return

    # ---- Calls --------------------------------------------------------------------

    def send(self, searcher_id, *, request, request_id, left_s, work_s, on_done):
        """Sends a formatted request to a searcher; returns a handle to abandon it.

        ``on_done`` gets the CallOutcome exactly once, never before return.
        """
        call = Call(
            fleet=self,
            member=self.members[searcher_id],
            request=request,
            request_id=request_id,
            work_s=work_s,
            on_done=on_done,
        )
        call.start(left_s)
        return call


class Call:
    """One request under way at one searcher."""

    def __init__(self, *, fleet, member, request, request_id, work_s, on_done):
        self.fleet = fleet
        self.member = member
        self.request = request
        self.request_id = request_id
        self.work_s = work_s
        self.on_done = on_done
        self.connection = None
        self.task = None
        self.timer = None
        self.sent_at = None
        self.over = False

    def start(self, left_s):
        """Sends on an idle connection, or on a new one once it is open."""
        loop = asyncio.get_running_loop()
        self.member.load.started(self, loop.time())
        self.timer = loop.call_later(left_s, self.abandon, "deadline_passed")
        connection = self.member.pool.take_idle(loop.time())
        if connection is None:
            self.task = asyncio.ensure_future(self._open())
        else:
            self._send(connection)

    def abandon(self, reason="abandoned"):
        """Gives the call up; its connection is closed, so that work stops."""
        if self.over:
            return
        self.over = True  # the close below must not count as a broken reply
        if self.connection is not None:
            connection, self.connection = self.connection, None
            self.member.pool.discard(connection)
            kind = FailureKind.ABANDONED
        else:
            kind = FailureKind.UNREACHABLE
            if self.task is not None:
                self.task.cancel()
        self._finish(CallFailure(kind=kind, reason=reason))

    async def _open(self):
        connection = await self.member.pool.open()
        if self.over:
            if connection is not None:
                self.member.pool.put_back(connection, None)
            return
        if connection is None:
            loop = asyncio.get_running_loop()
            self.member.load.avoid(loop.time() + UNREACHABLE_PAUSE_S)
            failure = CallFailure(kind=FailureKind.UNREACHABLE, reason="no connection")
            self._finish(failure)
            return
        self._send(connection)

    def _send(self, connection):
        self.connection = connection
        self.sent_at = asyncio.get_running_loop().time()
        self.member.pool.exchange(
            connection,
            request=self.request,
            request_id=self.request_id,
            on_done=self._replied,
        )

    def _replied(self, outcome):
        self.connection = None
        if self.over:
            return
        self._finish(outcome)

    def _finish(self, outcome):
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self._learn(outcome)
        self.on_done(self, outcome)
        self.fleet.offer_room(self.member.searcher.service)

    def _learn(self, outcome):
        now = asyncio.get_running_loop().time()
        load = self.member.load
        started_at = load.ended(self)
        match outcome:
            case CallFailure(kind=FailureKind.ABANDONED):
                load.answered(
                    elapsed_s=max(now - started_at, self.work_s),
                    work_s=self.work_s,
                    now=now,
                )
            case CallFailure():
                load.failed(now)
            case reply:
                self._learn_reply(reply, now)

    def _learn_reply(self, reply, now):
        load = self.member.load
        if reply.load is not None:
            load.reported(
                running=reply.load.running, waiting=reply.load.waiting, now=now
            )
        if reply.status == 421:
            self.fleet.forget(self.member.searcher.searcher_id)
        elif reply.is_success:
            elapsed_s = now - self.sent_at
            load.answered(elapsed_s=elapsed_s, work_s=self.work_s, now=now)
        else:
            load.failed(now)
