"""Control replicas as tasks of this process, for benchmarks."""

import asyncio
import socket
from pathlib import Path

from plantainstage._control.replica import Replica
from plantainstage._control.replica_settings import InitialMember, ReplicaSettings

ELECTION_TIMEOUT_S = 30


def free_address():
    """Returns an ``IP:port`` on loopback that was free when probed."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def initial_members(count):
    """Returns an initial member list with free addresses."""
    return tuple(
        InitialMember(
            replica_id=f"control-{number}",
            client_address=free_address(),
            peer_address=free_address(),
        )
        for number in range(1, count + 1)
    )


async def start_replica(*, member, folder, make_machine, members=(), **settings):
    """Starts one replica; with ``members`` it bootstraps a new group."""
    replica = Replica(
        settings=ReplicaSettings(
            replica_id=member.replica_id,
            data_folder=str(Path(folder) / member.replica_id),
            client_address=member.client_address,
            peer_address=member.peer_address,
            bootstrap=members,
            **settings,
        ),
        machine=make_machine(),
    )
    await replica.start()
    return replica


async def wait_for_leader(replicas):
    """Waits until a replica is the leader and returns it."""
    async with asyncio.timeout(ELECTION_TIMEOUT_S):
        while True:
            for replica in replicas:
                if replica.is_leader:
                    return replica
            await asyncio.sleep(0.001)
