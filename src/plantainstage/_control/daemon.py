"""Starts, runs and stops one control replica."""

import asyncio

import pynng
from loguru import logger

from plantainstage._control.memory_log import MemoryLog
from plantainstage._control.metrics import make_counter
from plantainstage._control.reconciler import Reconciler
from plantainstage._control.replica import Replica
from plantainstage._control.replica_settings import InitialMember, ReplicaSettings
from plantainstage._control.service import ControlService
from plantainstage._errors import BootstrapRefusedError, ListenError
from plantainstage._membership.machine import MembershipMachine
from plantainstage._transport.rpc import RpcServer

FINISH_TIMEOUT_S = 5.0
MEBIBYTE = 1024 * 1024


class ControlDaemon:
    """One control replica with its sockets and tasks.

    ``settings`` is a ControlSettings. ``run`` serves until ``stop_requested``
    ends, then transfers leadership and finishes pending requests.
    """

    def __init__(self, *, settings):
        self.settings = settings
        self.machine = MembershipMachine()
        self.count = make_counter(
            address=settings.statsd_address, replica_id=settings.replica_id
        )

    async def run(self, stop_requested):
        """Serves until the awaitable ends; raises the error of a failed replica."""
        if self.settings.in_memory:
            logger.warning(
                "replica state is kept in memory only", remedy="give --data-folder"
            )
            log = MemoryLog(machine=self.machine, address=self.settings.listen)
            await self._serve(log, [stop_requested])
            return
        replica = await self._start_replica()
        try:
            await self._serve(replica, [stop_requested, replica.wait_stopped()])
        finally:
            await replica.stop()
        await replica.wait_stopped()

    async def _start_replica(self):
        """Starts the replica; ignores the bootstrap list if the folder has state.

        Raises StorageError or ListenError.
        """
        bootstrap = self._initial_members() if self.settings.bootstrap else ()
        try:
            return await self._start_with(bootstrap)
        except BootstrapRefusedError:
            logger.info("data folder belongs to a group; --bootstrap has no effect")
            return await self._start_with(())

    async def _start_with(self, bootstrap):
        replica = Replica(
            settings=ReplicaSettings(
                replica_id=self.settings.replica_id,
                data_folder=self.settings.data_folder,
                client_address=self.settings.listen,
                peer_address=self.settings.peer_listen,
                bootstrap=bootstrap,
            ),
            machine=self.machine,
        )
        try:
            await replica.start()
        except pynng.NNGException as error:
            raise ListenError(
                flag="--peer-listen",
                address=self.settings.peer_listen,
                detail=str(error),
            ) from error
        return replica

    def _initial_members(self):
        own = InitialMember(
            replica_id=self.settings.replica_id,
            client_address=self.settings.listen,
            peer_address=self.settings.peer_listen,
        )
        others = (
            InitialMember(
                replica_id=peer.replica_id,
                client_address=peer.client_address,
                peer_address=peer.peer_address,
            )
            for peer in self.settings.peers
        )
        return (own, *others)

    async def _serve(self, log, stop_conditions):
        """Serves on the log until one of the awaitables ends, then stops."""
        service = ControlService(
            log=log,
            machine=self.machine,
            count=self.count,
            keep_bytes=self.settings.kept_answers_mib * MEBIBYTE,
        )
        server = RpcServer(address=self.settings.listen, handler=service.handle)
        waiting = [asyncio.ensure_future(condition) for condition in stop_conditions]
        try:
            start_listening(server)
            waiting.append(
                asyncio.create_task(
                    Reconciler(control_context=service.control_context).run()
                )
            )
            logger.info("listening", address=self.settings.listen)
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            failures = await _end_tasks(waiting)
        if isinstance(log, Replica):
            await log.stop()
        await server.wait_idle(timeout_s=FINISH_TIMEOUT_S)
        await server.stop()
        logger.info("stopped")
        if failures:
            raise failures[0]


async def _end_tasks(tasks):
    """Cancels the tasks that still run; returns the errors of the others."""
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    return [result for result in results if isinstance(result, Exception)]


def start_listening(server):
    """Starts the server for entry hosts and operators; raises ListenError."""
    try:
        server.start()
    except pynng.NNGException as error:
        raise ListenError(
            flag="--listen", address=server.address, detail=str(error)
        ) from error
