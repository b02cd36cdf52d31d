"""What callers, operators and faults saw; one list, filled by all threads."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field

MAX_VIOLATION_CHARS = 600  # of one violation; the logs have the rest


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One sending of a request; ``status`` is 0 when no reply came.

    Times are monotonic seconds, as in the searchers' records. ``partitions``
    is empty for a request to all of them.
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
    """A searcher that was out by a change in force; None means until the end."""

    upstream_id: str
    accepted_at: float
    in_force_at: float
    back_at: float | None = None


@dataclass(kw_only=True)
class History:
    """Everything that the checks at the end look at."""

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
        """Records a broken promise and prints it at once."""
        text = text[:MAX_VIOLATION_CHARS]
        with self.lock:
            self.violations.append(text)
        self.print_step(f"VIOLATION {text}")

    def print_step(self, text):
        """Prints one step with the time since the start."""
        print(f"{time.monotonic() - self.started_at:8.2f} s  {text}", flush=True)
