"""The public interface of one replica of the replicated log."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from plantainstage._agreement.interface import StateMachine
from plantainstage._control import replica_events as events
from plantainstage._control.founding import Founding
from plantainstage._control.member_statuses import member_statuses
from plantainstage._control.peer_links import PeerLinks
from plantainstage._control.replica_driver import ReplicaDriver
from plantainstage._control.replica_settings import ReplicaSettings
from plantainstage._errors import (
    BootstrapRefusedError,
    NotLeaderError,
    OutcomeUnknownError,
)
from plantainstage._messages.agreement import Member, MemberId
from plantainstage._messages.control import MemberAction, ReplicaStatus
from plantainstage._storage.files import FileOperations
from plantainstage._storage.store import Store

STOP_TIMEOUT_S = 5.0


class Replica:
    """One replica of the replicated log; implements ``ReplicatedLog``.

    A group of one replica at its first start::

        settings = ReplicaSettings(
            replica_id="control-1",
            data_folder="/var/lib/plantainstage",
            client_address="127.0.0.1:7100",
            peer_address="127.0.0.1:7200",
            bootstrap=(
                InitialMember(
                    replica_id="control-1",
                    client_address="127.0.0.1:7100",
                    peer_address="127.0.0.1:7200",
                ),
            ),
        )
        replica = Replica(settings=settings, machine=machine)
        await replica.start()          # raises StorageError, AddressInUse
        result = await replica.propose(b"command")
        await replica.stop()           # transfers leadership first

    A group of three has the same three entries in ``bootstrap`` at each replica.
    Later starts leave ``bootstrap`` empty. ``on_leader_change(leader, term)`` is
    called with the MemberId of the leader or None. ``wait_stopped`` returns
    after a planned stop and raises the error that stopped the replica.
    """

    def __init__(
        self,
        *,
        settings: ReplicaSettings,
        machine: StateMachine,
        files: FileOperations | None = None,
        on_leader_change: Callable[[MemberId | None, int], None] | None = None,
    ):
        self.settings = settings
        self.machine = machine
        self.files = files
        self.on_leader_change = on_leader_change
        self.driver = None
        self.task = None
        self.stopping = False

    # ---- Queries ------------------------------------------------------------------

    @property
    def core(self):
        """The agreement core, or None before it has started."""
        return self.driver.core if self.driver is not None else None

    @property
    def links(self):
        """The links to the other replicas."""
        return self.driver.links

    @property
    def is_leader(self):
        """Whether this replica believes that it is the leader."""
        return self.core is not None and self.core.is_leader and not self.stopping

    @property
    def knows_leader(self):
        """Whether the group had a leader a moment ago that reached this replica.

        A replica that is cut off knows none, also while it believes that it leads, and
        after its process was suspended.
        """
        if self.core is None or self.stopping:
            return False
        return self.core.has_recent_leader(now=asyncio.get_running_loop().time())

    @property
    def term(self):
        """The current term."""
        return self.core.state.term if self.core else 0

    @property
    def commit_index(self):
        """The highest index known to be committed."""
        return self.core.state.commit_index if self.core else 0

    @property
    def member_id(self):
        """The identity of this replica's folder."""
        return self.driver.store.member_id

    @property
    def leader_address(self):
        """The client address of the last known leader, or an empty string."""
        if self.core is None:
            return ""
        return self.driver.leader_address()

    def members(self) -> tuple[ReplicaStatus, ...]:
        """Returns the members, or none before the core has started."""
        if self.core is None:
            return ()
        return member_statuses(self.core)

    def is_replaced(self, *, old: MemberId, new: MemberId):
        """Whether ``new`` has replaced ``old`` completely."""
        if self.core is None:
            raise NotLeaderError
        return self.core.is_replaced_by(old=old, new=new)

    # ---- Commands -----------------------------------------------------------------

    async def start(self):
        """Opens the folder, listens for peers and starts the driver."""
        loop = asyncio.get_running_loop()
        disk_thread = ThreadPoolExecutor(max_workers=1)
        try:
            store = await loop.run_in_executor(disk_thread, self._open_store)
        except BaseException:
            disk_thread.shutdown(wait=False)
            raise
        links = PeerLinks(
            member_id=store.member_id,
            process=store.durable.boot_nonce,
            address=self.settings.peer_address,
            clock=loop.time,
        )
        driver = ReplicaDriver(
            settings=self.settings,
            machine=self.machine,
            store=store,
            links=links,
            disk_thread=disk_thread,
            on_leader_change=self.on_leader_change,
        )
        try:
            links.start(lambda frame: driver.put(events.PeerFrame(envelope=frame)))
        except BaseException:
            await driver.close()
            raise
        logger.info(
            "replica started",
            incarnation=store.member_id.incarnation,
            boot=store.durable.boot,
        )
        founding = None
        if self.settings.bootstrap:
            founding = Founding(settings=self.settings, member_id=store.member_id)
            founding.complete()
        else:
            driver.start_core(store.durable)
        self.driver = driver
        self.task = asyncio.create_task(driver.run(founding))

    def _open_store(self):
        store = Store(
            path=self.settings.data_folder,
            replica_id=self.settings.replica_id,
            files=self.files,
        )
        if self.settings.bootstrap and not store.is_empty:
            store.close()
            raise BootstrapRefusedError(
                path=self.settings.data_folder,
                detail="A bootstrap list was given, but the folder has state.",
                remedy="Start without the list; the folder already belongs to a group.",
            )
        return store

    async def propose(self, command: bytes) -> object:
        """Commits a command and returns the state machine's result for it."""
        if self.stopping:
            raise NotLeaderError(leader_address=self.leader_address)
        return await self._submit(
            events.Propose(command=command, future=self._future())
        )

    async def confirm_leadership(self) -> int:
        """Confirms leadership with a quorum after this call.

        Returns an index that has been applied here when this returns.
        """
        return await self._submit(events.Read(future=self._future()))

    async def change_member(self, action: MemberAction, replica: Member) -> None:
        """Executes one step of a member change; returns once it is committed.

        Raises NotLeaderError, MemberChangeRefusedError or OutcomeUnknownError.
        """
        await self._submit(
            events.ChangeMember(action=action, member=replica, future=self._future())
        )

    async def transfer_leadership(self) -> bool:
        """Asks another voter to take over; returns whether there is one."""
        return await self._submit(events.TransferLeadership(future=self._future()))

    async def stop(self):
        """Transfers leadership, waits for pending proposals and stops."""
        if self.task is None:
            return
        if not self.task.done():
            self.stopping = True
            await self._end_leadership()
            self.driver.put(events.StopRequested())
        await asyncio.gather(self.task, return_exceptions=True)

    async def wait_stopped(self):
        """Returns after a planned stop; raises the error of an unplanned one."""
        await asyncio.shield(self.task)

    async def _end_leadership(self):
        """Waits for pending proposals, then transfers leadership if this leads."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STOP_TIMEOUT_S
        while loop.time() < deadline and not self.task.done():
            leads = self.core is not None and self.core.is_leader
            if not self.driver.pending.proposals and not leads:
                return
            if leads and not self.driver.pending.proposals:
                try:
                    if not await self.transfer_leadership():
                        return
                except (NotLeaderError, OutcomeUnknownError):
                    return
            await asyncio.sleep(self.settings.timing.heartbeat_s)

    def _future(self):
        return asyncio.get_running_loop().create_future()

    async def _submit(self, event):
        if self.task is None or self.task.done():
            raise NotLeaderError
        self.driver.put(event)
        return await event.future
