"""Polls all control replicas for the configuration and the searchers."""

import asyncio
from functools import partial

import msgspec
import pynng

from plantainstage._errors import InvalidConfigurationError
from plantainstage._messages import serving
from plantainstage._serving.merged_searchers import MergedSearchers
from plantainstage._serving.searchers import SearcherState
from plantainstage._supervision import run_supervised
from plantainstage._transport.rpc import RECONNECT_MAX_MS, RpcClient

POLL_INTERVAL_S = 0.35
# Traffic between data centres is expensive, so remote replicas are polled less often.
# The interval is bounded since a departure must take effect within 3 s.
REMOTE_POLL_INTERVAL_S = 1.0
UNCONFIGURED_POLL_INTERVAL_S = 0.06
# A host without a configuration cannot serve requests, so it retries at short
# intervals to connect to replicas that are still starting.
UNCONFIGURED_RECONNECT_MAX_MS = 60
POLL_TIMEOUT_S = 0.8
SOURCE_LOST_S = 2.0
EXPIRE_INTERVAL_S = 0.25


def poll_interval_s(
    *, has_configuration: bool, own_data_centre: str, data_centre: str
) -> float:
    """Returns how long to wait before a replica in ``data_centre`` is polled again.

    A host without a configuration cannot serve requests, so it polls often. An empty
    ``data_centre`` stands for a replica that has not replied yet.
    """
    if not has_configuration:
        return UNCONFIGURED_POLL_INTERVAL_S
    if data_centre in ("", own_data_centre):
        return POLL_INTERVAL_S
    return REMOTE_POLL_INTERVAL_S


class ControlLink:
    """Passes configurations and searchers from control replicas to the router.

    ``addresses()`` returns the seed replicas; replies list all others. Each replica is
    polled by its own task, so that an unreachable one does not delay updates from the
    rest.
    """

    def __init__(self, *, host_id, router, addresses, decode, on_limits, events):
        self.host_id = host_id
        self.router = router
        self.addresses = addresses
        self.decode = decode
        self.on_limits = on_limits
        self.events = events
        self.merged_searchers = MergedSearchers()
        self.pollers = {}

    async def run(self):
        """Runs until it is cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._start_pollers(self.addresses())
                for searcher_id in self.merged_searchers.expire(loop.time()):
                    self.events.log_event("searcher_lost", searcher=searcher_id)
                    self.router.fleet.remove_searcher(searcher_id)
                await asyncio.sleep(EXPIRE_INTERVAL_S)
        finally:
            for poller in self.pollers.values():
                poller.cancel()
            self.pollers.clear()

    def _start_pollers(self, addresses):
        for address in addresses:
            if address not in self.pollers:
                polling = run_supervised(
                    partial(self._poll, address),
                    task=f"poll {address}",
                    events=self.events,
                )
                self.pollers[address] = asyncio.create_task(polling)

    async def _poll(self, address):
        client = RpcClient(address=address, reply_decoder=serving.REPLY_DECODER)
        try:
            await self._poll_with(client, address)
        finally:
            client.close()

    async def _poll_with(self, client, address):
        loop = asyncio.get_running_loop()
        if self.router.table is None:
            client.reconnect_max_ms = UNCONFIGURED_RECONNECT_MAX_MS
        process, cursor, data_centre = "", 0, ""
        last_reply_at = loop.time()
        reachable = False
        while True:
            request = serving.SyncRequest(
                host_id=self.host_id,
                process=process,
                cursor=cursor,
                version=self.router.version,
            )
            try:
                reply = await client.call(request, timeout_s=POLL_TIMEOUT_S)
            except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
                if reachable and loop.time() - last_reply_at > SOURCE_LOST_S:
                    reachable = False
                    self.merged_searchers.mark_source_lost(process, loop.time())
                    reason = type(error).__name__
                    self.events.log_event(
                        "control_lost", replica=address, reason=reason
                    )
            else:
                if not reachable:
                    self.events.log_event("control_reached", replica=address)
                reachable, last_reply_at = True, loop.time()
                client.reconnect_max_ms = RECONNECT_MAX_MS
                if process and reply.process != process:
                    self.merged_searchers.mark_source_lost(process, loop.time())
                process, cursor = reply.process, reply.cursor
                data_centre = reply.data_centre
                self._apply_reply(reply)
            interval_s = poll_interval_s(
                has_configuration=self.router.table is not None,
                own_data_centre=self.router.fleet.data_centre,
                data_centre=data_centre,
            )
            await asyncio.sleep(interval_s)

    def _apply_reply(self, reply):
        # Applied first, so that an error in the rest of the reply cannot keep the host
        # at an old version.
        if reply.document is not None and reply.version > self.router.version:
            self._apply_configuration(reply)
        self.router.set_hosts(reply.hosts)
        self._start_pollers(reply.replicas)
        for searcher in reply.searchers:
            changed = self.merged_searchers.update(reply.process, searcher)
            if changed is not None:
                self._update_searcher(changed)
        now = asyncio.get_running_loop().time()
        for searcher_id in reply.silent:
            self.merged_searchers.mark_silent(reply.process, searcher_id, now)

    def _update_searcher(self, searcher):
        self.router.fleet.update_searcher(searcher)
        event = "searcher_ready"
        if searcher.state is not SearcherState.READY:
            event = "searcher_leaves"
        self.events.log_event(
            event,
            searcher=searcher.searcher_id,
            service=searcher.service,
            data_centre=searcher.data_centre,
        )

    def _apply_configuration(self, reply):
        try:
            configuration = self.decode(reply.document)
        except InvalidConfigurationError as error:
            # Control replicas validate documents before they store them, so an
            # invalid one was accepted by another release of this program.
            self.events.log_event("configuration_unreadable", reason=str(error)[:500])
            return
        if self.router.apply(configuration):
            self.on_limits(configuration.limits)
            self.events.log_event(
                "configuration_in_force", version=configuration.version
            )
