"""Runs the log replica of a control replica of routed requests."""

import asyncio
import os
from collections.abc import Callable

import pynng

from plantainstage._agreement.state import Timing
from plantainstage._control.replica import Replica
from plantainstage._control.replica_settings import InitialMember, ReplicaSettings
from plantainstage._errors import BootstrapRefusedError, PlantainstageError
from plantainstage._registry.group_limits import GroupLimits
from plantainstage._registry.group_maintainer import GroupMaintainer
from plantainstage._registry.machine import ConfigurationMachine
from plantainstage._registry.peers import Peer
from plantainstage._supervision import run_supervised

LOG_FOLDER = "log"
# Short, since all replicas of a group may start together while callers wait.
START_ELECTION_S = 0.08
# Longer than the default: the heartbeats of an idle group cross data centres, and the
# election timeout still covers three of them.
HEARTBEAT_S = 0.14
# Delay before a restart of a replica that stopped for a full or failed disk.
REPLICA_RETRY_S = 0.5


class GroupReplica:
    """Runs a replica and the maintainer of its group, and restarts them on failure.

    ``replica`` and ``maintainer`` are None while none runs. ``addresses()`` returns
    the sync addresses of all known replicas. ``bootstrap_peers`` names the replicas
    that bootstrap the group, for its very first start only.
    """

    def __init__(
        self,
        *,
        own: Peer,
        data_folder: str,
        bootstrap_peers: tuple[Peer, ...],
        machine: ConfigurationMachine,
        addresses: Callable[[], tuple[str, ...]],
        sync_address_of: Callable[[str], str],
        limits: GroupLimits,
        events,
    ):
        self.own = own
        self.data_folder = data_folder
        self.bootstrap_peers = bootstrap_peers
        self.machine = machine
        self.addresses = addresses
        self.sync_address_of = sync_address_of
        self.limits = limits
        self.events = events
        self.replica = None
        self.maintainer = None

    async def run(self):
        """Keeps a replica running until it is stopped on purpose."""
        while True:
            try:
                await self._run_once()
                return
            except (PlantainstageError, pynng.NNGException) as error:
                self.events.log_event("replica_stopped", reason=str(error)[:500])
            finally:
                self.replica = self.maintainer = None
            await asyncio.sleep(REPLICA_RETRY_S)

    async def stop(self):
        """Leaves the group if it is large enough, then stops the replica."""
        replica = self.replica
        if replica is None:
            return
        if replica.core is not None:
            await self.maintainer.leave()
        await replica.stop()

    async def _run_once(self):
        try:
            replica = await self._start(self.bootstrap_peers)
        except BootstrapRefusedError:
            replica = await self._start(())
        self.maintainer = GroupMaintainer(
            replica=replica,
            own_address=self.own.sync_address,
            addresses=self.addresses,
            sync_address_of=self.sync_address_of,
            limits=self.limits,
            events=self.events,
        )
        self.replica = replica
        maintenance = asyncio.create_task(
            run_supervised(self.maintainer.run, task="group", events=self.events)
        )
        try:
            await replica.wait_stopped()
        finally:
            maintenance.cancel()

    async def _start(self, bootstrap_peers):
        replica = Replica(
            settings=ReplicaSettings(
                replica_id=self.own.client_address,
                data_folder=os.path.join(self.data_folder, LOG_FOLDER),
                client_address=self.own.client_address,
                peer_address=self.own.peer_address,
                bootstrap=tuple(
                    InitialMember(
                        replica_id=peer.client_address,
                        client_address=peer.client_address,
                        peer_address=peer.peer_address,
                    )
                    for peer in bootstrap_peers
                ),
                timing=Timing(
                    heartbeat_s=HEARTBEAT_S, start_election_s=START_ELECTION_S
                ),
            ),
            machine=self.machine,
            on_leader_change=self._leader_changed,
        )
        await replica.start()
        return replica

    def _leader_changed(self, leader, term):
        self.events.log_event("leader", leader=str(leader) if leader else "", term=term)
