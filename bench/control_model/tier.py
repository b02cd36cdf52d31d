"""Control replicas, entry hosts and an operator of one run, with what they saw."""

import asyncio
import contextvars
import itertools
import random
import shutil
import tempfile
from collections import Counter
from contextlib import ExitStack
from unittest import mock

import msgspec

from plantainstage._errors import NotLeaderError, OutcomeUnknownError
from plantainstage._gateway.control_link import ControlLink
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.router import Router
from plantainstage._registry import daemon as daemon_module
from plantainstage._registry import http_api
from plantainstage._registry.daemon import RegistryDaemon, RegistrySettings
from plantainstage._registry.group_limits import GroupLimits
from plantainstage._registry.peers import Peer
from plantainstage._serving.configuration import decode_configuration
from plantainstage._serving.retry_budget import RetryBudgetLimits

from .machines import (
    RUNNING,
    Machine,
    ModelClient,
    ModelLinks,
    ModelNetwork,
    ModelServer,
    Start,
)

DATA_CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4")
REPLICA_PLACES = ("dc-1", "dc-2", "dc-3", "dc-1", "dc-4")
SEEDS = 3
HOSTS_EACH = 3
LIMITS = GroupLimits(losses=2, catch_up_s=6.0)
OPERATOR_TRIES = 40
OPERATOR_TIMEOUT_S = 0.9
OPERATOR_PAUSE_S = 0.2
CLOSE_S = 0.1


class RecordedEvents:
    """Stands in for EventLog, and keeps the events of one machine."""

    dropped_total = 0

    def __init__(self):
        self.lines = []  # (time, event, fields)
        self.counts = Counter()

    def log_event(self, event, **fields):
        """Records an event."""
        self.counts[event] += 1
        self.lines.append((asyncio.get_running_loop().time(), event, fields))

    log_ordinary = log_rare = log_threadsafe = log_event

    def flush(self):
        """Does nothing: the events are kept."""


class ModelReplica:
    """The machine of a control replica, which keeps its folder over its starts."""

    def __init__(self, *, number: int, tier):
        self.tier = tier
        place = REPLICA_PLACES[number]
        self.machine = Machine(name=f"replica-{number}", data_centre=place)
        self.peer = Peer(
            client_address=f"{number}:client",
            peer_address=f"{number}:peer",
            sync_address=f"{number}:sync",
        )
        self.folder = tempfile.mkdtemp()
        self.events = RecordedEvents()
        self.start_of_machine = None
        self.daemon = None
        self.context = None

    def start(self, *, founds=False):
        """Starts the process."""
        self.start_of_machine = Start(machine=self.machine)
        self.context = contextvars.copy_context()
        self.context.run(RUNNING.set, self.start_of_machine)
        self.context.run(self._start, founds)

    def _start(self, founds):
        seeds = tuple(replica.peer for replica in self.tier.replicas[:SEEDS])
        settings = RegistrySettings(
            host_id=self.machine.name,
            own=self.peer,
            data_folder=self.folder,
            data_centre=self.machine.data_centre,
            peers=lambda: seeds,
            sync_address_of=lambda address: address.replace("client", "sync"),
            founders=seeds if founds and self.peer in seeds else (),
            limits=LIMITS,
        )
        self.daemon = RegistryDaemon(settings=settings, events=self.events)
        asyncio.get_running_loop().create_task(self.daemon.run(asyncio.Event()))

    def kill(self, *, loses_disk=False):
        """Ends the process; with ``loses_disk`` its folder is empty afterwards."""
        self.start_of_machine.kill()
        self.daemon = None
        if loses_disk:
            self.folder = tempfile.mkdtemp()

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.start_of_machine is not None and self.start_of_machine.is_up

    async def put(self, version, document):
        """Passes a change to the daemon, as its HTTP interface does."""
        work = self.context.run(
            asyncio.create_task, self.daemon.put_configuration(version, document)
        )
        # A caller that has given up does not learn how the change ended.
        work.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.wait([work], timeout=OPERATOR_TIMEOUT_S)
        if not work.done() or work.cancelled():
            # The process was killed meanwhile, or is late.
            raise TimeoutError
        return work.result()


class ModelHost:
    """An entry host with its real link to control, without callers or searchers."""

    def __init__(self, *, number: int, data_centre: str, tier):
        self.tier = tier
        name = f"host-{data_centre}-{number}"
        self.machine = Machine(name=name, data_centre=data_centre)
        self.events = RecordedEvents()
        self.start_of_machine = None
        self.router = None

    def start(self):
        """Starts the process, which knows no configuration."""
        self.start_of_machine = Start(machine=self.machine)
        context = contextvars.copy_context()
        context.run(RUNNING.set, self.start_of_machine)
        context.run(self._start)

    def _start(self):
        self.router = Router(
            names=HeaderNames(),
            host_id=self.machine.name,
            data_centre=self.machine.data_centre,
            budget_limits=RetryBudgetLimits(),
            events=self.events,
        )
        seeds = tuple(replica.peer.sync_address for replica in self.tier.replicas[:3])
        link = ControlLink(
            host_id=self.machine.name,
            router=self.router,
            addresses=lambda: seeds,
            decode=decode_configuration,
            on_limits=lambda limits: None,
            events=self.events,
        )
        asyncio.get_running_loop().create_task(link.run())

    def kill(self):
        """Ends the process."""
        self.start_of_machine.kill()

    @property
    def version(self):
        """The version in force, or -1."""
        return self.router.version


class ModelTier:
    """All machines of one run; an asynchronous context manager that ends them."""

    def __init__(self, *, seed: int):
        self.random = random.Random(seed)
        self.network = ModelNetwork()
        self.replicas = [ModelReplica(number=n, tier=self) for n in range(5)]
        self.hosts = [
            ModelHost(number=n, data_centre=place, tier=self)
            for place in DATA_CENTRES
            for n in range(HOSTS_EACH)
        ]
        self.acknowledged = []  # (time, version), versions rising
        self.versions = itertools.count(1)
        self.resources = ExitStack()

    async def __aenter__(self):
        for target, stand_in in (
            ("plantainstage._registry.daemon.RpcServer", ModelServer),
            ("plantainstage._registry.group_maintainer.RpcClient", ModelClient),
            ("plantainstage._registry.announcements.RpcClient", ModelClient),
            ("plantainstage._transport.patient_client.RpcClient", ModelClient),
            ("plantainstage._control.replica.PeerLinks", ModelLinks),
        ):
            self.resources.enter_context(mock.patch(target, stand_in))
        for stand_in in (ModelServer, ModelClient, ModelLinks):
            patch = mock.patch.object(stand_in, "network", self.network)
            self.resources.enter_context(patch)
        # The model kills processes only between two calls of a disk.
        for sync in ("os.fsync", "os.fdatasync"):
            self.resources.enter_context(mock.patch(sync))
        # The election timeouts of the replicas are drawn by the seed, too.
        drawn = mock.Mock(Random=lambda: random.Random(self.random.random()))
        patch = mock.patch("plantainstage._control.replica_driver.random", drawn)
        self.resources.enter_context(patch)
        self.resources.enter_context(mock.patch.object(daemon_module, "listen_on"))
        self.resources.enter_context(mock.patch.object(http_api, "make_server"))
        return self

    async def __aexit__(self, *_):
        for machine in (*self.replicas, *self.hosts):
            if machine.start_of_machine is not None:
                machine.kill()
        # The tasks close their files before they end.
        await asyncio.sleep(CLOSE_S)
        self.resources.close()
        for replica in self.replicas:
            shutil.rmtree(replica.folder, ignore_errors=True)

    def start(self):
        """Starts all machines for the first time."""
        for replica in self.replicas:
            replica.start(founds=True)
        for host in self.hosts:
            host.start()

    # ---- The operator -------------------------------------------------------------

    async def change(self):
        """Sends one change until it is acknowledged, or gives up."""
        version = next(self.versions)
        accounts = [{"name": "a", "keys": ["k"]}]
        document = msgspec.json.encode({"version": version, "accounts": accounts})
        for _ in range(OPERATOR_TRIES):
            up = [replica for replica in self.replicas if replica.is_up]
            if up and await self._put(self.random.choice(up), version, document):
                self.acknowledged.append((asyncio.get_running_loop().time(), version))
                return
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def _put(self, replica, version, document):
        try:
            return await replica.put(version, document) >= version
        except NotLeaderError as error:
            leader = self._replica_at(error.leader_address)
        except (OutcomeUnknownError, TimeoutError):
            return False
        if leader is None:
            return False
        try:
            return await leader.put(version, document) >= version
        except (NotLeaderError, OutcomeUnknownError, TimeoutError):
            return False

    def _replica_at(self, address):
        for replica in self.replicas:
            if replica.peer.client_address == address and replica.is_up:
                return replica
        return None

    def newest_acknowledged(self, until: float) -> int:
        """Returns the highest version that was acknowledged by a time."""
        return max((v for at, v in self.acknowledged if at <= until), default=-1)
