"""Selects the searcher of a service that gets a request.

An entry host knows its own requests at a searcher, their latencies and the load
that replies report; other hosts send requests to the same searcher. The searcher
with the least expected latency is selected; searchers in other data centres carry a
penalty. This handles searchers of unequal speed, searchers that pause briefly or
become slow, and searchers that reject or fail requests while they report themselves
as healthy.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from plantainstage._serving.searcher_observations import SearcherTrouble
from plantainstage._serving.searchers import Searcher

# A searcher whose oldest request has taken this multiple of its expected time is
# considered paused; until it answers it ranks after all others.
PAUSE_FACTOR = 2.5
MIN_PAUSE_S = 0.02
MIN_SLOWNESS_WEIGHT = 0.15  # of an answer shortly after the previous one
# The weight of an answer grows with the time since the previous one: in a tier of
# many hosts, each of them gets an answer from a searcher about once a second and has
# to adjust its estimate after a single one.
SLOWNESS_TIME_CONSTANT_S = 2.0
# Decay without answers, so that a searcher that has recovered is selected again.
SLOWNESS_HALF_LIFE_S = 4.0
MAX_SLOWNESS = 30.0
REPORT_VALIDITY_S = 0.25  # a reported load is ignored after this time
FAILURE_SHARE_STEP = 0.25
FAILURE_SHARE_HALF_LIFE_S = 1.5
# Traffic between data centres is expensive.
REMOTE_PENALTY_SHARE = 0.6  # of the work time
REMOTE_PENALTY_S = 0.002
# A host whose own last outcome is newer than this relies on it, not on the others.
OWN_EVIDENCE_S = 0.5
TROUBLE_VALIDITY_S = 1.5  # without a word of control; hosts poll once a second or more
COLD_SLOWNESS = 1.6  # minimum slowness until the searcher has warmed up


@dataclass(kw_only=True)
class SearcherLoad:
    """One entry host's estimate of the load at a searcher."""

    searcher: Searcher
    known_since: float
    sent: dict = field(default_factory=dict)  # call -> send time, in send order
    slowness: float = 1.0  # ratio of its latency to the route's work time
    slowness_at: float = 0.0
    failure_share: float = 0.0  # of recent requests: rejected or failed
    failure_share_at: float = 0.0
    reported_busy: int = 0
    reported_at: float = float("-inf")
    avoided_until: float = float("-inf")
    trouble: SearcherTrouble | None = None  # as all hosts observe the searcher
    trouble_at: float = float("-inf")

    # ---- Queries ------------------------------------------------------------------

    @property
    def in_flight(self):
        """The number of this host's requests at the searcher."""
        return len(self.sent)

    def current_slowness(self, now):
        """Returns the slowness, which decays towards 1 while no answers arrive."""
        decay = math.exp2(-(now - self.slowness_at) / SLOWNESS_HALF_LIFE_S)
        slowness = math.exp(math.log(self.slowness) * decay)
        if self._relies_on_others(now):
            slowness = max(slowness, self.trouble.slowness)
        warm_at = self.known_since + self.searcher.warm_up_ms / 1000
        return max(slowness, COLD_SLOWNESS) if now < warm_at else slowness

    def current_failure_share(self, now):
        """Returns the share of rejected or failed requests, decayed over time."""
        share = self.failure_share * math.exp2(
            -(now - self.failure_share_at) / FAILURE_SHARE_HALF_LIFE_S
        )
        if self._relies_on_others(now):
            share = max(share, self.trouble.failure_share)
        return share

    def _relies_on_others(self, now):
        """Whether the other hosts know more of the searcher than this one."""
        if self.trouble is None or now - self.trouble_at > TROUBLE_VALIDITY_S:
            return False
        return self.trouble_at - self.failure_share_at > OWN_EVIDENCE_S

    def estimated_requests(self, now):
        """Returns the estimated number of requests at the searcher."""
        age = now - self.reported_at
        if age >= REPORT_VALIDITY_S:
            return float(self.in_flight)
        fresh = 1.0 - age / REPORT_VALIDITY_S
        return max(self.in_flight, self.reported_busy * fresh)

    def seems_paused(self, now, work_s):
        """Whether the oldest request has been pending for far longer than usual."""
        if not self.sent:
            return False
        oldest = next(iter(self.sent.values()))
        usual = work_s * self.current_slowness(now)
        return now - oldest > max(MIN_PAUSE_S, PAUSE_FACTOR * usual)

    def expected_s(self, now, work_s, data_centre):
        """Returns the expected latency of a request sent now."""
        slots = max(1, self.searcher.slots)
        work_s *= self.current_slowness(now)
        waiting = max(0.0, self.estimated_requests(now) + 1 - slots)
        expected = work_s * (1 + waiting / slots)
        expected += self.current_failure_share(now) * 4 * work_s
        if self.searcher.data_centre != data_centre:
            expected += REMOTE_PENALTY_S + REMOTE_PENALTY_SHARE * work_s
        return expected

    # ---- Events -------------------------------------------------------------------

    def started(self, call, now):
        """Records that a request is sent to the searcher."""
        self.sent[call] = now

    def ended(self, call):
        """Records that a request has ended; returns when it was sent."""
        return self.sent.pop(call)

    def answered(self, *, elapsed_s, work_s, now):
        """Updates the estimates from the latency of an answer."""
        ratio = min(MAX_SLOWNESS, max(0.1, elapsed_s / max(work_s, 1e-4)))
        current = self.current_slowness(now)
        decay = math.exp(-(now - self.slowness_at) / SLOWNESS_TIME_CONSTANT_S)
        weight = max(MIN_SLOWNESS_WEIGHT, 1.0 - decay)
        # Averages logarithms, so that one pause among many answers has little effect.
        self.slowness = current * math.exp(weight * math.log(ratio / current))
        self.slowness_at = now
        self._update_failure_share(0.0, now)

    def reported(self, *, running, waiting, now):
        """Records the load that a reply reports."""
        self.reported_busy, self.reported_at = running + waiting, now

    def failed(self, now):
        """Records that a request was rejected, failed or got no reply."""
        self._update_failure_share(1.0, now)

    def observed_by_all(self, trouble: SearcherTrouble | None, now: float):
        """Records what all hosts observe of the searcher, None if it is sound."""
        self.trouble, self.trouble_at = trouble, now

    def avoid(self, until):
        """Prefers other searchers until ``until``."""
        self.avoided_until = max(self.avoided_until, until)

    def _update_failure_share(self, sample, now):
        current = self.current_failure_share(now)
        self.failure_share = current + FAILURE_SHARE_STEP * (sample - current)
        self.failure_share_at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A searcher that may get a request, and the time to connect to it first.

    ``connect_s`` is 0 if a connection is idle.
    """

    load: SearcherLoad
    connect_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The selected searcher and its expected latency.

    ``avoided`` is set if the searcher seems to be paused or is to be avoided, and no
    other one is available.
    """

    load: SearcherLoad
    expected_s: float
    avoided: bool


def choose(
    candidates: Iterable[Candidate],
    *,
    now: float,
    work_s: float,
    data_centre: str,
) -> Choice | None:
    """Returns the searcher with the least expected latency, or None if there is none.

    Searchers that seem to be paused or are to be avoided rank after all others. The
    time to open a connection counts, so that a host with few requests stays with the
    searchers to which it is connected.
    """
    best, best_rank = None, None
    for candidate in candidates:
        load = candidate.load
        avoided = now < load.avoided_until or load.seems_paused(now, work_s)
        expected_s = candidate.connect_s + load.expected_s(now, work_s, data_centre)
        rank = (avoided, expected_s)
        if best_rank is None or rank < best_rank:
            best, best_rank = load, rank
    if best is None:
        return None
    return Choice(load=best, avoided=best_rank[0], expected_s=best_rank[1])
