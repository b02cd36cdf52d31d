"""A randomised run of the quarantine of routed requests, in virtual time.

One request ends each searcher that runs it and is sent again and again to random hosts,
beside harmless requests. Searchers also end by themselves, connections break although
their searcher lives on, hosts and replicas of control restart, and polls get lost.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from plantainstage._registry.crash_register import CrashRegister
from plantainstage._serving.crash_evidence import CrashEvidence
from plantainstage._serving.crash_reports import suspicion_digest

CRASHING = "crashing"
STABLE_WINDOW_S = 4.0
POLL_S = 0.35
PEER_POLL_S = 0.2
LOST_POLLS = 0.1
RUN_BEFORE_END_S = 0.02
WORK_S = 0.05
DOWN_S = 2.0
CHECK_S = 0.03  # from a break to the verdict
SLOW_VERDICTS = 0.1  # that need the announcement of the next start
RESEND_S = 0.2
OWN_END_GAP_S = 1.5  # mean time between ends of searchers for other reasons
POPULAR = 40  # fingerprints that many callers send


@dataclass(kw_only=True)
class Host:
    """One entry host, with what it has from its replica."""

    number: int
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    digest: int = 0
    confirmed: tuple = (None, 0)  # register and number
    restarted_at: float = float("-inf")


@dataclass(kw_only=True)
class SimulatedSearcher:
    """One searcher; ``running`` has the requests that it runs now."""

    number: int
    started: int = 0
    is_up: bool = True
    running: set = field(default_factory=set)

    @property
    def start(self):
        return (f"s-{self.number}", self.started)


@dataclass(frozen=True, kw_only=True, eq=False)
class Run:
    """One call of a request at a searcher."""

    number: int
    host: Host
    evidence: CrashEvidence  # of the host's process that sent it
    fingerprint: str
    may_repeat: bool


class CrashRun:
    """Runs ``hosts`` hosts and ``searchers`` searchers of one service."""

    def __init__(
        self, *, hosts, searchers, harmless_per_s, crashing_per_s, faults, seed
    ):
        self.random = random.Random(seed)
        self.hosts = [Host(number=number) for number in range(hosts)]
        self.searchers = [SimulatedSearcher(number=n) for n in range(searchers)]
        self.registers = [CrashRegister() for _ in range(3)]
        self.peer_numbers = {}  # (reader, register) -> number
        self.harmless_per_s = harmless_per_s
        self.crashing_per_s = crashing_per_s
        self.faults = faults
        self.own_end_gap_s = OWN_END_GAP_S
        self.queue = []
        self.order = itertools.count()
        self.now = 0.0
        self.ends = []  # by the crashing request
        self.late_arrivals = 0
        self.counts = Counter()

    # ---- Running ------------------------------------------------------------------

    def run(self, seconds):
        """Runs for ``seconds`` of virtual time."""
        self._every(1 / self.harmless_per_s, self._send_harmless)
        self._every(1 / self.crashing_per_s, self._send_crashing)
        for host in self.hosts:
            self._at(self.random.random() * POLL_S, lambda host=host: self._poll(host))
        self._every(PEER_POLL_S, self._sync_replicas)
        if self.faults:
            self._every(self.own_end_gap_s, self._end_a_searcher)
            self._every(0.5, self._break_a_connection)
            self._every(12.0, self._restart_a_host)
            self._every(25.0, self._restart_a_replica)
        while self.queue and self.queue[0][0] < seconds:
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def _at(self, delay_s, action):
        heapq.heappush(self.queue, (self.now + delay_s, next(self.order), action))

    def _every(self, mean_s, action):
        def act():
            action()
            self._at(self.random.expovariate(1 / mean_s), act)

        self._at(self.random.expovariate(1 / mean_s), act)

    # ---- Requests -----------------------------------------------------------------

    def _send_harmless(self):
        name = f"popular-{self.random.randrange(POPULAR)}"
        if self.random.random() < 0.5:
            name = f"rare-{next(self.order)}"
        self.counts["harmless"] += 1
        self._first_call(name, resends=1)

    def _send_crashing(self):
        self._first_call(CRASHING, resends=0)

    def _first_call(self, fingerprint, resends):
        host = self.random.choice(self.hosts)
        if host.evidence.remaining_s(fingerprint, self.now):
            if fingerprint != CRASHING:
                self.counts["refused"] += 1
            return
        self._send(host, fingerprint, may_repeat=True)
        if resends and self.random.random() < 0.3:
            self._at(RESEND_S, lambda: self._first_call(fingerprint, resends - 1))

    def _send(self, host, fingerprint, may_repeat):
        up = [searcher for searcher in self.searchers if searcher.is_up]
        if not up:
            return
        searcher = self.random.choice(up)
        run = Run(
            number=next(self.order),
            host=host,
            evidence=host.evidence,
            fingerprint=fingerprint,
            may_repeat=may_repeat,
        )
        searcher.running.add(run)
        if fingerprint == CRASHING:
            self._count_arrival(host)
            start = searcher.start
            self._at(RUN_BEFORE_END_S, lambda: self._end_by_request(searcher, start))
        else:
            work_s = self.random.expovariate(1 / WORK_S)
            self._at(work_s, lambda: self._answer(searcher, run))

    def _count_arrival(self, host):
        self.counts["arrivals"] += 1
        if len(self.ends) < 3 or self.now - host.restarted_at < STABLE_WINDOW_S:
            return
        if self.now - self.ends[2] > STABLE_WINDOW_S:
            self.late_arrivals += 1

    def _answer(self, searcher, run):
        if run not in searcher.running:
            return
        searcher.running.discard(run)
        if run.evidence is run.host.evidence:
            run.evidence.record_alive(searcher.start, self.now - RUN_BEFORE_END_S)
            run.evidence.record_answer(run.fingerprint, self.now)

    # ---- Ends of searchers --------------------------------------------------------

    def _end_by_request(self, searcher, start):
        if searcher.is_up and searcher.start == start:
            self.ends.append(self.now)
            self._end(searcher)

    def _end_a_searcher(self):
        up = [searcher for searcher in self.searchers if searcher.is_up]
        if up:
            self.counts["own ends"] += 1
            self._end(self.random.choice(up))

    def _end(self, searcher):
        start = searcher.start
        broken, searcher.running = searcher.running, set()
        searcher.is_up = False
        for run in sorted(broken, key=lambda run: run.number):
            self._break(run, start)
        for evidence in {id(run.evidence): run.evidence for run in broken}.values():
            slow = self.random.random() < SLOW_VERDICTS
            delay_s = DOWN_S + POLL_S if slow else CHECK_S
            self._at(delay_s, lambda e=evidence: e.record_end(start, self.now))
        self._at(DOWN_S, lambda: self._start(searcher))

    def _break(self, run, start):
        if run.evidence is not run.host.evidence:
            return
        run.evidence.record_broken(run.fingerprint, start, self.now)
        if run.may_repeat and run.evidence.may_repeat(run.fingerprint, self.now):
            self._send(run.host, run.fingerprint, may_repeat=False)

    def _start(self, searcher):
        searcher.started += 1
        searcher.is_up = True

    # ---- Other faults -------------------------------------------------------------

    def _break_a_connection(self):
        """Breaks one run at a searcher that lives on."""
        busy = [searcher for searcher in self.searchers if searcher.running]
        if not busy:
            return
        searcher = self.random.choice(busy)
        run = min(searcher.running, key=lambda run: run.number)
        if run.fingerprint != CRASHING:
            searcher.running.discard(run)
            self._break(run, searcher.start)

    def _restart_a_host(self):
        host = self.random.choice(self.hosts)
        host.evidence = CrashEvidence()
        host.digest = 0
        host.confirmed = (None, 0)
        host.restarted_at = self.now

    def _restart_a_replica(self):
        number = self.random.randrange(len(self.registers))
        self.registers[number] = CrashRegister()

    # ---- Control ------------------------------------------------------------------

    def _poll(self, host):
        self._at(POLL_S, lambda: self._poll(host))
        host.evidence.expire(self.now)
        register = self.registers[host.number % len(self.registers)]
        known, number = host.confirmed
        reports, last = host.evidence.reports_after(number, self.now)
        if self.faults and self.random.random() < LOST_POLLS:
            return
        register.record_from_host(reports, self.now)
        suspected = register.suspected_unless(host.digest, self.now)
        if self.faults and self.random.random() < LOST_POLLS:
            return
        host.confirmed = (register, last if known in (None, register) else 0)
        if suspected is not None:
            host.digest = suspicion_digest(suspected)
            host.evidence.apply_suspected(suspected, self.now)

    def _sync_replicas(self):
        for reader, register in itertools.permutations(self.registers, 2):
            key = (id(reader), id(register))
            number = self.peer_numbers.get(key, 0)
            reports, last = register.reports_after(number, self.now)
            reader.record_from_replica(reports, self.now)
            self.peer_numbers[key] = last
