"""Prometheus series of the counters by client account."""

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from plantainstage._reports.account_counters import AccountCounters


class AccountCollector(Collector):
    """Exposes AccountCounters as one counter with the labels account and outcome."""

    def __init__(self, *, name: str, counters: AccountCounters):
        self.name = name
        self.counters = counters

    def describe(self):
        """Returns the family without values, for the check of duplicate names."""
        return [self._family()]

    def collect(self):
        """Returns the family with the series of this moment."""
        family = self._family()
        for account, outcome, count in self.counters.series():
            family.add_metric([account, outcome.value], count)
        return [family]

    def _family(self):
        return CounterMetricFamily(
            self.name,
            "Requests finished by client account, the largest and the worst ones; "
            "all others count as other",
            labels=["account", "outcome"],
        )
