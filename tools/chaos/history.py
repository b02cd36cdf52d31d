"""The history of a run, recorded by the threads of callers, operators and faults."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field

MAX_VIOLATION_CHARS = 600  # kept of one violation; the logs hold the details


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a request; without a reply ``status`` is 0.

    Times are seconds on the monotonic clock, as in the searchers' records.
    ``partitions`` is empty for a request to all partitions.
    """

    entry: str
    request_id: str
    token: str
    profile: str
    idempotent: bool
    partitions: tuple[str, ...]
    sent_at: float
    ended_at: float
    status: int
    body: dict
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class Outage:
    """The time during which a searcher was taken out by a change in force.

    ``back_at`` is None if it stayed out until the end of the run.
    """

    upstream_id: str
    accepted_at: float
    in_force_at: float
    back_at: float | None = None


@dataclass(kw_only=True)
class History:
    """All events of a run that the final checks use."""

    started_at: float = field(default_factory=time.monotonic)
    attempts: list[Attempt] = field(default_factory=list)
    verdicts: list = field(default_factory=list)
    conflicts: list = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    changes: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    max_crashes: int = 0
    planned_stops: list = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record_violation(self, text):
        """Records a violated guarantee and prints it immediately."""
        text = text[:MAX_VIOLATION_CHARS]
        with self.lock:
            self.violations.append(text)
        self.print_step(f"VIOLATION {text}")

    def print_step(self, text):
        """Prints a step of the run with the time since its start."""
        print(f"{time.monotonic() - self.started_at:8.2f} s  {text}", flush=True)
