"""What all requests of an entry host share: routes, budgets and work times."""

import random
from functools import partial

from plantainstage._gateway.fleet import Fleet
from plantainstage._gateway.pool import SearcherPool
from plantainstage._reports.exposition import GatewayMetrics
from plantainstage._serving.configuration import ServingConfiguration
from plantainstage._serving.retry_budget import BudgetTerms, RetryBudget
from plantainstage._serving.routes import RouteTable
from plantainstage._serving.splitting import WeightedRoundRobin
from plantainstage._serving.work_times import WorkTime


class Router:
    """The configuration in force on this host and what was learnt under it.

    ``make_pool`` stands in for the connections to searchers, in tests and models.
    """

    def __init__(
        self, *, names, data_centre: str, terms: BudgetTerms, events, make_pool=None
    ):
        self.names = names
        self.terms = terms
        self.events = events
        self.metrics = GatewayMetrics()
        make_pool = make_pool or partial(SearcherPool, names=names)
        self.fleet = Fleet(data_centre=data_centre, make_pool=make_pool)
        self.metrics.version.set_function(lambda: self.version)
        self.metrics.searchers.set_function(lambda: len(self.fleet.members))
        self.metrics.dropped_lines.set_function(lambda: events.dropped_total)
        self.table = None
        self.budgets = {}
        self.work_times = {}
        self.round_robins = {}
        self.longest_deadline_ms = {}
        self.random = random.Random()

    @property
    def version(self):
        """The version in force, or -1 before the first one."""
        return -1 if self.table is None else self.table.configuration.version

    def apply(self, configuration: ServingConfiguration) -> bool:
        """Puts a configuration in force, unless a higher one is."""
        if configuration.version <= self.version:
            return False
        self.table = RouteTable(configuration=configuration)
        caps = {s.name: s.connections for s in configuration.services}
        self.fleet.connection_caps = caps
        self.round_robins = {}
        return True

    def set_hosts(self, hosts: int):
        """Divides connections and budgets among so many entry hosts."""
        self.fleet.hosts = max(1, hosts)
        for budget in self.budgets.values():
            budget.hosts = self.fleet.hosts

    def budget(self, service: str) -> RetryBudget:
        """Returns this host's part of the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(terms=self.terms, hosts=self.fleet.hosts)
            self.budgets[service] = budget
        return budget

    def work_time(self, route) -> WorkTime:
        """Returns what is known of the work time of a route."""
        known = self.work_times.get(route.name)
        if known is None:
            known = WorkTime(aim_s=route.aim_ms / 1000)
            self.work_times[route.name] = known
        return known

    def next_service(self, route) -> str:
        """Draws the service of the next request on a route with shares."""
        round_robin = self.round_robins.get(route.name)
        if round_robin is None:
            round_robin = WeightedRoundRobin(
                shares=route.target.shares, phase=self.random.random()
            )
            self.round_robins[route.name] = round_robin
        return round_robin.next()

    def used_by_earlier_attempts_s(self, route, deadline_ms: int | None) -> float:
        """Returns how long the caller has waited already, as its deadline tells.

        Callers of one route start with the same deadline, so that what is missing
        from the longest one was spent on attempts before this one. A caller that
        lost most of its aim was told when to come back, or is late anyhow: its aim
        begins anew.
        """
        if deadline_ms is None:
            return 0.0
        longest = max(self.longest_deadline_ms.get(route.name, 0), deadline_ms)
        self.longest_deadline_ms[route.name] = longest
        used_ms = longest - deadline_ms
        return used_ms / 1000 if used_ms < route.aim_ms / 2 else 0.0
