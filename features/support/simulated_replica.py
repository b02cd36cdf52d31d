"""A simulated replica: the Raft core and the real Store on a simulated disk."""

import random
from dataclasses import dataclass, field

import msgspec
import xxhash

from plantainstage._agreement import actions
from plantainstage._agreement.core import Core
from plantainstage._agreement.phases import split_into_phases
from plantainstage._agreement.state import Timing
from plantainstage._errors import (
    NotLeaderError,
    RolledBackFolderError,
    StorageFailedError,
)
from plantainstage._messages.agreement import (
    Acknowledgement,
    EntryKind,
    MemberId,
    Snapshot,
)
from plantainstage._storage.store import Store
from support.simulated_disk import SimulatedCrash, SimulatedDisk

FOLDER = "data"
TIMING = Timing(
    heartbeat_s=0.05,
    election_timeout_s=0.3,
    max_append_bytes=400,
    max_in_flight_entries=32,
    snapshot_chunk_bytes=100,
    trailing_entries=20,
)
SNAPSHOT_PADDING = b"p" * 250  # makes a snapshot need several chunks


class DigestMachine:
    """A state machine whose state is a digest of all applied commands."""

    def __init__(self):
        self.digest = 0

    def apply(self, *, index, command):
        """Returns a result that depends on all commands applied so far."""
        data = self.digest.to_bytes(8, "big") + command
        self.digest = xxhash.xxh3_64_intdigest(data)
        return (index, self.digest)

    def take_snapshot(self):
        return msgspec.msgpack.encode((self.digest, SNAPSHOT_PADDING))

    def restore(self, *, snapshot):
        self.digest = msgspec.msgpack.decode(snapshot)[0] if snapshot else 0


@dataclass(kw_only=True)
class ObservedState:
    """The votes and acknowledgements of a folder that peers have received.

    A replica whose folder lacks any of them must not join.
    """

    position: Acknowledgement = Acknowledgement()
    term: int = 0

    def record(self, reply):
        """Records an accepted AppendReply that the leader has received."""
        position = Acknowledgement(term=reply.term, index=reply.index)
        self.position = max(self.position, position)
        self.term = max(self.term, reply.term)


@dataclass(kw_only=True)
class FolderCopy:
    """A copy of a folder, with its state and the time of the copy."""

    image: object
    boot: int
    time: float
    position: Acknowledgement
    term: int


@dataclass(kw_only=True)
class SimulatedReplica:
    """A replica at a fixed address, which is also its replica id.

    ``send`` and ``checks`` are shared by the group.
    """

    address: str
    random: random.Random
    send: object
    checks: object
    clock_offset: float = 0.0
    disk: SimulatedDisk = None
    member_id: MemberId | None = None
    store: Store | None = None
    core: Core | None = None
    machine: DigestMachine = None
    process: str = ""
    up: bool = False
    stop_reason: str = ""
    stop_error: Exception | None = None
    frozen_until: float = 0.0
    crashed_at: float = float("-inf")
    timer_generation: int = 0
    applied_index: int = 0
    snapshot_every: int = 60
    observed: ObservedState = field(default_factory=ObservedState)
    copies: list[FolderCopy] = field(default_factory=list)
    rolled_back_to: FolderCopy | None = None
    was_joined: bool = False
    proposals: dict = field(default_factory=dict)
    reads: dict = field(default_factory=dict)
    answered: int = 0

    def new_folder(self):
        """Replaces the folder by an empty one, as after the loss of the disk."""
        self.disk = SimulatedDisk(random_source=self.random)
        self.observed = ObservedState()
        self.copies = []
        self.rolled_back_to = None
        self.member_id = None

    def new_token(self):
        return f"{self.random.getrandbits(64):016x}"

    def _open_store(self):
        return Store(
            path=FOLDER,
            replica_id=self.address,
            files=self.disk,
            new_token=self.new_token,
        )

    def start(self, now, bootstrap_snapshot=None):
        """Starts the process, which may crash during the start."""
        try:
            self.store = self._open_store()
        except SimulatedCrash:
            self.crash(now)
            return
        if self.member_id is None:
            self.member_id = self.store.member_id
            self.checks.add_folder(self.member_id)
        if bootstrap_snapshot is not None:
            self.store.persist([actions.InstallSnapshot(snapshot=bootstrap_snapshot)])
            self.store.close()
            self.store = self._open_store()
        durable = self.store.durable
        self.process = durable.boot_nonce
        self.machine = DigestMachine()
        self.applied_index = durable.snapshot.index if durable.snapshot else 0
        self.was_joined = False
        self.up = True
        self.core = Core(
            durable=durable,
            timing=TIMING,
            random_source=self.random,
            now=self.local_time(now),
        )
        if durable.snapshot:
            self.machine.restore(snapshot=durable.snapshot.data)
            self.checks.check_restored(
                self.core, self.applied_index, self.machine.digest
            )

    def local_time(self, now):
        """Returns the time of the replica's own clock."""
        return now + self.clock_offset

    def crash(self, now, reason=""):
        """Stops immediately and loses unsynced data."""
        self.disk.crash()
        self.core = None
        self.store = None
        self.up = False
        self.stop_reason = reason
        self.crashed_at = now
        self.proposals = {}
        self.reads = {}

    def step(self, now, event):
        """Handles one event and carries out the resulting actions."""
        local = self.local_time(now)
        try:
            event(self.core, local)
            self.core.tick(now=local)
            self.core.flush(now=local)
            self._carry_out(local)
            self._snapshot_if_due(local)
        except SimulatedCrash:
            self.crash(now)
        except StorageFailedError:
            self.crash(now, "storage failed")
        except RolledBackFolderError as error:
            self.stop_error = error
            self.crash(now, "rolled back")

    def _carry_out(self, local):
        deferred = []
        while batch := self.core.take_actions():
            for action in batch:
                self.checks.check_action(self.core, action)
            phases = split_into_phases(batch)
            for action in phases.immediate:
                self._carry_out_action(action)
            if phases.storage:
                self.store.persist(phases.storage, self.core.peer_records())
                self.core.synced(now=local)
                self.core.flush(now=local)
            deferred.extend(phases.deferred)
        self.checks.check_leader(self.core)
        self._check_join()
        for action in deferred:
            self._carry_out_action(action)

    def _check_join(self):
        if not self.core.state.joined or self.was_joined:
            return
        self.was_joined = True
        copy = self.rolled_back_to
        if copy is not None:
            lost = (
                self.observed.position > copy.position or self.observed.term > copy.term
            )
            self.checks.check_rejoined(self.core, lost)
            self.rolled_back_to = None

    def _carry_out_action(self, action):
        match action:
            case actions.Send():
                self.checks.check_sent(self.core, action)
                self.send(self, action.receiver, action.message)
            case actions.Apply(entries=entries):
                for entry in entries:
                    self._apply(entry)
            case actions.InstallSnapshot(snapshot=snapshot):
                self.machine.restore(snapshot=snapshot.data)
                self.applied_index = snapshot.index
                self.checks.check_restored(
                    self.core, snapshot.index, self.machine.digest
                )
            case actions.ReadReady(request=request, index=index):
                self.checks.check_read(self.core, index, self.reads.pop(request))
                assert self.applied_index >= index
            case actions.ReadFailed(request=request):
                self.reads.pop(request)
            case actions.Stop(error=error):
                raise error

    def _apply(self, entry):
        assert entry.index == self.applied_index + 1
        if entry.kind is EntryKind.COMMAND:
            self.machine.apply(index=entry.index, command=entry.data)
        self.applied_index = entry.index
        self.checks.check_applied(self.core, entry, self.machine.digest)
        if self.proposals.pop(entry.index, None) == entry.term:
            self.answered += 1

    def _snapshot_if_due(self, local):
        state = self.core.state
        if self.store.since_snapshot.entries < self.snapshot_every:
            return
        if state.snapshot is None or self.applied_index <= state.snapshot.index:
            return
        snapshot = Snapshot(
            index=self.applied_index,
            term=state.log.term_at(self.applied_index),
            membership=state.log.membership_at(self.applied_index),
            data=self.machine.take_snapshot(),
        )
        self.store.save_snapshot(snapshot)
        self.core.snapshot_taken(snapshot, now=local)

    # ---- Client requests ------------------------------------------------------

    def propose(self, now, commands):
        """Proposes commands; has no effect unless the replica leads."""

        def event(core, local):
            try:
                indices, term = core.propose(commands, now=local)
            except NotLeaderError:
                return
            for index in indices:
                self.proposals[index] = term

        self.step(now, event)

    def read(self, now, number):
        """Starts a read, which must see all entries applied anywhere so far."""
        needed = self.checks.highest_committed

        def event(core, local):
            try:
                core.start_read(number, now=local)
            except NotLeaderError:
                return
            self.reads[number] = needed

        self.step(now, event)

    def take_copy(self, now):
        """Takes a copy of the folder, like a backup."""
        state = self.core.state
        image = self.disk.image()
        probe = SimulatedDisk(random_source=random.Random(0))
        probe.restore(image)
        store = Store(
            path=FOLDER, replica_id=self.address, files=probe, new_token=self.new_token
        )
        durable = store.durable
        core = Core(
            durable=durable, timing=TIMING, random_source=random.Random(0), now=0.0
        )
        copy = FolderCopy(
            image=image,
            boot=self.store.folder.identity.boot,
            time=now,
            position=core.state.start_acknowledgement,
            term=durable.term,
        )
        assert durable.member_id == state.member_id
        self.copies = [*self.copies[-3:], copy]
