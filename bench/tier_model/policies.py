"""The decision logic of the program and its baselines, with one interface."""

import random

from plantainstage._limits.extra_load import ExtraLoadBudgets
from plantainstage._limits.owner_queue import HostLease, OwnerQueue
from plantainstage._limits.quarantine import QuarantineTable
from plantainstage._routing.estimates import RoutingState
from plantainstage._routing.gather import Gather
from plantainstage._routing.view import ConfigurationView, start_ramps

from .baselines import BaselineGather, BaselineQueue

FIXED_HEDGE_S = 0.03  # 2.5 times the median service time of the searcher models


class PlantainstagePolicy:
    """Gather and OwnerQueue as they run in the entry process."""

    name = "plantainstage"
    ramps = True  # as in the entry process

    def __init__(self, *, host, deployment, seed, window_s):
        self.routing = RoutingState(
            entry_id=host.entry_id,
            incarnation=host.incarnation,
            data_centre=host.data_centre,
            random=random.Random(f"{seed}/{host.entry_id}"),
            quarantines=QuarantineTable(),
            cross_data_centre_hop_s=deployment.zone_hop_s,
        )
        self.budgets = ExtraLoadBudgets(window_s=window_s)
        self.lease = HostLease(until=float("inf"))
        self.view = None
        self.configuration = None

    def apply(self, configuration, now):
        """Puts a configuration version in force on this host."""
        self.view = ConfigurationView(configuration=configuration, routing=self.routing)
        if self.ramps and self.configuration is not None:
            start_ramps(
                before=self.configuration,
                after=configuration,
                routing=self.routing,
                now=now,
            )
        self.configuration = configuration

    def gather(self, record, body, profile, now):
        """Returns the decision logic of one request."""
        return Gather(
            request_id=record.request_id,
            profile=self.view.profiles[profile.name],
            body=body,
            view=self.view,
            routing=self.routing,
            budget=self.budgets.for_profile(self.view.profiles[profile.name]),
            now=now,
        )

    def queue(self, spec, weights):
        """Returns the decision logic of one owner queue."""
        queue = OwnerQueue(
            upstream_id=spec.upstream_id,
            slots=spec.slots,
            connections=spec.connections,
            lease=self.lease,
            quarantines=self.routing.quarantines,
            budgets=self.budgets,
            weights=weights,
        )
        queue.begin_ownership(epoch=1)
        return queue

    def quarantine(self, fingerprint, now):
        """Applies a quarantine notice."""
        quarantines = self.routing.quarantines
        quarantines.quarantine(fingerprint, now + quarantines.duration_s)


class WithoutRampPolicy(PlantainstagePolicy):
    """The logic of the program, but without the load ramp for cold searchers."""

    name = "without-ramp"
    ramps = False


class BaselinePolicy:
    """Sends to a random replica of each partition and waits for all answers.

    With ``hedge_s``, a second sub-request is sent to a random replica after that
    time if no answer has come. The owner queues are first-in first-out.
    """

    name = "random"
    hedge_s = None

    def __init__(self, *, host, deployment, seed, window_s):
        self.random = random.Random(f"{seed}/{host.entry_id}")
        self.prefix = host.entry_id
        self.count = 0
        self.configuration = None
        self.replicas = {}
        self.snapshot = None

    def apply(self, configuration, now):
        """Puts a configuration version in force on this host."""
        self.configuration = configuration
        self.snapshot = max(configuration.manifests, key=lambda item: item.sequence)
        owners = {item.upstream_id: item.entry_id for item in configuration.ownerships}
        self.replicas = {name: [] for name in self.snapshot.documents}
        for upstream in configuration.upstreams:
            if upstream.state.value != "serving":
                continue
            for holding in upstream.holdings:
                if holding.snapshot == self.snapshot.snapshot:
                    for partition in holding.partitions:
                        self.replicas[partition].append(
                            (upstream.upstream_id, owners[upstream.upstream_id])
                        )

    def gather(self, record, body, profile, now):
        """Returns the decision logic of one request."""
        return BaselineGather(
            policy=self, record=record, body=body, profile=profile, now=now
        )

    def queue(self, spec, weights):
        """Returns the decision logic of one owner queue."""
        return BaselineQueue(spec=spec)

    def quarantine(self, fingerprint, now):
        """Baselines ignore quarantines."""


class FixedHedgePolicy(BaselinePolicy):
    """The random baseline with a hedge after a fixed delay, without a budget."""

    name = "fixed-hedge"
    hedge_s = FIXED_HEDGE_S


POLICIES = {
    item.name: item
    for item in (
        BaselinePolicy,
        FixedHedgePolicy,
        WithoutRampPolicy,
        PlantainstagePolicy,
    )
}
