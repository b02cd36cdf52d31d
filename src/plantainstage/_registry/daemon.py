"""The daemon of one control replica of routed requests: its sockets and tasks."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from plantainstage._errors import NotLeaderError, TooManyEvacuationsError
from plantainstage._messages import serving
from plantainstage._messages.account_rows import AccountRow, AccountRowSource
from plantainstage._registry.account_service import AccountService
from plantainstage._registry.announcements import AnnouncementService
from plantainstage._registry.configured_accounts import ConfiguredAccounts
from plantainstage._registry.configured_services import ConfiguredServices
from plantainstage._registry.control_format import ControlFormat
from plantainstage._registry.crash_register import CrashRegister
from plantainstage._registry.group_limits import GroupLimits
from plantainstage._registry.machine import ConfigurationMachine
from plantainstage._registry.peers import Peer
from plantainstage._registry.recent import RecentFile, RecentState
from plantainstage._registry.register import MAX_SEARCHERS, SearcherRegister
from plantainstage._registry.relay import PeerRelay
from plantainstage._registry.reported_accounts import ReportedAccounts
from plantainstage._registry.sync import SyncService
from plantainstage._registry.withholding import Withholding
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.announcement_ranges import usable
from plantainstage._serving.evacuations import (
    MAX_EVACUATIONS,
    EvacuationState,
    check_data_centre,
)
from plantainstage._serving.fair_room import FairRoom
from plantainstage._serving.searcher_observations import SearcherTroubles
from plantainstage._supervision import load_modules, run_supervised
from plantainstage._transport.buffer_memory import BufferMemory
from plantainstage._transport.listening import listen_on, listen_when_free
from plantainstage._transport.rpc import RpcServer

EXPIRE_INTERVAL_S = 0.3
# The state that is restored after a restart may be this old, except for departures.
SAVE_INTERVAL_S = 0.5
SAVE_TIMEOUT_S = 0.3
DOCUMENTS_BYTES = 32 * 1024 * 1024
ANNOUNCEMENTS_BYTES = 8 * 1024 * 1024
# Imported once the sync server has started. Their import takes most of the start time
# on a small host, and entry hosts without a configuration wait only for the sync
# server, which needs none of them.
DEFERRED_MODULES = (
    "plantainstage._registry.group_replica",
    "plantainstage._registry.http_api",
    "plantainstage._reports.exposition",
)


class BodyMemory:
    """Memory for the bodies that are being received from operators and searchers.

    Bodies of one kind do not keep those of the other kind out.
    """

    def __init__(self):
        self.documents = BufferMemory(limit=DOCUMENTS_BYTES)
        self.others = BufferMemory(limit=ANNOUNCEMENTS_BYTES)


@dataclass(frozen=True, kw_only=True)
class RegistrySettings:
    """Settings of one control replica of routed requests.

    ``peers()`` returns the replicas that the settings currently name. ``founders``
    names the replicas that bootstrap the group, for its very first start only.
    ``sync_address_of`` derives a replica's sync address from its client address.
    """

    host_id: str
    own: Peer
    data_folder: str
    peers: Callable[[], tuple[Peer, ...]]
    sync_address_of: Callable[[str], str]
    founders: tuple[Peer, ...] = ()
    data_centre: str = "dc-1"
    heartbeat_s: float = 1.0
    limits: GroupLimits = GroupLimits()
    quota: QuotaBounds = QuotaBounds()
    metrics_listen: str = ""
    format: ControlFormat = field(default_factory=ControlFormat)


def _unix_ms():
    return round(time.time() * 1000)


class RegistryDaemon:
    """Serves operators, searchers and entry hosts until it is stopped."""

    def __init__(self, *, settings: RegistrySettings, events):
        self.settings = settings
        self.events = events
        self.format = settings.format
        self.own_address = settings.own.client_address
        self.process = secrets.token_hex(6)
        self.machine = ConfigurationMachine()
        self.register = SearcherRegister(heartbeat_s=settings.heartbeat_s)
        self.register.ended_number = self._ended_number
        services = ConfiguredServices(
            machine=self.machine, decode=settings.format.service_names
        )
        self.register.is_named = services.is_named
        self.crashes = CrashRegister()
        self.troubles = SearcherTroubles()
        self.group = None  # GroupReplica, once its module is loaded
        self.metrics = None  # RegistryMetrics, once its module is loaded
        self.started = asyncio.Event()  # set once all interfaces listen
        self.recent = RecentFile(folder=settings.data_folder, events=events)
        self.save_due = asyncio.Event()
        self.saved_cursor = 0
        self.saved_crashes = 0  # revision of the crash register
        self.known_evacuations = EvacuationState()  # those whose start was logged
        self.body_memory = BodyMemory()
        self.relay = PeerRelay(
            own_address=settings.own.sync_address,
            addresses=self._sync_addresses,
            machine=self.machine,
            crashes=self.crashes,
            troubles=self.troubles,
            is_named=services.is_named,
            events=events,
        )
        self.accounts = AccountService(
            process=self.process,
            machine=self.machine,
            decode=settings.format.decode_configuration,
            bounds=settings.quota,
            replica=lambda: self.replica,
            sync_address_of=settings.sync_address_of,
            events=events,
        )
        self.fair_room = FairRoom(priorities=lambda: self.accounts.priorities)
        self.accounts.on_uses = self.fair_room.on_uses
        self.accounts.room_share = self.fair_room.room_share
        self.account_source: AccountRowSource = ReportedAccounts(
            configured=ConfiguredAccounts(
                machine=self.machine, decode=settings.format.decode_configuration
            ),
            service=self.accounts,
            fair_room=self.fair_room,
        )
        self.sync = SyncService(
            own_address=settings.own.sync_address,
            process=self.process,
            data_centre=settings.data_centre,
            machine=self.machine,
            register=self.register,
            crashes=self.crashes,
            troubles=self.troubles,
            relay=self.relay,
            addresses=self._sync_addresses,
            leader=self.accounts.leader,
            withholding=Withholding(
                machine=self.machine,
                has_accounts=settings.format.has_accounts,
                knows_leader=self._knows_leader,
                events=events,
            ),
            events=events,
        )
        self.announcements = AnnouncementService(
            own_address=settings.own.sync_address,
            addresses=self._sync_addresses,
            register=self.register,
            relay=self.relay,
            sync=self.sync,
            write_recent=self._write_recent,
            evacuations=lambda: self.machine.evacuations.number,
            events=events,
        )

    # ---- Running ------------------------------------------------------------------

    @property
    def replica(self):
        """The replica of the log, or None while none runs."""
        return self.group.replica if self.group is not None else None

    async def run(self, stop: asyncio.Event):
        """Serves until ``stop`` is set; raises ListenError without its ports."""
        self._restore_recent_state()
        sync = RpcServer(
            address=self.settings.own.sync_address,
            handler=self._handle_request,
            request_decoder=serving.REQUEST_DECODER,
        )
        await self._listen(sync.start, "sync_address", self.settings.own.sync_address)
        self.events.log_event("sync_started", address=self.settings.own.sync_address)
        group_replica, http_api, exposition = await load_modules(DEFERRED_MODULES)
        self.group = self._make_group(group_replica.GroupReplica)
        self._serve_metrics(exposition, sync)
        server = http_api.make_server(self)
        await self._listen(
            partial(listen_on, server, self.own_address), "listen", self.own_address
        )
        self.started.set()
        self.events.log_event("started", address=self.own_address)
        tasks = [
            asyncio.create_task(run_supervised(run, task=task, events=self.events))
            for task, run in (
                ("replica", self.group.run),
                ("expiry", self._expire),
                ("relay", self.relay.run),
                ("accounts", self.accounts.run),
                ("recent state", self._save_recent),
            )
        ]
        await stop.wait()
        self.events.log_event("stopping")
        server.stop()
        await self.group.stop()
        for task in tasks:
            task.cancel()
        await sync.stop()
        self.events.log_event("stopped")
        self.events.flush()

    async def _listen(self, listen, setting, address):
        await listen_when_free(
            listen, setting=setting, address=address, events=self.events
        )

    def _make_group(self, group_replica):
        settings = self.settings
        return group_replica(
            own=settings.own,
            data_folder=settings.data_folder,
            bootstrap_peers=settings.founders,
            machine=self.machine,
            addresses=self._sync_addresses,
            sync_address_of=settings.sync_address_of,
            limits=settings.limits,
            events=self.events,
        )

    def _serve_metrics(self, exposition, sync):
        metrics = self.metrics = exposition.RegistryMetrics()
        metrics.version.set_function(lambda: self.machine.newest.version)
        metrics.searchers.set_function(lambda: len(self.register.entries))
        metrics.evacuations.set_function(lambda: len(self.machine.evacuations.running))
        metrics.hosts.set_function(lambda: len(self.sync.hosts))
        metrics.leader_state.set_function(self._leads)
        metrics.missing_voters.set_function(self._missing_voters)
        metrics.repeated_joins.set_function(self._repeated_joins)
        metrics.dropped_lines.set_function(lambda: self.events.dropped_total)
        metrics.failed_tasks.set_function(lambda: self.events.counts["task_failed"])
        metrics.failed_requests.set_function(lambda: sync.failed_requests)
        if self.settings.metrics_listen:
            exposition.serve_metrics(
                address=self.settings.metrics_listen,
                registry=metrics.registry,
                events=self.events,
            )

    def _missing_voters(self):
        """Returns how many voters the group lacks, as its leader sees it."""
        if self.group.maintainer is None or not self._leads():
            return 0
        return self.group.maintainer.missing_voters

    def _repeated_joins(self):
        maintainer = self.group.maintainer
        return 0 if maintainer is None else maintainer.joins.repeated

    def _knows_leader(self):
        return self.replica is not None and self.replica.knows_leader

    def _leads(self):
        return self.replica is not None and self.replica.is_leader

    async def _expire(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = loop.time()
            self.register.expire(now)
            self.crashes.expire(now)
            self.sync.expire(now)
            self.announcements.expire()

    # ---- State from before a restart ----------------------------------------------

    def _restore_recent_state(self):
        """Restores the recent state that the replica saved before the restart."""
        now = asyncio.get_running_loop().time()
        state = self.recent.read()
        if state.version >= 0:
            self.machine.restore_committed(
                version=state.version, document=state.document
            )
        self.machine.restore_evacuations(state.evacuations)
        # An earlier release may have saved what this one does not take.
        saved = usable(state.searchers, log_event=self.events.log_event)
        for searcher in saved[:MAX_SEARCHERS]:
            self.register.record_announcement(searcher, now)
        self.crashes.restore(state.crashes, now, _unix_ms())
        self.saved_cursor = self.register.cursor
        self.saved_crashes = self.crashes.revision
        self.known_evacuations = self.machine.evacuations
        self.sync.note_document(now)
        self.machine.on_change = self._state_changed

    def _state_changed(self):
        self.save_due.set()
        self.sync.note_document(asyncio.get_running_loop().time())
        self._log_evacuations()

    def _log_evacuations(self):
        """Logs which evacuations have started or ended since the last change."""
        before, now = self.known_evacuations, self.machine.evacuations
        self.known_evacuations = now
        for event, names, others in (
            ("evacuation_started", now.data_centres, before.data_centres),
            ("evacuation_ended", before.data_centres, now.data_centres),
        ):
            for name in names:
                if name not in others:
                    self.events.log_event(event, data_centre=name, number=now.number)

    async def _save_recent(self):
        """Saves the recent state within an interval after each change."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SAVE_INTERVAL_S):
                    await self.save_due.wait()
            if self.save_due.is_set() or not self.is_saved:
                self.save_due.clear()
                await self._write_recent()

    @property
    def is_saved(self):
        """Whether the file has the searchers and the crash reports of this moment."""
        known = (self.register.cursor, self.crashes.revision)
        return known == (self.saved_cursor, self.saved_crashes)

    async def _write_recent(self):
        cursor, crashes = self.register.cursor, self.crashes.revision
        now = asyncio.get_running_loop().time()
        state = RecentState(
            version=self.machine.newest.version,
            document=self.machine.newest.document,
            searchers=self.register.searchers(),
            crashes=self.crashes.to_save(now, _unix_ms()),
            evacuations=self.machine.evacuations,
        )
        if await self.recent.write(state, timeout_s=SAVE_TIMEOUT_S):
            self.saved_cursor, self.saved_crashes = cursor, crashes

    # ---- Configuration ------------------------------------------------------------

    def leader_address(self):
        """Returns the client address of the known leader, or an empty string."""
        return self.replica.leader_address if self.replica is not None else ""

    async def put_configuration(self, version: int, document: bytes) -> int:
        """Commits a validated document; returns the newest committed version.

        Any replica may answer for a version that is not above the committed one,
        since such a document changes nothing. Raises NotLeaderError or
        OutcomeUnknownError.
        """
        if version <= self.machine.newest.version:
            return self.machine.newest.version
        if self.replica is None:
            raise NotLeaderError
        command = self.machine.command(version=version, document=document)
        return await self.replica.propose(command)

    async def newest_configuration(self) -> bytes:
        """Returns the newest document once a majority has confirmed the leadership."""
        if self.replica is None:
            raise NotLeaderError
        await self.replica.confirm_leadership()
        return self.machine.newest.document

    def account_rows(self) -> tuple[AccountRow, ...]:
        """Returns a row for each client account of the newest configuration."""
        return self.account_source.account_rows()

    # ---- Evacuations --------------------------------------------------------------

    async def order_evacuation(self, data_centre: str, *, starts: bool):
        """Commits an order to start or to end the evacuation of a data centre.

        Also a repeat passes through the log, since only that tells whether another
        order came in between. Raises InvalidDataCentreError, TooManyEvacuationsError,
        NotLeaderError or OutcomeUnknownError.
        """
        check_data_centre(data_centre)
        if self.replica is None:
            raise NotLeaderError
        command = self.machine.evacuation_command(
            data_centre, starts=starts, at_ms=_unix_ms()
        )
        if not await self.replica.propose(command):
            raise TooManyEvacuationsError(limit=MAX_EVACUATIONS)

    async def list_evacuations(self) -> list[dict]:
        """Returns the evacuations once a majority has confirmed the leadership."""
        if self.replica is None:
            raise NotLeaderError
        await self.replica.confirm_leadership()
        now_ms = _unix_ms()
        return [
            {
                "data_centre": entry.data_centre,
                "age_ms": max(0, now_ms - entry.started_at_ms),
            }
            for entry in self.machine.evacuations.running
        ]

    def _ended_number(self, data_centre):
        return self.machine.evacuations.ended_number(data_centre)

    # ---- Entry hosts and replicas -------------------------------------------------

    async def _release(self, member_id):
        """Removes a replica that is about to stop from the group, if this one leads."""
        if self.group is not None and self.group.maintainer is not None:
            await self.group.maintainer.release(member_id)

    def _sync_addresses(self):
        """Returns the sync addresses of all replicas known to this one."""
        addresses = {peer.sync_address for peer in self.settings.peers()}
        for member in self._members():
            addresses.add(self.settings.sync_address_of(member.client_address))
        return tuple(sorted(addresses))

    def _members(self):
        """Returns the members of the group as far as this replica knows them."""
        if self.replica is None or self.replica.core is None:
            return ()
        return self.replica.core.state.membership.members

    async def _handle_request(self, request):
        now = asyncio.get_running_loop().time()
        match request:
            case serving.SyncRequest():
                return self.sync.reply_to_host(request, now)
            case serving.PeerSyncRequest():
                if request.leaving is not None:
                    await self._release(request.leaving)
                return await self.sync.reply_to_peer(request)
            case serving.SearcherNotice(searcher=searcher):
                for taken in usable((searcher,), log_event=self.events.log_event):
                    self.register.record_announcement(taken, now)
                return serving.Noted()
            case serving.JoinRequest(member=member):
                if self.group is None or self.group.maintainer is None:
                    return serving.JoinReply()
                return self.group.maintainer.record_join_request(member)
            case serving.AccountsRequest():
                return await self.accounts.reply(request)
