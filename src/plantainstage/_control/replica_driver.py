"""The task that connects the agreement core to the disk and the peers."""

import asyncio
import random
from collections import deque
from dataclasses import replace

from loguru import logger

from plantainstage._agreement import actions
from plantainstage._agreement.core import Core
from plantainstage._agreement.phases import split_into_phases
from plantainstage._control import replica_events as events
from plantainstage._control.founding import (
    OFFER_INTERVAL_S,
    answer_offer,
    initial_snapshot,
)
from plantainstage._control.pending_requests import PendingRequests
from plantainstage._errors import (
    InvariantViolation,
    NotLeaderError,
    OutcomeUnknownError,
    PlantainstageError,
    check_invariant,
)
from plantainstage._messages.agreement import (
    EntryKind,
    FoundGroup,
    FoundingOffer,
    FoundingRefused,
    Snapshot,
)

MAX_BATCH_EVENTS = 1024


class ReplicaDriver:
    """Passes events from an inbox to the core and executes its actions.

    All events that arrived during a sync are handled together, so that one sync
    serves all waiting proposals (group commit). ``disk_thread`` runs one storage
    call at a time, so that the event loop never blocks on the disk.
    """

    def __init__(
        self, *, settings, machine, store, links, disk_thread, on_leader_change
    ):
        self.settings = settings
        self.machine = machine
        self.store = store
        self.links = links
        self.disk_thread = disk_thread
        self.on_leader_change = on_leader_change
        self.core = None
        self.applied_index = 0
        self.snapshot_at = float("-inf")  # event loop time of the last snapshot
        self.inbox = deque()
        self.wake = asyncio.Event()
        self.pending = PendingRequests()

    def put(self, event):
        """Adds an event to the inbox and wakes the task."""
        self.inbox.append(event)
        self.wake.set()

    def leader_address(self):
        """Returns the client address of the known leader, or an empty string."""
        state = self.core.state
        for member in state.membership.members:
            if member.member_id == state.leader:
                return member.client_address
        return ""

    def start_core(self, durable):
        """Creates the core and restores the machine from the state of the folder."""
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

    async def run(self, founding):
        """Runs until a planned stop; raises the error of an unplanned one."""
        try:
            if founding is not None:
                await self._found_group(founding)
            while await self._step():
                pass
        except PlantainstageError as error:
            logger.error("replica stopped", error=str(error))
            raise
        finally:
            await self.close()

    async def close(self):
        """Fails pending requests and closes the links and the files."""
        self.pending.fail_all(OutcomeUnknownError)
        for event in self.inbox:
            match event:
                case events.PeerFrame() | events.StopRequested():
                    continue
                case _:
                    self._refuse(event.future)
        self.inbox.clear()
        await self.links.stop()
        # A cancelled task may leave a write in progress; the thread completes it.
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
            running = running and not isinstance(event, events.StopRequested)
            self._handle(event, now)
        self.core.tick(now=now)
        self.core.flush(now=now)
        await self._execute_actions()
        await self._snapshot_if_due()
        return running

    def _handle(self, event, now):
        match event:
            case events.PeerFrame(envelope=envelope):
                self._receive(envelope, now)
            case events.StopRequested():
                return
            case _:
                self._handle_request(event, now)

    def _handle_request(self, event, now):
        """Passes a request to the core; a refusal fails its future."""
        core = self.core
        try:
            match event:
                case events.Propose(command=command, future=future):
                    indices, term = core.propose([command], now=now)
                    self.pending.add_proposal(indices[0], term, future)
                case events.ChangeMember(action=action, member=member, future=future):
                    index, term = core.change_member(action, member, now=now)
                    self.pending.add_proposal(index, term, future)
                case events.Read(future=future):
                    number = self.pending.next_read_number()
                    core.start_read(number, now=now)
                    self.pending.add_read(number, future)
                case events.TransferLeadership(future=future):
                    has_target = core.transfer_leadership(now=now)
                    self.pending.answer(future, has_target)
        except NotLeaderError:
            self._refuse(event.future)
        except InvariantViolation:
            raise
        except PlantainstageError as error:
            self.pending.fail(event.future, error)

    def _refuse(self, future):
        address = self.leader_address() if self.core is not None else ""
        self.pending.fail(future, NotLeaderError(leader_address=address))

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
                # Late replies to an offer; the bootstrap is already over.
                return
            case message:
                self.core.receive(
                    sender=envelope.sender,
                    process=envelope.process,
                    message=message,
                    now=now,
                )

    def _send(self, receiver, message):
        state = self.core.state
        # A joining replica may ask members that its log does not contain.
        known = (*state.membership.members, *state.boot_members.members)
        addresses = (m.peer_address for m in known if m.member_id == receiver)
        address = next(addresses, "")
        self.links.send(receiver=receiver, address=address, body=message)

    async def _execute_actions(self):
        """Executes the core's actions in the phases that it requires."""
        loop = asyncio.get_running_loop()
        deferred = []
        while batch := self.core.take_actions():
            phases = split_into_phases(batch)
            for action in phases.immediate:
                self._send(action.receiver, action.message)
            if phases.storage:
                await loop.run_in_executor(
                    self.disk_thread,
                    self.store.persist,
                    phases.storage,
                    self.core.peer_records(),
                )
                now = loop.time()
                self.core.synced(now=now)
                self.core.flush(now=now)
            deferred.extend(phases.deferred)
        for action in deferred:
            self._execute(action)

    def _execute(self, action):
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
            case actions.ReadReady(request=request, index=index):
                check_invariant(
                    self.applied_index >= index,
                    invariant="a confirmed read sees all committed entries",
                    detail=f"applied {self.applied_index}, committed {index}",
                )
                self.pending.read_ready(request, self.applied_index)
            case actions.ReadFailed(request=request):
                self.pending.read_failed(request, self.leader_address())
            case actions.LeaderChanged():
                self._leader_changed(action)
            case actions.Stop(error=error):
                # The core does not know the path of the data folder.
                error.path = self.settings.data_folder
                raise error

    def _apply(self, entry):
        check_invariant(
            entry.index == self.applied_index + 1,
            invariant="entries are applied in order, without a gap",
            detail=f"entry {entry.index} after {self.applied_index}",
        )
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self.machine.apply(index=entry.index, command=entry.data)
        self.applied_index = entry.index
        self.pending.entry_applied(entry, result)

    def _leader_changed(self, action):
        logger.info("leader changed", leader=str(action.leader), term=action.term)
        if action.leader != self.store.member_id:
            self.pending.fail_all(OutcomeUnknownError)
        if self.on_leader_change is not None:
            self.on_leader_change(action.leader, action.term)

    async def _snapshot_if_due(self):
        state = self.core.state
        if state.snapshot is None or self.applied_index <= state.snapshot.index:
            return
        loop = asyncio.get_running_loop()
        since = self.store.since_snapshot
        if not self.settings.snapshots.is_due(
            log_entries=since.entries,
            log_bytes=since.bytes,
            snapshot_bytes=len(state.snapshot.data),
            age_s=loop.time() - self.snapshot_at,
        ):
            return
        snapshot = Snapshot(
            index=self.applied_index,
            term=state.log.term_at(self.applied_index),
            membership=state.log.membership_at(self.applied_index),
            data=self.machine.take_snapshot(),
        )
        await loop.run_in_executor(self.disk_thread, self.store.save_snapshot, snapshot)
        self.snapshot_at = loop.time()
        self.core.snapshot_taken(snapshot, now=self.snapshot_at)

    # ---- Bootstrap ----------------------------------------------------------------

    async def _found_group(self, founding):
        """Founds the group; returns early if an existing group adds this folder."""
        loop = asyncio.get_running_loop()
        offer_at = loop.time()
        while founding.membership is None:
            if loop.time() >= offer_at:
                offer_at = loop.time() + OFFER_INTERVAL_S
                for address in founding.other_addresses():
                    self.links.send(
                        receiver=None, address=address, body=founding.offer()
                    )
            await self._wait(offer_at)
            if not self._handle_founding_events(founding):
                return
        action = actions.InstallSnapshot(snapshot=initial_snapshot(founding.membership))
        await loop.run_in_executor(self.disk_thread, self.store.persist, [action])
        for address in founding.other_addresses():
            self.links.send(
                receiver=None,
                address=address,
                body=FoundGroup(membership=founding.membership),
            )
        self.start_core(replace(self.store.durable, snapshot=action.snapshot))

    def _handle_founding_events(self, founding):
        """Handles queued events; returns false when the bootstrap is abandoned."""
        while self.inbox and founding.membership is None:
            event = self.inbox[0]
            match event:
                case events.PeerFrame(envelope=envelope) if isinstance(
                    envelope.body, FoundingOffer | FoundGroup | FoundingRefused
                ):
                    self.inbox.popleft()
                    founding.receive(envelope.body)
                case events.PeerFrame() | events.StopRequested():
                    # Agreement messages are sent only to folders in a group.
                    self.start_core(self.store.durable)
                    return False
                case _:
                    self.inbox.popleft()
                    self._refuse(event.future)
        return True
