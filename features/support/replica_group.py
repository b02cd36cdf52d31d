"""Control replicas in one event loop, with real files and real links."""

import asyncio
import shutil
import tempfile
import threading
from pathlib import Path

from plantainstage._control.replica import Replica
from plantainstage._control.replica_settings import InitialMember, ReplicaSettings
from plantainstage._control.snapshot_policy import SnapshotPolicy
from plantainstage._messages.agreement import Member
from support.faulty_files import FaultyFiles
from support.processes import free_address, wait_until

CALL_TIMEOUT_S = 60


class ListMachine:
    """A state machine that keeps all commands; each result is their count so far."""

    def __init__(self):
        self.commands = []

    def apply(self, *, index, command):
        self.commands.append(command)
        return len(self.commands)

    def take_snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, *, snapshot):
        self.commands = snapshot.split(b"\n")


class ReplicaGroup:
    """Starts and stops replicas by id; the event loop has its own thread."""

    def __init__(self, resources):
        self.folder = Path(
            resources.enter_context(tempfile.TemporaryDirectory(prefix="group-"))
        )
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        resources.callback(self.close)
        self.initial = {}
        self.replicas = {}
        self.machines = {}
        self.files = {}

    def run(self, coroutine):
        """Runs a coroutine in the event loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(CALL_TIMEOUT_S)

    def new_member(self, name):
        """Chooses the addresses of a new replica."""
        self.initial[name] = InitialMember(
            replica_id=name,
            client_address=free_address(),
            peer_address=free_address(),
        )

    def path(self, name):
        """Returns the data folder of a replica."""
        return self.folder / name

    def start(self, name, *, bootstrap=False, snapshot_entries=50):
        """Starts a replica; raises the error of its start."""
        self.machines[name] = ListMachine()
        self.files[name] = FaultyFiles()
        member = self.initial[name]
        settings = ReplicaSettings(
            replica_id=name,
            data_folder=str(self.path(name)),
            client_address=member.client_address,
            peer_address=member.peer_address,
            bootstrap=tuple(self.initial.values()) if bootstrap else (),
            snapshots=SnapshotPolicy(entries=snapshot_entries, interval_s=0.0),
        )

        async def start():
            replica = Replica(
                settings=settings,
                machine=self.machines[name],
                files=self.files[name],
            )
            await replica.start()
            return replica

        self.replicas[name] = self.run(start())
        return self.replicas[name]

    def start_all(self, names, *, bootstrap=False):
        for name in names:
            if bootstrap:
                self.new_member(name)
        for name in names:
            self.start(name, bootstrap=bootstrap)

    def stop(self, name):
        """Stops a replica as planned."""
        self.run(self.replicas.pop(name).stop())

    def kill(self, name):
        """Cancels a replica's task without a planned stop."""

        async def end():
            task = self.replicas.pop(name).task
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.run(end())

    def lose_folder(self, name):
        """Removes the data folder of a stopped replica."""
        shutil.rmtree(self.path(name))

    def copy_folder(self, name, copy):
        """Copies the data folder of a replica."""
        shutil.copytree(self.path(name), self.folder / copy)

    def restore_folder(self, name, copy):
        """Replaces the data folder by an earlier copy."""
        self.lose_folder(name)
        shutil.copytree(self.folder / copy, self.path(name))

    def leader(self):
        """Waits for a leader and returns it."""
        return wait_until(
            lambda: next((r for r in self.replicas.values() if r.is_leader), None),
            what="one replica leads",
        )

    def propose(self, command):
        """Commits a command through the current leader."""
        return self.run(self.leader().propose(command))

    def change(self, action, name):
        """Executes a step of a member change for a running replica."""
        member = self.initial[name]
        replica = Member(
            member_id=self.replicas[name].member_id,
            client_address=member.client_address,
            peer_address=member.peer_address,
        )
        self.run(self.leader().change_member(action, replica))

    def stop_error(self, name):
        """Waits until a replica has stopped on its own; returns its error."""
        replica = self.replicas.pop(name)
        try:
            self.run(replica.wait_stopped())
        except Exception as error:
            return error
        return None

    def close(self):
        for name in list(self.replicas):
            self.stop(name)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
