"""The record of a soak: requests, runs, probes, versions and faults."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Attempt:
    """One request of a caller; without a complete answer ``status`` is 0."""

    request_id: str
    path: str
    gateway: str
    sent_at: float
    fully_sent: bool = False
    ended_at: float = float("inf")
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Run:
    """The start of a request's execution at a searcher."""

    request_id: str
    service: str
    searcher: str
    at: float


@dataclass(frozen=True, kw_only=True)
class AcknowledgedDrain:
    """An announcement of a draining searcher that was acknowledged."""

    searcher: str
    at: float


@dataclass(kw_only=True)
class FaultPeriod:
    """A fault of a process or a link and the time during which it was active."""

    kind: str
    target: str
    began_at: float
    ended_at: float = float("inf")

    def overlaps(self, since, until):
        """Whether the fault was active at any time between the two times."""
        return self.began_at <= until and self.ended_at >= since


@dataclass(frozen=True, kw_only=True)
class Probe:
    """An answer of one gateway process for the route that a version added."""

    gateway: str
    process_id: int
    version: int
    status: int
    at: float


@dataclass(kw_only=True)
class Record:
    """Everything that the checks use."""

    attempts: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    drains: list = field(default_factory=list)
    fault_periods: list = field(default_factory=list)
    probes: list = field(default_factory=list)
    acknowledged: dict = field(default_factory=dict)  # version -> time
    documents: dict = field(default_factory=dict)  # version -> published document
    final_document: dict | None = None
    violations: list = field(default_factory=list)
    log: list = field(default_factory=list)

    def had_fault(self, targets, since, until):
        """Whether any of the targets had a fault between the two times."""
        return any(
            item.target in targets and item.overlaps(since, until)
            for item in self.fault_periods
        )
