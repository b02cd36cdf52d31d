"""The entry hosts, searchers, load and faults of one run."""

import msgspec

from plantainstage._messages.callers import QueryBody
from plantainstage._messages.configuration import Ownership

from .deployment import (
    assign_owners,
    build_configuration,
    entry_hosts,
    searcher_specs,
)
from .entry import EntryModel, QueueModel
from .loop import EventLoop
from .records import RequestRecord
from .searchers import SearcherModel

CONFIGURATION_DELAY_S = 0.4  # a host applies a version at its next lease renewal
HEARTBEAT_LEASE_S = 3.0
ENTRY_LEASE_S = 2.2  # with its margin; after it an owner is fenced


class Tier:
    """One run of a deployment with one policy, in virtual time."""

    entry_class = EntryModel
    searcher_class = SearcherModel

    def __init__(self, *, deployment, policy_class, seed, window_s, random):
        self.deployment = deployment
        self.loop = EventLoop()
        self.random = random
        self.profiles = (deployment.profile,)
        self.records = []
        self.trace = None
        self.sub_request_upstream = {}
        self.epochs = {}
        self.moving = set()
        specs = searcher_specs(deployment)
        hosts = entry_hosts(deployment)
        self.host_records = hosts
        self.owners = assign_owners(specs, hosts, seed)
        self.searchers = {
            spec.upstream_id: self.searcher_class(spec=spec, loop=self.loop, seed=seed)
            for spec in specs
        }
        self.hosts = {}
        for host in hosts:
            policy = policy_class(
                host=host, deployment=deployment, seed=seed, window_s=window_s
            )
            self.hosts[host.entry_id] = self.entry_class(
                tier=self, host=host, policy=policy
            )
        self.host_list = list(self.hosts.values())
        weights = {item.name: item.weight for item in self.profiles}
        for upstream_id, searcher in self.searchers.items():
            entry = self.hosts[self.owners[upstream_id]]
            logic = entry.policy.queue(searcher.spec, weights)
            entry.queues[upstream_id] = QueueModel(
                entry=entry, searcher=searcher, logic=logic
            )
        self.version = 0
        self.publish(spread_s=0.0)

    def ownerships(self):
        """Returns the ownership of each searcher, as recorded by control."""
        return tuple(
            Ownership(
                upstream_id=upstream_id,
                entry_id=owner,
                epoch=self.epochs.get(upstream_id, 1),
                active=upstream_id not in self.moving,
            )
            for upstream_id, owner in self.owners.items()
        )

    def upstream_of(self, sub_request_id):
        """Returns the searcher of a sub-request, or "" before it reached its owner."""
        return self.sub_request_upstream.get(sub_request_id, "")

    def publish(self, *, spread_s=CONFIGURATION_DELAY_S):
        """Publishes the present announcements of the searchers to all hosts.

        Each host applies the configuration after a random delay up to ``spread_s``.
        """
        self.version += 1
        configuration = build_configuration(
            self.deployment,
            list(self.searchers.values()),
            self.host_records,
            self.ownerships(),
            version=self.version,
            profiles=self.profiles,
        )
        for entry in self.host_list:
            if spread_s:
                self.loop.after(
                    self.random.random() * spread_s, self._apply, entry, configuration
                )
            else:
                self._apply(entry, configuration)

    def _apply(self, entry, configuration):
        if getattr(entry, "version", 0) < configuration.version:
            entry.version = configuration.version
            entry.policy.apply(configuration, self.loop.now)

    def quarantine(self, source, fingerprint):
        """Sends a quarantine notice to all entry hosts."""
        for entry in self.host_list:
            delay = self.deployment.latency_s(source.zone, entry.zone)
            self.loop.after(delay, self._apply_quarantine, entry, fingerprint)

    def _apply_quarantine(self, entry, fingerprint):
        entry.policy.quarantine(fingerprint, self.loop.now)

    # ---- Load ----------------------------------------------------------------

    def send(
        self,
        *,
        query,
        profile=None,
        entry=None,
        on_finish=None,
        idempotent=True,
        partitions=(),
    ):
        """Sends a request to the given entry host, or to a random one."""
        entry = entry or self.host_list[int(self.random.random() * len(self.host_list))]
        record = RequestRecord(
            request_id=f"r{len(self.records)}",
            started_at=self.loop.now,
            profile=profile or self.profiles[0],
            entry=entry,
            on_finish=on_finish,
        )
        self.records.append(record)
        body = QueryBody(
            profile=record.profile.name,
            query=msgspec.Raw(query),
            request_id=record.request_id,
            idempotent=idempotent,
            partitions=partitions,
        )
        entry.request(record, body, record.profile)
        return record

    def start_load(self, *, rate, until, start=0.0, profile=None):
        """Sends requests with distinct queries at exponential intervals."""
        self.loop.at(
            start + self.random.expovariate(rate), self._send_next, rate, until, profile
        )

    def _send_next(self, rate, until, profile):
        if self.loop.now >= until:
            return
        self.send(query=b'{"q":%d}' % len(self.records), profile=profile)
        self.loop.after(
            self.random.expovariate(rate), self._send_next, rate, until, profile
        )

    # ---- Faults --------------------------------------------------------------

    def kill(self, upstream_id):
        """Ends a searcher for good; control detects it when its lease expires."""
        self.searchers[upstream_id].terminate()
        self.loop.after(HEARTBEAT_LEASE_S, self._mark_lost, upstream_id)

    def _mark_lost(self, upstream_id):
        self.searchers[upstream_id].state = "lost"
        self.publish()

    def restart(self, upstream_id, down_s):
        """Restarts a searcher, which announces itself and is slow at first."""
        searcher = self.searchers[upstream_id]
        searcher.terminate()
        searcher.state = "draining"
        self.publish()
        self.loop.after(down_s, self._finish_restart, searcher)

    def _finish_restart(self, searcher):
        searcher.restart()
        searcher.state = "serving"
        self.publish()

    def lose_zone(self, zone):
        """Ends all searchers and entry hosts of a data centre at once.

        The searchers that the lost hosts owned get new owners after the entry
        lease and the longest deadline.
        """
        for searcher in self.searchers.values():
            if searcher.spec.zone == zone:
                self.kill(searcher.spec.upstream_id)
        for entry in self.host_list:
            entry.alive = entry.zone != zone
        self.host_list = [entry for entry in self.host_list if entry.alive]
        for record in self.records:
            record.host_lost = record.finished_at is None and not record.entry.alive
        deadline_s = max(item.deadline_ms for item in self.profiles) / 1000
        self.loop.after(ENTRY_LEASE_S + deadline_s, self._replace_owners)

    def _replace_owners(self):
        weights = {item.name: item.weight for item in self.profiles}
        for upstream_id, searcher in self.searchers.items():
            if self.hosts[self.owners[upstream_id]].alive:
                continue
            entry = self.random.choice(self.host_list)
            epoch = self.epochs[upstream_id] = self.epochs.get(upstream_id, 1) + 1
            self.owners[upstream_id] = entry.entry_id
            logic = entry.policy.queue(searcher.spec, weights)
            logic.begin_ownership(epoch=epoch)
            entry.queues[upstream_id] = QueueModel(
                entry=entry, searcher=searcher, logic=logic
            )
        self.publish()

    def capacity(self, mean_service_s):
        """Returns the requests a second that the partition with fewest slots can serve.

        A slot is occupied at the owner for the service time and one round trip.
        """
        slots = {}
        for searcher in self.searchers.values():
            partition = searcher.spec.partition
            slots[partition] = slots.get(partition, 0) + searcher.spec.slots
        round_trip_s = 2 * self.deployment.zone_hop_s
        return min(slots.values()) / (mean_service_s + round_trip_s)
