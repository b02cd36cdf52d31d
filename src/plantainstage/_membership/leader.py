"""The state that a leader keeps in memory during one term.

Times are seconds on the leader's monotonic clock and are passed in; nothing here
reads a clock. Each term starts with a new view.
"""

from dataclasses import dataclass, field

from plantainstage._membership.heartbeats import Heartbeats
from plantainstage._membership.leases import FENCE_S, EntryLeases, process_of
from plantainstage._messages.control import ClaimOutcomeKind

# The reconciliation task runs every 100 ms. After a gap longer than this the process
# itself was paused, and silence in that time says nothing about other processes.
PAUSE_THRESHOLD_S = 1.0


@dataclass(frozen=True, kw_only=True)
class PlanKey:
    """The inputs of an ownership plan."""

    version: int
    hosts: tuple[str, ...]


@dataclass(kw_only=True)
class LeaderView:
    """Leases, heartbeats and running claims as this leader knows them.

    ``baseline`` is the start of the term, or the end of the last pause of this
    process. ``expiring`` holds the entry hosts whose removal is being committed, and
    ``in_force_since`` when each version with a retired deadline was first seen in
    force.
    """

    term: int
    started_at: float
    leases: EntryLeases
    heartbeats: Heartbeats
    last_tick: float
    baseline: float
    expiring: set[str] = field(default_factory=set)
    claim_deadlines: dict[str, float] = field(default_factory=dict)
    in_force_since: dict[int, float] = field(default_factory=dict)
    plan_key: PlanKey | None = None
    plan: dict[str, str] = field(default_factory=dict)

    @classmethod
    def begin(cls, *, term, state, now):
        """Returns the view of a leader whose term has just started."""
        return cls(
            term=term,
            started_at=now,
            leases=EntryLeases(
                started_at=now,
                registered=frozenset(
                    process_of(entry) for entry in state.entries.values()
                ),
            ),
            heartbeats=Heartbeats(baseline=now),
            last_tick=now,
            baseline=now,
        )

    def tick(self, now):
        """Records that the leader is running; detects a pause of its process."""
        if now - self.last_tick > PAUSE_THRESHOLD_S:
            self.baseline = now
            self.heartbeats.renew_all(now)
        self.last_tick = now

    def may_expire_hosts(self, now):
        """Whether enough time has passed since the baseline to expire silent hosts."""
        return now >= self.baseline + FENCE_S and self.leases.settled(now)

    def record_claim(self, *, request_id, deadline_ms, now):
        """Records until when a granted claim may be running."""
        self.claim_deadlines.setdefault(request_id, now + deadline_ms / 1000)

    def remove_claim(self, request_id):
        """Removes the deadline of a claim whose outcome is known."""
        self.claim_deadlines.pop(request_id, None)

    def claim_in_progress(self, *, request_id, record, now):
        """Whether the holder of a running claim may still answer in time.

        A leader that did not grant the claim counts the deadline from the start of
        its term, since it does not know the time of the grant.
        """
        until = self.claim_deadlines.get(
            request_id, self.started_at + record.deadline_ms / 1000
        )
        return (
            record.outcome.kind is ClaimOutcomeKind.RUNNING
            and now < until
            and self.leases.may_hold(record.holder, now)
        )
