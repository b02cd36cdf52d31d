"""Which searcher of a service gets a request.

An entry host knows its own requests at a searcher, the times of their answers
and the load that answers report; other hosts send there too. The choice is the
least expected time, with the own data centre preferred. It answers these loads:
searchers of unequal speed, searchers that pause for a moment or turn slow, and
searchers that reject or fail requests while they call themselves healthy.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from plantainstage._serving.searchers import Searcher

# A searcher whose oldest request has taken so many times its expected time is
# taken to pause; it gets nothing new until it answers.
PAUSE_FACTOR = 2.5
MIN_PAUSE_S = 0.02
MIN_SLOWNESS_WEIGHT = 0.15  # weight of an answer soon after the one before
# An answer counts for more the older the last one is: in a tier of many hosts each
# hears of a searcher about once a second, and has to learn from one answer.
SLOWNESS_TIME_CONSTANT_S = 2.0
SLOWNESS_HALF_LIFE_S = 4.0  # a slow searcher that recovered is found again
MAX_SLOWNESS = 30.0
REPORT_VALIDITY_S = 0.25  # a reported load says nothing after this time
FAILURE_SHARE_STEP = 0.25
FAILURE_SHARE_HALF_LIFE_S = 1.5
# A request to another data centre costs bytes between them, which are dear.
REMOTE_PENALTY_SHARE = 0.6  # of the work time
REMOTE_PENALTY_S = 0.002
COLD_SLOWNESS = 1.6


@dataclass(kw_only=True)
class SearcherLoad:
    """What one entry host knows of the load at one searcher."""

    searcher: Searcher
    known_since: float
    sent: dict = field(default_factory=dict)  # call -> time, in order of sending
    slowness: float = 1.0  # time of its answers over the usual time
    slowness_at: float = 0.0
    failure_share: float = 0.0  # share of lately rejected or failed requests
    failure_share_at: float = 0.0
    reported_busy: int = 0
    reported_at: float = float("-inf")
    avoided_until: float = float("-inf")

    # ---- Queries ------------------------------------------------------------------

    @property
    def in_flight(self):
        """The number of this host's requests at the searcher."""
        return len(self.sent)

    def current_slowness(self, now):
        """Returns the slowness, which fades while nothing is heard."""
        decay = math.exp2(-(now - self.slowness_at) / SLOWNESS_HALF_LIFE_S)
        slowness = math.exp(math.log(self.slowness) * decay)
        warm_at = self.known_since + self.searcher.warm_up_ms / 1000
        return max(slowness, COLD_SLOWNESS) if now < warm_at else slowness

    def current_failure_share(self, now):
        """Returns the share of rejected or failed requests, fading with time."""
        return self.failure_share * math.exp2(
            -(now - self.failure_share_at) / FAILURE_SHARE_HALF_LIFE_S
        )

    def busy(self, now):
        """Returns how many requests are likely to be at the searcher now."""
        age = now - self.reported_at
        if age >= REPORT_VALIDITY_S:
            return float(self.in_flight)
        fresh = 1.0 - age / REPORT_VALIDITY_S
        return max(self.in_flight, self.reported_busy * fresh)

    def seems_paused(self, now, work_s):
        """Whether the oldest request has been out for far longer than usual."""
        if not self.sent:
            return False
        oldest = next(iter(self.sent.values()))
        usual = work_s * self.current_slowness(now)
        return now - oldest > max(MIN_PAUSE_S, PAUSE_FACTOR * usual)

    def expected_s(self, now, work_s, data_centre):
        """Returns the expected time until an answer to a request sent now."""
        slots = max(1, self.searcher.slots)
        work_s *= self.current_slowness(now)
        waiting = max(0.0, self.busy(now) + 1 - slots)
        expected = work_s * (1 + waiting / slots)
        expected += self.current_failure_share(now) * 4 * work_s
        if self.searcher.data_centre != data_centre:
            expected += REMOTE_PENALTY_S + REMOTE_PENALTY_SHARE * work_s
        return expected

    # ---- Events -------------------------------------------------------------------

    def started(self, call, now):
        """Notes a request that leaves for the searcher."""
        self.sent[call] = now

    def ended(self, call):
        """Notes that a request is over; returns when it was sent."""
        return self.sent.pop(call)

    def answered(self, *, elapsed_s, work_s, now):
        """Learns from an answer of the searcher."""
        ratio = min(MAX_SLOWNESS, max(0.1, elapsed_s / max(work_s, 1e-4)))
        current = self.current_slowness(now)
        decay = math.exp(-(now - self.slowness_at) / SLOWNESS_TIME_CONSTANT_S)
        weight = max(MIN_SLOWNESS_WEIGHT, 1.0 - decay)
        # In steps of the logarithm, so that one pause among many answers weighs little.
        self.slowness = current * math.exp(weight * math.log(ratio / current))
        self.slowness_at = now
        self._update_failure_share(0.0, now)

    def reported(self, *, running, waiting, now):
        """Takes the load that an answer reports."""
        self.reported_busy, self.reported_at = running + waiting, now

    def failed(self, now):
        """Learns from a request that was rejected or got no answer."""
        self._update_failure_share(1.0, now)

    def avoid(self, until):
        """Sends nothing to the searcher before ``until`` if there is another."""
        self.avoided_until = max(self.avoided_until, until)

    def _update_failure_share(self, sample, now):
        current = self.current_failure_share(now)
        self.failure_share = current + FAILURE_SHARE_STEP * (sample - current)
        self.failure_share_at = now


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen searcher and when its answer is expected.

    ``shunned`` tells that it seems to pause or is to be avoided, and that there is
    no other.
    """

    load: SearcherLoad
    expected_s: float
    avoided: bool


def choose(
    loads: Iterable[SearcherLoad],
    *,
    now: float,
    work_s: float,
    data_centre: str,
) -> Choice | None:
    """Returns the searcher with the least expected time, or None without any.

    Searchers that seem to pause or are to be avoided come after all others.
    """
    best, best_rank = None, None
    for load in loads:
        avoided = now < load.avoided_until or load.seems_paused(now, work_s)
        rank = (avoided, load.expected_s(now, work_s, data_centre))
        if best_rank is None or rank < best_rank:
            best, best_rank = load, rank
    if best is None:
        return None
    return Choice(load=best, avoided=best_rank[0], expected_s=best_rank[1])
