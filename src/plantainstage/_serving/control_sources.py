"""Which control replicas an entry host polls, and what it has from each of them.

Each replica hears some of the searchers. It passes on what the other replicas hear,
so that a host has to poll only one, in its own data centre if possible: with polls of
every replica, the traffic between data centres would grow with the product of hosts
and replicas. A host polls a further replica itself as soon as no replica that it
prefers has been in contact with it recently, for example during a partition between
replicas.
"""

from collections import Counter
from dataclasses import dataclass, replace

from plantainstage._messages.serving import SourceReport
from plantainstage._serving.connection_shares import HostCounts
from plantainstage._serving.counted_hosts import CountedHosts
from plantainstage._serving.spreading import spread_weight

# A replica is polled directly once no preferred one was in contact with it for this
# time. It is longer than a poll between replicas with its time-out, and leaves most
# of the 3 s within which a departure must take effect.
RELAYED_FOR_S = 1.6
# Entry hosts that count themselves at a replica are forgotten after this time without
# contact, like the replica itself forgets a host.
HOST_COUNT_RETENTION_S = 4.0
SOURCE_LOST_S = 2.0


@dataclass(kw_only=True)
class ControlSource:
    """What an entry host has from one replica; times are on the event loop's clock.

    ``process`` is empty while nothing is held from the replica.
    """

    address: str
    data_centre: str = ""
    process: str = ""
    cursor: int = 0
    hosts: int = 0
    seen_at: float = float("-inf")  # last known to be up, directly or not
    replied_at: float = float("-inf")  # last reply to a poll of this host
    failed_polls: int = 0  # in a row


@dataclass(frozen=True, kw_only=True)
class RecordedReport:
    """Whether a report is current, and what it changed.

    ``is_new`` tells that nothing was held from the replica before, and
    ``replaced_process`` is the process that it ran before, if it has restarted.
    """

    current: bool
    is_new: bool = False
    replaced_process: str = ""


class ControlSources:
    """All control replicas known to an entry host.

    For example, a host in ``dc-1`` that got a reply from replica ``a`` in ``dc-1``
    does not poll ``b`` in ``dc-2`` while ``a`` is in contact with it::

        sources = ControlSources(host_id="h", data_centre="dc-1")
        sources.record_reply("a", now=0.0)
        sources.record_report("a", report_of_b, now=0.0)
        sources.is_relayed("b", now=1.0)     # True
    """

    def __init__(self, *, host_id: str, data_centre: str):
        self.host_id = host_id
        self.data_centre = data_centre
        self.sources = {}  # address -> ControlSource
        self.relayed_at = {}  # (relay, address) -> time of their last contact
        self.counted = CountedHosts(data_centre=data_centre)

    # ---- Queries ------------------------------------------------------------------

    def is_relayed(self, address: str, now: float) -> bool:
        """Whether a preferred replica passes on what ``address`` reports."""
        return now < self.relayed_until(address)

    def relayed_until(self, address: str) -> float:
        """Returns until when polls of ``address`` are needless, if nothing changes."""
        rank = self._rank(address)
        times = [
            relayed_at
            for (relay, target), relayed_at in self.relayed_at.items()
            if target == address and self._rank(relay) < rank
        ]
        return max(times, default=float("-inf")) + RELAYED_FOR_S

    def counting_replica(self, now: float) -> str:
        """Returns the replica that should count this host, or an empty string."""
        replying = [
            source.address
            for source in self.sources.values()
            if now - source.replied_at < RELAYED_FOR_S
        ]
        return min(replying, key=self._rank, default="")

    @property
    def replied_at(self) -> float:
        """The time of the last reply of any replica."""
        times = (source.replied_at for source in self.sources.values())
        return max(times, default=float("-inf"))

    @property
    def hosts(self) -> HostCounts:
        """The entry hosts that all replicas count together."""
        return self.counted.hosts

    def data_centre_of(self, address: str) -> str:
        """Returns the data centre of a replica; empty if it is not known yet."""
        return self._source(address).data_centre

    def held(self) -> list[ControlSource]:
        """Returns the replicas from which this host holds reports."""
        return [source for source in self.sources.values() if source.process]

    def _rank(self, address):
        """Returns the sort key of a replica; hosts spread over those that are near."""
        far = self.data_centre_of(address) != self.data_centre
        return (far, spread_weight(self.host_id, address))

    def _source(self, address):
        return self.sources.get(address) or ControlSource(address=address)

    # ---- Commands -----------------------------------------------------------------

    def record_reply(self, address: str, now: float) -> int:
        """Records a reply to a poll of this host; returns the failures before it."""
        source = self._known(address)
        source.replied_at = now
        failed, source.failed_polls = source.failed_polls, 0
        return failed

    def record_failure(self, address: str) -> int:
        """Records a poll without a reply; returns how many there were in a row."""
        source = self._known(address)
        source.failed_polls += 1
        return source.failed_polls

    def record_report(
        self, relay: str, report: SourceReport, now: float
    ) -> RecordedReport:
        """Records a report that ``relay`` passed on, or made on itself.

        One on an earlier process of the replica is not current: the relay has not been
        in contact with the replica since it restarted.
        """
        source = self._known(report.address)
        seen_at = now - report.age_ms / 1000
        is_new = not source.process
        replaced = "" if source.process == report.process else source.process
        if replaced and seen_at < source.seen_at:
            return RecordedReport(current=False)
        self.relayed_at[relay, report.address] = seen_at
        source.seen_at = max(source.seen_at, seen_at)
        if replaced:
            source.cursor = 0
        source.process = report.process
        source.cursor = max(source.cursor, report.cursor)
        source.data_centre = report.data_centre
        source.hosts = report.hosts
        self.counted.record(self._count_hosts(now), now)
        return RecordedReport(current=True, is_new=is_new, replaced_process=replaced)

    def take_lost(self, now: float) -> list[ControlSource]:
        """Returns the replicas that have become unreachable, as they were held.

        Their cursors start anew: a replica that returns has to report all searchers
        again, since those that only it reported are dropped meanwhile.
        """
        lost = [s for s in self.held() if now - s.seen_at > SOURCE_LOST_S]
        held = [replace(source) for source in lost]
        for source in lost:
            source.process = ""
            source.cursor = 0
        return held

    def _count_hosts(self, now):
        counts = Counter()
        for source in self.sources.values():
            if source.hosts and now - source.seen_at < HOST_COUNT_RETENTION_S:
                counts[source.data_centre] += source.hosts
        return HostCounts(by_data_centre=counts)

    def _known(self, address):
        return self.sources.setdefault(address, ControlSource(address=address))
