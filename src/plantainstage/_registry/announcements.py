"""Takes announcements and departures of searchers at a control replica."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pynng

from plantainstage._errors import DepartureNotHeardError
from plantainstage._messages import serving
from plantainstage._registry.register import SearcherRegister
from plantainstage._serving.searchers import Searcher
from plantainstage._transport.rpc import RpcClient

NOTICE_TIMEOUT_S = 0.4


class AnnouncementService:
    """Records what searchers say, and notifies the other replicas of departures.

    ``relay`` has what the others hear, ``sync`` the entry hosts that poll this replica.
    ``write_recent()`` saves the recent state. ``evacuations()`` returns the number of
    the evacuations that this replica knows, with which announcements are marked.
    """

    def __init__(
        self,
        *,
        own_address: str,
        addresses: Callable[[], tuple[str, ...]],
        register: SearcherRegister,
        relay,
        sync,
        write_recent: Callable[[], Awaitable[None]],
        evacuations: Callable[[], int],
        events,
    ):
        self.own_address = own_address
        self.addresses = addresses
        self.register = register
        self.relay = relay
        self.sync = sync
        self.write_recent = write_recent
        self.evacuations = evacuations
        self.events = events
        self.peer_clients = {}
        self.unheard_departures = set()  # ids of searchers; an answer is still due

    def expire(self):
        """Forgets departures of searchers that the register has forgotten."""
        self.unheard_departures &= self.register.entries.keys()

    async def handle_announcement(self, searcher: Searcher):
        """Records an announcement; returns after notifying the peers of a departure.

        Raises DepartureNotHeardError, see ``_pass_on_departure``.
        """
        now = asyncio.get_running_loop().time()
        searcher = msgspec.structs.replace(searcher, heard_after=self.evacuations())
        is_departure = self.register.record_announcement(searcher, now)
        self._log_without_effect(searcher)
        if is_departure or searcher.searcher_id in self.unheard_departures:
            # A late announcement, or one of another process, says nothing of it.
            await self._pass_on_departure(self.register.find(searcher.searcher_id))

    def _log_without_effect(self, searcher):
        """Logs an announcement under the id of a searcher of another service."""
        counts = self.register.find(searcher.searcher_id)
        if counts.service != searcher.service:
            self.events.log_ordinary(
                "announcement_without_effect",
                searcher=searcher.searcher_id,
                service=searcher.service,
                service_that_counts=counts.service,
            )

    async def handle_departure(self, searcher_id: str, started_at_ms: int | None):
        """Records the departure of a searcher and notifies the peers of it.

        ``started_at_ms`` tells which start leaves, None that it was not stated. Raises
        DepartureNotHeardError, see ``_pass_on_departure``.
        """
        now = asyncio.get_running_loop().time()
        left = self.register.record_departure(
            searcher_id,
            now,
            started_at_ms=started_at_ms,
            heard_elsewhere=self.relay.find(searcher_id),
        )
        known = self.register.find(searcher_id)
        if known is None and not self.relay.is_complete(now):
            # Another replica may know it, and hosts send it requests.
            raise DepartureNotHeardError(searcher_id=searcher_id)
        if left is None and searcher_id in self.unheard_departures:
            left = known
        if left is not None:
            await self._pass_on_departure(left)

    async def _pass_on_departure(self, searcher):
        """Notifies the peers; raises DepartureNotHeardError if nobody can know of it.

        The searcher takes the reply as a promise that no new requests will follow, and
        this replica may be lost right after it. A replica that hears neither a peer nor
        an entry host cannot make that promise; the searcher asks another one then.
        """
        searcher_id = searcher.searcher_id
        self.events.log_event(
            "searcher_leaves", searcher=searcher_id, state=searcher.state.name.lower()
        )
        heard, _ = await asyncio.gather(
            self._notify_peers(searcher), self.write_recent()
        )
        if heard or self.sync.hosts:
            self.unheard_departures.discard(searcher_id)
            return
        self.unheard_departures.add(searcher_id)
        raise DepartureNotHeardError(searcher_id=searcher_id)

    async def _notify_peers(self, searcher) -> bool:
        """Returns whether a peer has taken the notice, or there is none."""
        others = set(self.addresses()) - {self.own_address}
        notice = serving.SearcherNotice(searcher=searcher)
        taken = await asyncio.gather(
            *(self._notify_peer(address, notice) for address in others)
        )
        return any(taken) or not others

    async def _notify_peer(self, address, notice) -> bool:
        client = self.peer_clients.get(address)
        if client is None:
            client = RpcClient(address=address, reply_decoder=serving.REPLY_DECODER)
            self.peer_clients[address] = client
        try:
            await client.call(notice, timeout_s=NOTICE_TIMEOUT_S)
        except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
            # Another peer may have taken it, or entry hosts poll this replica.
            reason = type(error).__name__
            self.events.log_event("notice_not_taken", replica=address, reason=reason)
            return False
        return True
