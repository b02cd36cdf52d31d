"""The task that drives the agreement with the disk and the peers."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from loguru import logger

from plantainstage._agreement import actions
from plantainstage._agreement.core import Core
from plantainstage._agreement.interface import StateMachine
from plantainstage._agreement.phases import split_into_phases
from plantainstage._control import replica_events as events
from plantainstage._control.founding import (
    OFFER_INTERVAL_S,
    Founding,
    answer_offer,
    initial_snapshot,
)
from plantainstage._control.peer_links import PeerLinks
from plantainstage._control.replica_settings import ReplicaSettings
from plantainstage._errors import (
    BootstrapRefusedError,
    NotLeaderError,
    OutcomeUnknownError,
    PlantainstageError,
)
from plantainstage._messages.agreement import (
    EntryKind,
    FoundGroup,
    FoundingOffer,
    FoundingRefused,
    Member,
    MemberId,
    Snapshot,
)
from plantainstage._messages.control import MemberAction, ReplicaStatus
from plantainstage._storage.files import FileOperations
from plantainstage._storage.store import Store

MAX_BATCH_EVENTS = 1024
STOP_TIMEOUT_S = 5.0


class Replica:
    """One replica of the replicated log; implements ``ReplicatedLog``.

    A group of one, at its first start::

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
        await replica.stop()           # hands leadership over first

    A group of three has three entries in ``bootstrap``, the same at each. Later
    starts leave ``bootstrap`` empty. ``on_leader_change(leader, term)`` is
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
        self.store = None
        self.core = None
        self.links = None
        self.founding = None
        self.applied_index = 0
        self.inbox = deque()
        self.wake = asyncio.Event()
        self.proposals = {}
        self.reads = {}
        self.read_number = 0
        self.task = None
        self.stopping = False
        self.disk_thread = ThreadPoolExecutor(max_workers=1)

    # ---- Queries ------------------------------------------------------------------

    @property
    def is_leader(self):
        """Whether this replica believes that it is the leader."""
        return self.core is not None and self.core.is_leader and not self.stopping

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
        return self.store.member_id

    @property
    def leader_address(self):
        """The client address of the last known leader, or an empty string."""
        if self.core is None or self.core.state.leader is None:
            return ""
        leader = self.core.state.leader
        for member in self.core.state.membership.members:
            if member.member_id == leader:
                return member.client_address
        return ""

    def members(self) -> tuple[ReplicaStatus, ...]:
        """Returns the members; match and last heard are known to the leader.

        ``last_heard_ms`` is -1 where it is not known.
        """
        if self.core is None:
            return ()
        return tuple(map(self._status, self.core.state.membership.members))

    def _status(self, member):
        state = self.core.state
        progress = state.progress.get(member.member_id)
        match_index, heard_ms = 0, -1
        if member.member_id == state.member_id:
            match_index, heard_ms = state.log.last.index, 0
        elif progress is not None:
            match_index = progress.match_index
            heard_ms = round((state.now - progress.heard_at) * 1000)
        return ReplicaStatus(
            replica_id=member.member_id.replica_id,
            incarnation=member.member_id.incarnation,
            client_address=member.client_address,
            peer_address=member.peer_address,
            voter=member.voter,
            leader=member.member_id == state.leader,
            match_index=match_index,
            last_heard_ms=heard_ms,
        )

    def is_replaced(self, *, old: MemberId, new: MemberId):
        """Whether ``new`` has taken the place of ``old`` completely."""
        if self.core is None:
            raise NotLeaderError
        return self.core.is_replaced_by(old=old, new=new)

    # ---- Commands -----------------------------------------------------------------

    async def start(self):
        """Opens the folder, listens and starts the task."""
        loop = asyncio.get_running_loop()
        self.store = await loop.run_in_executor(self.disk_thread, self._open_store)
        self.links = PeerLinks(
            member_id=self.store.member_id,
            process=self.store.durable.boot_nonce,
            address=self.settings.peer_address,
            clock=loop.time,
            on_frame=lambda envelope: self._put(events.Incoming(envelope=envelope)),
        )
        try:
            self.links.start()
        except BaseException:
            await self._close_store()
            raise
        logger.info(
            "replica started",
            incarnation=self.store.member_id.incarnation,
            boot=self.store.durable.boot,
        )
        if self.settings.bootstrap:
            self.founding = Founding(
                settings=self.settings, member_id=self.store.member_id
            )
            self.founding.complete()
        else:
            self._start_core(self.store.durable)
        self.task = asyncio.create_task(self._run())

    async def propose(self, command: bytes) -> object:
        """Commits a command and returns the state machine's result for it."""
        return await self._ask(events.Propose(command=command, future=self._future()))

    async def confirm_leadership(self) -> int:
        """Confirms leadership with a quorum after this call.

        Returns an index that has been applied here when this returns.
        """
        return await self._ask(events.Read(future=self._future()))

    async def change_member(self, action: MemberAction, replica: Member) -> None:
        """Takes one step of a replacement; returns once it is committed.

        Raises NotLeaderError, MemberChangeRefusedError or OutcomeUnknownError.
        """
        await self._ask(
            events.ChangeMember(action=action, member=replica, future=self._future())
        )

    async def transfer_leadership(self) -> bool:
        """Asks another voter to take over; returns whether there is one."""
        return await self._ask(events.Transfer(future=self._future()))

    async def stop(self):
        """Stops as planned: hands over, waits for proposals, closes."""
        if self.task is None:
            return
        if not self.task.done():
            self.stopping = True
            await self._hand_over()
            self._put(events.StopNow())
        await asyncio.gather(self.task, return_exceptions=True)

    async def wait_stopped(self):
        """Returns after a planned stop; raises the error of any other one."""
        await asyncio.shield(self.task)

    async def _hand_over(self):
        loop = asyncio.get_running_loop()
        limit = loop.time() + STOP_TIMEOUT_S
        while loop.time() < limit and not self.task.done():
            leads = self.core is not None and self.core.is_leader
            if not self.proposals and not leads:
                return
            if leads and not self.proposals:
                try:
                    if not await self.transfer_leadership():
                        return
                except (NotLeaderError, OutcomeUnknownError):
                    return
            await asyncio.sleep(self.settings.timing.heartbeat_s)

    def _future(self):
        return asyncio.get_running_loop().create_future()

    async def _ask(self, event):
        if self.task is None or self.task.done():
            raise NotLeaderError
        self._put(event)
        return await event.future

    def _put(self, event):
        self.inbox.append(event)
        self.wake.set()

    # ---- Task ---------------------------------------------------------------------

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
                remedy="Start without the list; the folder knows its group.",
            )
        return store

    def _start_core(self, durable):
        self.core = Core(
            durable=durable,
            timing=self.settings.timing,
            random_source=random.Random(),
            now=asyncio.get_running_loop().time(),
        )
        if durable.snapshot is not None:
            self.applied_index = durable.snapshot.index
            if durable.snapshot.data:
                self.machine.restore(snapshot=durable.snapshot.data)

    async def _run(self):
        try:
            if self.founding is not None:
                await self._found()
            while await self._step():
                pass
        except PlantainstageError as error:
            logger.error("replica stopped", error=str(error))
            raise
        finally:
            await self._close()

    async def _close(self):
        self._fail_pending(OutcomeUnknownError)
        for event in self.inbox:
            future = getattr(event, "future", None)
            if future is not None and not future.done():
                future.set_exception(NotLeaderError())
        self.inbox.clear()
        await self.links.stop()
        await self._close_store()

    async def _close_store(self):
        # A cancelled task may leave a write under way; the thread ends it first.
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.disk_thread.shutdown)
        self.store.close()

    async def _wait(self, until):
        loop = asyncio.get_running_loop()
        if not self.inbox:
            timer = loop.call_at(until, self.wake.set)
            await self.wake.wait()
            timer.cancel()
        self.wake.clear()

    async def _step(self):
        """Handles one batch of events; returns false after a planned stop."""
        await self._wait(self.core.next_timer())
        now = asyncio.get_running_loop().time()
        limit = MAX_BATCH_EVENTS if self.settings.group_commit else 1
        batch = []
        while self.inbox and len(batch) < limit:
            batch.append(self.inbox.popleft())
        if self.inbox:
            self.wake.set()
        running = True
        for event in batch:
            running = running and not isinstance(event, events.StopNow)
            self._handle(event, now)
        self.core.tick(now=now)
        self.core.flush(now=now)
        await self._carry_out()
        await self._snapshot_if_due()
        return running

    def _handle(self, event, now):
        match event:
            case events.Incoming(envelope=envelope):
                self._receive(envelope, now)
            case events.Propose(command=command, future=future):
                if self._may_propose(future):
                    self._append(
                        future,
                        lambda: self._propose_one(command, now),
                    )
            case events.ChangeMember(action=action, member=member, future=future):
                self._append(
                    future,
                    lambda: self.core.change_member(action, member, now=now),
                )
            case events.Read(future=future):
                self.read_number += 1
                try:
                    self.core.start_read(self.read_number, now=now)
                except NotLeaderError:
                    self._refuse(future)
                else:
                    self.reads[self.read_number] = future
            case events.Transfer(future=future):
                self._answer(future, lambda: self.core.transfer_leadership(now=now))

    def _may_propose(self, future):
        if self.stopping:
            self._refuse(future)
            return False
        return True

    def _propose_one(self, command, now):
        indices, term = self.core.propose([command], now=now)
        return indices[0], term

    def _refuse(self, future):
        if not future.done():
            future.set_exception(NotLeaderError(leader_address=self.leader_address))

    def _answer(self, future, call):
        try:
            result = call()
        except NotLeaderError:
            self._refuse(future)
        else:
            if not future.done():
                future.set_result(result)

    def _append(self, future, call):
        try:
            index, term = call()
        except NotLeaderError:
            self._refuse(future)
        except PlantainstageError as error:
            if not future.done():
                future.set_exception(error)
        else:
            self.proposals[index] = events.Pending(term=term, future=future)

    def _receive(self, envelope, now):
        match envelope.body:
            case FoundingOffer():
                state = self.core.state
                reply = answer_offer(
                    envelope.body,
                    snapshot=state.snapshot,
                    membership=state.membership,
                )
                if reply is not None:
                    self._send(envelope.sender, reply)
            case FoundGroup() | FoundingRefused():
                # Late answers to an offer that another reply has settled.
                return
            case message:
                self.core.receive(
                    sender=envelope.sender,
                    process=envelope.process,
                    message=message,
                    now=now,
                )

    def _send(self, receiver, message):
        address = ""
        for member in self.core.state.membership.members:
            if member.member_id == receiver:
                address = member.peer_address
        self.links.send(receiver=receiver, address=address, body=message)

    async def _carry_out(self):
        """Carries out the core's actions in the phases that it requires."""
        loop = asyncio.get_running_loop()
        deferred = []
        while batch := self.core.take_actions():
            phases = split_into_phases(batch)
            for action in phases.immediate:
                self._send(action.receiver, action.message)
            if phases.storage:
                await loop.run_in_executor(
                    self.disk_thread, self.store.persist, phases.storage
                )
                now = loop.time()
                self.core.synced(now=now)
                self.core.flush(now=now)
            deferred.extend(phases.deferred)
        for action in deferred:
            self._do(action)

    def _do(self, action):
        match action:
            case actions.Send():
                self._send(action.receiver, action.message)
            case actions.Apply(entries=entries):
                for entry in entries:
                    self._apply(entry)
            case actions.InstallSnapshot(snapshot=snapshot):
                if snapshot.data:
                    self.machine.restore(snapshot=snapshot.data)
                self.applied_index = snapshot.index
            case actions.ReadReady(request=request):
                future = self.reads.pop(request, None)
                if future is not None and not future.done():
                    future.set_result(self.applied_index)
            case actions.ReadFailed(request=request):
                # A change of leader in the same step has refused all reads.
                if request in self.reads:
                    self._refuse(self.reads.pop(request))
            case actions.LeaderChanged():
                self._leader_changed(action)
            case actions.Stop(error=error):
                raise error

    def _apply(self, entry):
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self.machine.apply(index=entry.index, command=entry.data)
        self.applied_index = entry.index
        pending = self.proposals.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term == entry.term:
            pending.future.set_result(result)
        else:
            pending.future.set_exception(OutcomeUnknownError())

    def _leader_changed(self, action):
        logger.info("leader changed", leader=str(action.leader), term=action.term)
        if action.leader != self.store.member_id:
            self._fail_pending(OutcomeUnknownError)
        if self.on_leader_change is not None:
            self.on_leader_change(action.leader, action.term)

    def _fail_pending(self, error_type):
        for pending in self.proposals.values():
            if not pending.future.done():
                pending.future.set_exception(error_type())
        self.proposals.clear()
        for future in self.reads.values():
            if not future.done():
                future.set_exception(NotLeaderError())
        self.reads.clear()

    async def _snapshot_if_due(self):
        since = self.store.since_snapshot
        due = (
            since.entries >= self.settings.snapshot_entries
            or since.bytes >= self.settings.snapshot_bytes
        )
        state = self.core.state
        if not due or state.snapshot is None:
            return
        if self.applied_index <= state.snapshot.index:
            return
        snapshot = Snapshot(
            index=self.applied_index,
            term=state.log.term_at(self.applied_index),
            membership=state.log.membership_at(self.applied_index),
            data=self.machine.take_snapshot(),
        )
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.disk_thread, self.store.save_snapshot, snapshot)
        self.core.snapshot_taken(snapshot, now=loop.time())

    # ---- Founding -----------------------------------------------------------------

    async def _found(self):
        """Founds the group, or ends when a leader adds this folder to one."""
        loop = asyncio.get_running_loop()
        founding = self.founding
        offer_at = loop.time()
        while founding.membership is None:
            if loop.time() >= offer_at:
                offer_at = loop.time() + OFFER_INTERVAL_S
                for address in founding.other_addresses():
                    self.links.send(
                        receiver=None, address=address, body=founding.offer()
                    )
            await self._wait(offer_at)
            if not self._take_founding_events(founding):
                return
        action = actions.InstallSnapshot(snapshot=initial_snapshot(founding.membership))
        await loop.run_in_executor(self.disk_thread, self.store.persist, [action])
        for address in founding.other_addresses():
            self.links.send(
                receiver=None,
                address=address,
                body=FoundGroup(membership=founding.membership),
            )
        self._start_core(replace(self.store.durable, snapshot=action.snapshot))

    def _take_founding_events(self, founding):
        """Handles what arrived; returns false when founding is over."""
        while self.inbox and founding.membership is None:
            event = self.inbox[0]
            match event:
                case events.Incoming(envelope=envelope) if isinstance(
                    envelope.body, FoundingOffer | FoundGroup | FoundingRefused
                ):
                    self.inbox.popleft()
                    founding.receive(envelope.body)
                case events.Incoming() | events.StopNow():
                    # The agreement's messages are for a folder in a group.
                    self._start_core(self.store.durable)
                    return False
                case _:
                    self.inbox.popleft()
                    self._refuse(event.future)
        return True
