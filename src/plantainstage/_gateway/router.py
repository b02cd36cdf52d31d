"""State shared by all requests of an entry host: routes, budgets and work times."""

import asyncio
import random
from collections.abc import Mapping

from plantainstage._gateway.end_checks import EndChecks
from plantainstage._gateway.fleet import Fleet
from plantainstage._gateway.helpers import Helpers
from plantainstage._gateway.pool import MAX_REPLY_BYTES, SearcherPool
from plantainstage._gateway.reach_watch import ReachWatch
from plantainstage._gateway.room_gate import RoomGate
from plantainstage._reports.exposition import GatewayMetrics
from plantainstage._serving.account_bounds import WarmUpBounds
from plantainstage._serving.configuration import (
    DEFAULT_HEALTH_PATH,
    ClientAccount,
    ServingConfiguration,
)
from plantainstage._serving.connection_shares import HostCounts
from plantainstage._serving.crash_evidence import CrashEvidence
from plantainstage._serving.permit_priority import PermitPriority
from plantainstage._serving.retry_budget import RetryBudget, RetryBudgetLimits
from plantainstage._serving.routes import RouteTable
from plantainstage._serving.splitting import WeightedRoundRobin
from plantainstage._serving.text_kinds import REQUEST_TARGET
from plantainstage._serving.work_times import WorkTime
from plantainstage._transport.buffer_memory import BufferMemory


def _ignore():
    """Replaces ``on_outdated`` until it is set."""


class Router:
    """The configuration in force on this host, and the estimates made while serving.

    ``make_pool`` replaces the connections to searchers, for tests and simulations.
    """

    def __init__(
        self,
        *,
        names,
        data_centre: str,
        budget_limits: RetryBudgetLimits,
        events,
        make_pool=None,
        host_id: str = "",
        warm_up: WarmUpBounds | None = None,
    ):
        self.names = names
        self.budget_limits = budget_limits
        self.events = events
        self.metrics = GatewayMetrics()
        self.reply_memory = BufferMemory(limit=MAX_REPLY_BYTES)
        make_pool = make_pool or self._make_pool
        self.fleet = Fleet(
            data_centre=data_centre,
            make_pool=make_pool,
            host_id=host_id,
            log_event=events.log_event,
            warm_up=warm_up,
        )
        self.evidence = CrashEvidence()
        self.end_checks = EndChecks(
            fleet=self.fleet,
            evidence=self.evidence,
            events=events,
            metrics=self.metrics,
        )
        self.reach_watch = ReachWatch(
            fleet=self.fleet,
            health_path=self._health_path,
            events=events,
            metrics=self.metrics,
        )
        self.reach_watch.on_cut_off = self._pass_on_running
        self.helpers = Helpers(names=names, memory=self.reply_memory)
        self.running = set()  # RoutedRequests
        self.on_outdated = _ignore  # called if another host has a newer configuration
        self.metrics.version.set_function(lambda: self.version)
        self.metrics.searchers.set_function(lambda: len(self.fleet.members))
        self.metrics.evacuated.set_function(
            lambda: len(self.fleet.evacuations.in_force)
        )
        self.metrics.cold_searchers.set_function(lambda: len(self.fleet.warm_up.logged))
        self.metrics.dropped_lines.set_function(lambda: events.dropped_total)
        self.metrics.failed_tasks.set_function(lambda: events.counts["task_failed"])
        self.table = None
        self.room_gate = None  # RoomGate, if the configuration has accounts
        self.budgets = {}
        self.work_times = {}
        self.round_robins = {}
        self.permit_priority = PermitPriority()
        self.longest_deadline_ms = {}
        self.random = random.Random()

    def _make_pool(self, *, searcher):
        return SearcherPool(
            address=searcher.address, names=self.names, memory=self.reply_memory
        )

    def _health_path(self, service):
        known = self.table.services.get(service) if self.table is not None else None
        if known is None or not REQUEST_TARGET.contains(known.health_path):
            # Any reply will do; an earlier release may have stored any text.
            return DEFAULT_HEALTH_PATH
        return known.health_path

    @property
    def version(self):
        """The version in force, or -1 if there is none yet."""
        return -1 if self.table is None else self.table.configuration.version

    @property
    def accounts(self) -> Mapping[str, ClientAccount]:
        """The client accounts in force, by name; empty without accounts."""
        return {} if self.table is None else self.table.accounts

    def apply(self, configuration: ServingConfiguration) -> bool:
        """Puts a configuration in force if its version is higher; returns whether."""
        if configuration.version <= self.version:
            return False
        self.table = RouteTable(configuration=configuration)
        self._set_room_gate()
        caps = {s.name: s.connections for s in configuration.services}
        self.fleet.set_limits(caps=caps)
        self.fleet.set_services(caps.keys())
        self.fleet.warm_up.set_services(configuration.services)
        return True

    def _set_room_gate(self):
        if not self.accounts:
            self.room_gate = None
        elif self.room_gate is None:
            self.room_gate = RoomGate(router=self)

    def has_helper(self) -> bool:
        """Whether another entry host may take requests of this one."""
        now = asyncio.get_running_loop().time()
        return self.helpers.hosts.choose(tried=(), now=now) is not None

    def _pass_on_running(self):
        """Passes on the requests that wait for searchers out of reach."""
        for request in list(self.running):
            request.pass_on_if_stuck()

    def set_hosts(self, hosts: HostCounts):
        """Divides connection limits and retry budgets among the entry hosts."""
        if hosts == self.fleet.hosts:
            return
        self.fleet.set_limits(hosts=hosts)
        for budget in self.budgets.values():
            budget.hosts = hosts.total

    def budget(self, service: str) -> RetryBudget:
        """Returns this host's share of the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                limits=self.budget_limits, hosts=self.fleet.hosts.total
            )
            self.budgets[service] = budget
        return budget

    def work_time(self, route) -> WorkTime:
        """Returns the work time estimates of a route."""
        known = self.work_times.get(route.name)
        if known is None:
            known = WorkTime(aim_s=route.aim_ms / 1000)
            self.work_times[route.name] = known
        return known

    def next_service(self, route) -> str:
        """Returns the service for the next request of a OneOf route.

        A new configuration with the same shares continues the sequence: restarts in
        quick succession would favour the services with which it begins.
        """
        shares = route.target.shares
        round_robin = self.round_robins.get(route.name)
        if round_robin is None or round_robin.all_shares != shares:
            round_robin = WeightedRoundRobin(shares=shares, phase=self.random.random())
            self.round_robins[route.name] = round_robin
        return round_robin.next()

    def used_by_earlier_attempts_s(self, route, deadline_ms: int | None) -> float:
        """Estimates from its deadline how long the caller has been waiting already.

        Callers of a route start with the same deadline, so the difference from the
        longest deadline seen was spent on earlier attempts. It is 0 for a caller that
        has used at least half of the target latency: it was told when to retry, or it
        is late in any case, and its target latency starts again.
        """
        if deadline_ms is None:
            return 0.0
        longest = max(self.longest_deadline_ms.get(route.name, 0), deadline_ms)
        self.longest_deadline_ms[route.name] = longest
        used_ms = longest - deadline_ms
        return used_ms / 1000 if used_ms < route.aim_ms / 2 else 0.0
