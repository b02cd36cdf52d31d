"""What entry hosts observe of searchers, and which searchers are in trouble by that.

Load: a tier of so many hosts that each one gets an answer of a searcher less than once
a second, while searchers turn slow or reject requests for some seconds. A host by
itself notices only when most of that time is over. So hosts report their observations
to the control replica that they poll; a replica adds up what all hosts report and tells
them which searchers are in trouble.
"""

import math
from collections import defaultdict, deque
from collections.abc import Iterable

import msgspec
import xxhash

# A searcher that pauses for a moment delays only the few requests of that moment, so
# that an average over this time hardly shows it.
WINDOW_S = 1.0
MIN_OBSERVATIONS = 3  # of a searcher, before it counts as in trouble
TROUBLE_SLOWNESS = 2.5  # as a multiple of the usual latency
TROUBLE_FAILURE_SHARE = 0.25
SUSPECTED_SLOWNESS = 1.8  # from which replicas tell each other
MAX_LOG_SLOWNESS = 10.0  # keeps sums of a faulty sender finite
REFRESH_S = 0.1  # hundreds of hosts poll a replica, each several times a second
MAX_REPORTS = 20_000  # kept at a replica; a host sends about three a second
MAX_OBSERVED = 1024  # searchers in one report


class SearcherObservation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one host observed of a searcher between two polls.

    ``log_slowness`` is the sum over the ``answers`` of the logarithm of their latency,
    as a multiple of the usual latency of their route.
    """

    searcher_id: str
    answers: int = 0
    failures: int = 0
    log_slowness: float = 0.0

    @property
    def slowness(self) -> float:
        """The mean latency of the answers, as a multiple of the usual one."""
        if not self.answers:
            return 1.0
        return math.exp(min(MAX_LOG_SLOWNESS, self.log_slowness / self.answers))

    @property
    def failure_share(self) -> float:
        """The share of the requests that were rejected or failed."""
        return self.failures / max(1, self.answers + self.failures)

    @property
    def is_in_trouble(self) -> bool:
        """Whether the searcher is much slower or fails much more than usual."""
        is_slow = self.slowness >= TROUBLE_SLOWNESS
        return is_slow or self.failure_share >= TROUBLE_FAILURE_SHARE

    @property
    def is_suspected(self) -> bool:
        """Whether the searcher may be in trouble, if others observe the same."""
        return self.failures > 0 or self.slowness >= SUSPECTED_SLOWNESS

    def plus(self, other: "SearcherObservation") -> "SearcherObservation":
        """Returns the sum of two observations of the same searcher."""
        return SearcherObservation(
            searcher_id=self.searcher_id,
            answers=self.answers + other.answers,
            failures=self.failures + other.failures,
            log_slowness=round(self.log_slowness + other.log_slowness, 2),
        )


class SearcherTrouble(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A searcher in trouble, as all hosts observe it.

    ``slowness`` is the latency of its answers as a multiple of the usual one and
    ``failure_share`` the share of its requests that were rejected or failed.
    """

    searcher_id: str
    slowness: float
    failure_share: float


class ObservationLog:
    """Observations of one host since its last poll."""

    def __init__(self):
        self.answers = defaultdict(list)  # searcher id -> logarithms of the slowness
        self.failures = defaultdict(int)

    def record_answer(self, searcher_id: str, slowness: float):
        """Records the latency of an answer, as a multiple of the usual one."""
        self.answers[searcher_id].append(math.log(slowness))

    def record_failure(self, searcher_id: str):
        """Records that a request was rejected, failed or got no reply."""
        self.failures[searcher_id] += 1

    def take(self) -> tuple[SearcherObservation, ...]:
        """Returns the observations since the last call."""
        observed = sorted({*self.answers, *self.failures})[:MAX_OBSERVED]
        taken = tuple(
            SearcherObservation(
                searcher_id=searcher_id,
                answers=len(self.answers.get(searcher_id, ())),
                failures=self.failures.get(searcher_id, 0),
                log_slowness=round(sum(self.answers.get(searcher_id, ())), 2),
            )
            for searcher_id in observed
        )
        self.answers.clear()
        self.failures.clear()
        return taken


class SearcherTroubles:
    """Adds up the observations of all hosts over the last ``WINDOW_S`` seconds.

    One replica hears the hosts that poll it, and from each other replica the sums of
    its hosts. For example, three slow answers to three hosts show a slow searcher::

        troubles.record(observations_of_a_host, now=10.0)
        troubles.record_sums("10.0.0.2:8101", sums_of_a_replica, now=10.1)
        troubles.current(now=10.2)
    """

    def __init__(self):
        self.heard = deque()  # (time, observations) of one report each
        self.sums_of_replicas = {}  # address -> (time, sums)
        self.troubles = ()
        self.added_up_at = float("-inf")

    # ---- Commands -----------------------------------------------------------------

    def record(self, observations: tuple[SearcherObservation, ...], now: float):
        """Records the report of a host."""
        if observations:
            self.heard.append((now, observations))
            if len(self.heard) > MAX_REPORTS:
                self.heard.popleft()

    def record_sums(
        self, address: str, sums: tuple[SearcherObservation, ...], now: float
    ):
        """Records the sums of another replica, which replace its earlier ones."""
        self.sums_of_replicas[address] = (now, sums)

    # ---- Queries ------------------------------------------------------------------

    def sums(self, now: float) -> tuple[SearcherObservation, ...]:
        """Returns the sums of the own hosts for searchers that may be in trouble."""
        own = self._own_sums(now)
        suspected = [total for total in own.values() if total.is_suspected]
        return tuple(suspected[:MAX_OBSERVED])

    def current(self, now: float) -> tuple[SearcherTrouble, ...]:
        """Returns the searchers in trouble, by id, added up REFRESH_S ago at most."""
        if now - self.added_up_at >= REFRESH_S:
            self.troubles = self._add_up(now)
            self.added_up_at = now
        return self.troubles

    def _add_up(self, now):
        totals = self._own_sums(now)
        for heard_at, sums in self.sums_of_replicas.values():
            if now - heard_at <= WINDOW_S:
                _add(totals, sums)
        if not totals:
            return ()
        troubles = map(_trouble, (totals[name] for name in sorted(totals)))
        return tuple(trouble for trouble in troubles if trouble is not None)

    def _own_sums(self, now):
        while self.heard and now - self.heard[0][0] > WINDOW_S:
            self.heard.popleft()
        totals = {}
        for _, observations in self.heard:
            _add(totals, observations)
        return totals


def troubles_digest(troubles: Iterable[SearcherTrouble]) -> int:
    """Returns a hash of troubles, 0 for none."""
    encoded = msgspec.json.encode(tuple(troubles))
    return 0 if encoded == b"[]" else xxhash.xxh32_intdigest(encoded)


def _add(totals, observations):
    for observed in observations:
        known = totals.get(observed.searcher_id)
        totals[observed.searcher_id] = observed.plus(known) if known else observed


def _trouble(total):
    if total.answers + total.failures < MIN_OBSERVATIONS:
        return None
    if not total.is_in_trouble:
        return None
    return SearcherTrouble(
        searcher_id=total.searcher_id,
        slowness=round(max(1.0, total.slowness), 1),
        failure_share=round(total.failure_share, 1),
    )
