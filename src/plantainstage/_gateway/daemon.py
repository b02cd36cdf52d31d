"""The daemon of an entry host for routed requests: its sockets and tasks."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tornado import web
from tornado.httpserver import HTTPServer

from plantainstage._gateway.account_link import AccountLink
from plantainstage._gateway.control_link import ControlLink
from plantainstage._gateway.header_names import HeaderNames
from plantainstage._gateway.ingress import Ingress
from plantainstage._gateway.quota_gate import QuotaGate
from plantainstage._gateway.router import Router
from plantainstage._reports.exposition import serve_metrics
from plantainstage._serving.account_bounds import QuotaBounds, WarmUpBounds
from plantainstage._serving.configuration import (
    ConfigurationDecoder,
    decode_configuration,
)
from plantainstage._serving.retry_budget import RetryBudgetLimits
from plantainstage._supervision import run_supervised
from plantainstage._transport.listening import listen_on, listen_when_free

# During a planned stop the load balancer notices within two failed probes, which are
# 1 s apart.
DRAIN_S = 2.6
STOP_POLL_S = 0.05
STOP_MARGIN_S = 0.4  # before the platform terminates the process


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of an entry host for routed requests.

    ``control_addresses()`` returns the sync addresses in the current settings, which
    may change. ``relay_listen`` is where other entry hosts that are cut off from the
    searchers pass requests on; without it this host passes on nothing either.
    ``stop_s`` is the maximum duration of a planned stop.
    """

    host_id: str
    data_centre: str
    listen: str
    ready_listen: str
    control_addresses: Callable[[], tuple[str, ...]]
    relay_listen: str = ""
    ready_path: str = "/readyz"
    metrics_listen: str = ""
    names: HeaderNames = field(default_factory=HeaderNames)
    decode_configuration: ConfigurationDecoder = decode_configuration
    budget: RetryBudgetLimits = field(default_factory=RetryBudgetLimits)
    quota: QuotaBounds = QuotaBounds()
    warm_up: WarmUpBounds = WarmUpBounds()
    stop_s: float = 6.0


class _ReadyHandler(web.RequestHandler):
    def initialize(self, gateway):
        self.gateway = gateway

    def get(self):
        self.set_status(200 if self.gateway.is_ready else 503)
        self.finish()


class GatewayDaemon:
    """Serves requests of callers until it is stopped."""

    def __init__(self, *, settings: GatewaySettings, events):
        self.settings = settings
        self.events = events
        self.stopping = False
        self.router = Router(
            names=settings.names,
            host_id=settings.host_id,
            data_centre=settings.data_centre,
            budget_limits=settings.budget,
            warm_up=settings.warm_up,
            events=events,
        )
        self.gate = QuotaGate(
            router=self.router, host_id=settings.host_id, bounds=settings.quota
        )
        self.ingress = Ingress(router=self.router, gate=self.gate)
        self.relay_ingress = Ingress(router=self.router, relays=True)
        self.link = None  # ControlLink, while the daemon runs
        self.account_link = None  # AccountLink, while the daemon runs

    @property
    def is_ready(self):
        """Whether the load balancer should send new connections to this host."""
        return not self.stopping and self.router.table is not None

    async def run(self, stop: asyncio.Event):
        """Serves until ``stop`` is set, then drains for at most ``stop_s``.

        Raises ListenError if an address for callers or probes is not available.
        """
        probes = self._probe_server()
        await self._listen(probes, "ready_listen", self.settings.ready_listen)
        await self._listen(self.ingress.server, "listen", self.settings.listen)
        if self.settings.relay_listen:
            await self._listen(
                self.relay_ingress.server, "relay_listen", self.settings.relay_listen
            )
        if self.settings.metrics_listen:
            serve_metrics(
                address=self.settings.metrics_listen,
                registry=self.router.metrics.registry,
                events=self.events,
            )
        self.account_link = self._make_account_link()
        self.link = ControlLink(
            host_id=self.settings.host_id,
            relay_address=self.settings.relay_listen,
            router=self.router,
            addresses=self.settings.control_addresses,
            decode=self.settings.decode_configuration,
            on_limits=self._apply_limits,
            events=self.events,
        )
        tasks = [
            asyncio.create_task(run_supervised(run, task=task, events=self.events))
            for task, run in (
                ("control", self.link.run),
                ("accounts", self.account_link.run),
                ("reach", self.router.reach_watch.run),
            )
        ]
        self.events.log_event("started", address=self.settings.listen)
        await stop.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        probes.stop()
        self.events.log_event("stopped")
        self.events.flush()

    def _apply_limits(self, limits):
        """Takes note of a configuration that has come into force."""
        for ingress in self._ingresses:
            ingress.set_limits(limits)
        self.account_link.wake(urgent=False)

    def _make_account_link(self):
        link = AccountLink(
            permits=self.gate.permits,
            refresh=self.gate.collect,
            known_leader=lambda: self.link.leader,
            on_grants=self.gate.apply_grants,
            events=self.events,
            clock=self.gate.clock,
        )
        self.gate.on_news = link.wake
        return link

    def _probe_server(self):
        path = self.settings.ready_path
        application = web.Application(
            [(path, _ReadyHandler, {"gateway": self})],
            log_function=lambda handler: None,
        )
        return HTTPServer(application)

    async def _listen(self, server, setting, address):
        await listen_when_free(
            partial(listen_on, server, address),
            setting=setting,
            address=address,
            events=self.events,
        )

    async def _drain(self):
        """Fails readiness probes, answers remaining requests, then closes."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self.stopping = True
        for ingress in self._ingresses:
            ingress.stopping = True
        self.events.log_event("stopping", running=self._running())
        await asyncio.sleep(min(DRAIN_S, self.settings.stop_s / 2))
        for ingress in self._ingresses:
            ingress.server.stop()
        # A connection that was accepted before the stop may still send a request.
        await asyncio.sleep(STOP_POLL_S)
        self._close_idle()
        while self._running():
            if loop.time() - began_at > self.settings.stop_s - STOP_MARGIN_S:
                self._end_running()
                break
            await asyncio.sleep(STOP_POLL_S)
            self._close_idle()
        # Lets the last answers be flushed before the process exits.
        await asyncio.sleep(STOP_POLL_S)

    @property
    def _ingresses(self):
        return (self.ingress, self.relay_ingress)

    def _running(self):
        return sum(len(ingress.running) for ingress in self._ingresses)

    def _end_running(self):
        """Answers what is still running, as its searchers would answer too late."""
        self.events.log_event("stop_cut_short", running=self._running())
        for ingress in self._ingresses:
            ingress.end_running()

    def _close_idle(self):
        for ingress in self._ingresses:
            ingress.close_idle()
