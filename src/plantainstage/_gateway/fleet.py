"""The searchers known to an entry host, with their connections and load."""

import asyncio
import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Collection

from plantainstage._gateway.call import Call
from plantainstage._gateway.searcher_limits import SearcherLimits
from plantainstage._gateway.searcher_wishes import SearcherWishes
from plantainstage._gateway.warm_up_limits import WarmUpLimits
from plantainstage._serving import connection_shares, placement
from plantainstage._serving.account_bounds import WarmUpBounds
from plantainstage._serving.address_claims import AddressClaims
from plantainstage._serving.connection_shares import ConnectionShare, HostCounts
from plantainstage._serving.host_evacuations import HostEvacuations
from plantainstage._serving.searcher_observations import ObservationLog, SearcherTrouble
from plantainstage._serving.searcher_reach import SearcherReach
from plantainstage._serving.searchers import Searcher, SearcherState

# For a service that the configuration in force does not define.
DEFAULT_CONNECTIONS = 16
# Lower bound for the requests of one host at one searcher; with a limit of one, a
# single paused request would block the host.
MIN_REQUEST_LIMIT = 2


def _log_nothing(event, **fields):
    """Replaces the event log, for tests and simulations."""


def _ignore(searcher):
    """Replaces ``on_start_gone`` until it is set."""


def _same_endpoint(one, other):
    return (one.address, one.service, one.data_centre) == (
        other.address,
        other.service,
        other.data_centre,
    )


class Member:
    """One start of a searcher, with its load and connection pool."""

    def __init__(self, *, searcher: Searcher, pool, now):
        self.load = placement.SearcherLoad(searcher=searcher, known_since=now)
        self.pool = pool
        self.usable = True

    @property
    def searcher(self):
        """The newest announcement of the searcher."""
        return self.load.searcher


class Fleet:
    """All known searchers, by id, and those that may get requests, by service.

    The latter are all except those in data centres that are evacuated.
    ``make_pool(searcher=...)`` returns the connection pool for a searcher. ``host_id``
    spreads the hosts without a near searcher over the remote ones. ``log_event`` gets
    the changes of the rate limits that searchers state.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        make_pool: Callable,
        host_id: str = "",
        log_event: Callable = _log_nothing,
        warm_up: WarmUpBounds | None = None,
    ):
        self.host_id = host_id
        self.data_centre = data_centre
        self.make_pool = make_pool
        self.claims = AddressClaims()  # all that are announced as ready
        self.members = {}  # searcher id -> Member, one at an address
        self.by_service = defaultdict(dict)  # service -> searcher id -> Member
        self.connection_caps = {}  # service -> connections of each searcher
        self.waiting = defaultdict(list)  # service -> heap of waiting requests
        self.order = itertools.count()
        self.hosts = HostCounts(by_data_centre={data_centre: 1})  # share the caps
        self.shares = {}  # searcher id -> ConnectionShare
        self.limits = SearcherLimits(host_id=host_id, log_event=log_event)
        self.wishes = SearcherWishes(log_event=log_event)
        self.warm_up = WarmUpLimits(
            host_id=host_id, bounds=warm_up or WarmUpBounds(), log_event=log_event
        )
        # Called with a start that was replaced or that is announced no longer.
        self.on_start_gone = _ignore
        self.observations = ObservationLog()  # for the other hosts
        self.shares_observations = False
        self.troubles = ()  # SearcherTroubles, as all hosts observe them
        self.evacuations = HostEvacuations(host_id=host_id)
        self.log_event = log_event
        self.reach = SearcherReach()
        self.reach_watch = None  # ReachWatch, if there is one

    # ---- Known searchers ----------------------------------------------------------

    def update_searcher(self, searcher: Searcher):
        """Adds, updates or removes a searcher after a change of its announcement."""
        known = self.members.get(searcher.searcher_id)
        if known and known.searcher.start != searcher.start:
            self.on_start_gone(known.searcher)
            self._drop_member(searcher.searcher_id)
            known = None
        if searcher.state is not SearcherState.READY:
            self.remove_searcher(searcher.searcher_id)
            return
        now = asyncio.get_running_loop().time()
        self.warm_up.record_announced(searcher, now)
        if known is not None and _same_endpoint(known.searcher, searcher):
            self.claims.put(searcher)
            known.load.searcher = searcher
            return
        self.remove_searcher(searcher.searcher_id)
        self.claims.put(searcher)
        self._settle_address(searcher.address)

    def remove_searcher(self, searcher_id: str):
        """Stops sending requests to a searcher; running requests continue.

        Another one that is announced at its address gets them again.
        """
        address = self.claims.remove(searcher_id)
        self._drop_member(searcher_id)
        if address is not None:
            self._settle_address(address)

    def set_services(self, services: Collection[str]):
        """Sets the services that the configuration in force names."""
        for address in self.claims.set_services(services):
            self._settle_address(address)

    def _settle_address(self, address):
        """Sends requests to the one searcher at the address that counts."""
        holder = self.claims.holder(address)
        for other in self.claims.at(address):
            if other is not holder and other.searcher_id in self.members:
                self._supersede(other, holder)
        if holder is not None and holder.searcher_id not in self.members:
            self._add_member(holder)

    def _supersede(self, searcher, holder):
        self.log_event(
            "searcher_superseded",
            searcher=searcher.searcher_id,
            service=searcher.service,
            address=searcher.address,
            by=holder.searcher_id,
            by_service=holder.service,
            later_ms=holder.started_at_ms - searcher.started_at_ms,
        )
        self.on_start_gone(searcher)
        self._drop_member(searcher.searcher_id)

    def _add_member(self, searcher):
        now = asyncio.get_running_loop().time()
        pool = self.make_pool(searcher=searcher)
        member = Member(searcher=searcher, pool=pool, now=now)
        self.members[searcher.searcher_id] = member
        self._add_to_service(member)
        self.limits.searcher_added(searcher)
        self.shares.clear()
        self.retry_waiting(searcher.service)

    def _drop_member(self, searcher_id):
        member = self.members.pop(searcher_id, None)
        if member is not None:
            self.by_service[member.searcher.service].pop(searcher_id, None)
            member.usable = False
            member.pool.retire()
            now = asyncio.get_running_loop().time()
            self.limits.searcher_removed(member.searcher, now)
            self.reach.forget(member.searcher.start)
            self.wishes.removed(member.searcher, now)
            self.warm_up.searcher_removed(member.searcher, now)
            self.shares.clear()

    def remove_silent(self, searcher_id: str):
        """Stops sending requests to a searcher that announces itself no longer."""
        member = self.members.get(searcher_id)
        if member is not None:
            self.on_start_gone(member.searcher)
        self.remove_searcher(searcher_id)

    def _add_to_service(self, member):
        if not self.is_evacuated(member):
            searcher = member.searcher
            self.by_service[searcher.service][searcher.searcher_id] = member

    # ---- Evacuations --------------------------------------------------------------

    def is_evacuated(self, member) -> bool:
        """Whether the searcher gets no requests because of an evacuation."""
        return member.searcher.data_centre in self.evacuations.in_force

    def is_only_evacuated(self, service: str) -> bool:
        """Whether searchers of the service are known, but only evacuated ones."""
        if self.count(service) or not self.evacuations.in_force:
            return False
        known = (m.searcher.service for m in self.members.values())
        return service in known

    def update_evacuations(self, now: float):
        """Puts evacuations, and ends of them, in force that are due.

        Requests that run there go on; those that wait for room are tried again, since
        they end at once if no other searcher of their service is left.
        """
        changed = self.evacuations.update(now)
        if not changed:
            return
        services = set()
        for member in self.members.values():
            if member.searcher.data_centre in changed:
                services.add(member.searcher.service)
                self._move_evacuated(member)
        self.shares.clear()
        for name in sorted(changed):
            in_force = name in self.evacuations.in_force
            event = "evacuation_in_force" if in_force else "evacuation_over"
            self.log_event(event, data_centre=name, number=self.evacuations.number)
        for service in services:
            self.retry_waiting(service)

    def refresh_warm_up(self, now: float):
        """Notes which searchers have become cold or warm."""
        searchers = [member.searcher for member in self.members.values()]
        self.warm_up.refresh(searchers, now)

    def _move_evacuated(self, member):
        searcher = member.searcher
        if not self.is_evacuated(member):
            self._add_to_service(member)
            return
        self.by_service[searcher.service].pop(searcher.searcher_id, None)
        member.pool.kept = 0
        self.reach.forget(searcher.start)

    @property
    def is_connected(self) -> bool:
        """Whether a connection to any searcher is open."""
        return any(member.pool.is_connected for member in self.members.values())

    def reaches(self, service: str) -> bool:
        """Whether a searcher of the service may reply to this host."""
        if self.reach.is_clear:
            return True
        members = self.by_service.get(service, {}).values()
        now = asyncio.get_running_loop().time()
        return self.reach.reaches_any((m.searcher.start for m in members), now)

    def count(self, service: str) -> int:
        """Returns the number of searchers of a service that may get requests."""
        return len(self.by_service.get(service, ()))

    # ---- Selection ----------------------------------------------------------------

    def choose(
        self, service: str, *, tried, work_s: float, uses_permits: bool = True
    ) -> placement.Choice | None:
        """Returns the best untried searcher that may get a request, or None.

        It has room for the request, it does not leave and wants no pause, and its rate
        limit, if it states one or is cold, allows it. Without ``uses_permits``
        searchers that state a limit or are cold are passed over.
        """
        now = asyncio.get_running_loop().time()
        candidates = [
            placement.Candidate(load=member.load, connect_s=member.pool.connect_s(now))
            for searcher_id, member in self.by_service.get(service, {}).items()
            if searcher_id not in tried
            and not self.wishes.wait_s(member.searcher, now)
            and member.load.in_flight < self._request_limit(member)
            and member.pool.has_room(self.share(member).limit, now)
            and self.limits.allows(member.searcher, now, uses_permits)
            and self.warm_up.allows(member.searcher, now, uses_permits)
        ]
        return placement.choose(
            candidates, now=now, work_s=work_s, data_centre=self.data_centre
        )

    def pause_wait_s(self, service: str) -> float:
        """Returns how long all searchers of a service want no requests of this host.

        It is 0 if one of them takes requests, and infinity if all of them leave.
        """
        members = self.by_service.get(service)
        if not members or self.wishes.is_empty:
            return 0.0
        now = asyncio.get_running_loop().time()
        return min(self.wishes.wait_s(m.searcher, now) for m in members.values())

    def accepts(self, member) -> bool:
        """Whether a searcher still gets requests, after a wait for a connection."""
        now = asyncio.get_running_loop().time()
        return not self.is_evacuated(member) and not self.wishes.wait_s(
            member.searcher, now
        )

    def needs_permits(self, service: str) -> bool:
        """Whether all searchers of a service state a rate limit or are cold."""
        members = self.by_service.get(service)
        if not members or (not self.limits.permits and self.warm_up.is_idle):
            return False
        now = asyncio.get_running_loop().time()
        return all(
            self.limits.is_limited(m.searcher) or self.warm_up.is_cold(m.searcher, now)
            for m in members.values()
        )

    def permit_wait_s(self, service: str) -> float:
        """Returns how long the rate limits of all searchers exclude the service.

        It is 0 if a searcher of the service may get a request now.
        """
        if not self.needs_permits(service):
            return 0.0
        now = asyncio.get_running_loop().time()
        members = self.by_service[service].values()
        return min(
            max(
                self.limits.wait_s(member.searcher, now),
                self.warm_up.wait_s(member.searcher, now),
            )
            for member in members
        )

    def share(self, member) -> ConnectionShare:
        """Returns this host's share of a searcher's connections."""
        searcher = member.searcher
        share = self.shares.get(searcher.searcher_id)
        if share is None:
            share = self.shares[searcher.searcher_id] = self._new_share(searcher)
        return share

    def _new_share(self, searcher):
        members = self.by_service.get(searcher.service, {})
        places = [member.searcher.data_centre for member in members.values()]
        places = places or [searcher.data_centre]
        keeping_hosts = connection_shares.hosts_that_keep(
            self.hosts,
            data_centre=searcher.data_centre,
            searcher_data_centres=places,
        )
        return connection_shares.connection_share(
            cap=self.connection_caps.get(searcher.service, DEFAULT_CONNECTIONS),
            slots=searcher.slots,
            hosts=self.hosts,
            keeping_hosts=keeping_hosts,
            keeps=self._keeps_connections(searcher, members, places),
        )

    def _keeps_connections(self, searcher, members, places):
        if self.data_centre in places:
            return searcher.data_centre == self.data_centre
        preferred = connection_shares.preferred_remote(
            self.host_id, members or [searcher.searcher_id]
        )
        return preferred == searcher.searcher_id

    def set_limits(
        self, *, hosts: HostCounts | None = None, caps: dict[str, int] | None = None
    ):
        """Changes what the shares of connections are computed from."""
        if hosts is not None:
            self.hosts = hosts
            self.limits.hosts = hosts.total
        if caps is not None:
            self.connection_caps = caps
        self.shares.clear()
        self.shares_observations = connection_shares.is_scarce(
            self.connection_caps.values(), hosts=self.hosts
        )

    def _request_limit(self, member):
        """Returns how many requests of this host a searcher may have at a time."""
        return max(MIN_REQUEST_LIMIT, member.searcher.slots)

    def apply_troubles(self, troubles: tuple[SearcherTrouble, ...] | None):
        """Records which searchers all hosts observe in trouble, None if unchanged."""
        now = asyncio.get_running_loop().time()
        if troubles is not None:
            for trouble in self.troubles:
                self._set_trouble(trouble.searcher_id, None, now)
            self.troubles = troubles
        for trouble in self.troubles:
            self._set_trouble(trouble.searcher_id, trouble, now)

    def _set_trouble(self, searcher_id, trouble, now):
        member = self.members.get(searcher_id)
        if member is not None:
            member.load.observed_by_all(trouble, now)

    def request_room(self, service: str) -> int:
        """Returns how many requests of this host the service may have at a time."""
        members = self.by_service.get(service, {}).values()
        return sum(self._request_limit(member) for member in members)

    # ---- Waiting for room ---------------------------------------------------------

    def wait_for_room(self, service: str, rank: tuple, try_send):
        """Calls ``try_send()`` when the service may have room, by rank and arrival.

        ``try_send`` returns true once it no longer needs to wait.
        """
        queue = self.waiting[service]
        heapq.heappush(queue, (rank, next(self.order), try_send))

    def retry_waiting(self, service: str):
        """Retries requests that wait for room at the service."""
        queue = self.waiting.get(service)
        while queue:
            entry = heapq.heappop(queue)
            if not entry[2]():
                heapq.heappush(queue, entry)
                return

    # ---- Calls --------------------------------------------------------------------

    def send(
        self,
        searcher_id,
        *,
        request,
        request_id,
        remaining_s,
        work_s,
        on_done,
        may_send: Callable,
    ):
        """Sends a formatted request to a searcher; returns its Call.

        ``on_done`` gets the Call and its CallOutcome exactly once, after this method
        has returned. ``may_send()`` tells after a wait for a connection whether the
        request is still to be sent.
        """
        member = self.members[searcher_id]
        member.pool.kept = self.share(member).kept
        now = asyncio.get_running_loop().time()
        self.limits.take(member.searcher, now)
        self.warm_up.take(member.searcher, now)
        call = Call(
            fleet=self,
            member=member,
            request=request,
            request_id=request_id,
            work_s=work_s,
            on_done=on_done,
            may_send=may_send,
        )
        call.start(remaining_s)
        return call
