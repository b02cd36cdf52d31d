"""Entry hosts, the leader's ledger and faults between them, in virtual time.

The ledger and the permits are the real ones. Messages are lost, delayed and sent twice;
hosts are cut off, killed and suspended; leaders change; quotas change.
"""

import heapq
import itertools
import random
from bisect import bisect_left
from dataclasses import dataclass, field

from plantainstage._messages.serving import AccountsReply
from plantainstage._serving import quota_permits
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.configuration import ClientAccount
from plantainstage._serving.quota_ledger import QuotaLedger
from plantainstage._serving.quota_permits import (
    Admitted,
    QuotaPermits,
    Refused,
    Waiting,
)

ACCOUNT = "acme"
CONFIRMATION_S = 0.15  # for how long a confirmation of leadership is used
ROUND_TRIP_S = 0.002  # of a confirmation
ELECTION_S = 0.6
FIND_LEADER_S = 0.4  # until a host hears of a new leader
SPLIT_S = 14.0
SURGE = 5.0
SURGE_S = 6.0
QUEUED = 40  # callers of each suspended host when it goes on
LONGEST_FAULT_S = 12.0
SETTLED_S = 9.0  # after a fault, until requests within the quota are admitted again
CONFIGURATION_S = 4.0  # until a configuration is in force at all hosts


@dataclass(kw_only=True)
class Faults:
    """Which faults a run has; each happens about every ``every_s`` seconds."""

    kinds: tuple[str, ...] = ()
    every_s: float = 4.0
    loss: float = 0.0
    late: float = 0.0  # share of messages that arrive up to 6 s late
    twice: float = 0.0


@dataclass(kw_only=True)
class Rules:
    """The classes and the rules in force; tests of mutations replace some."""

    ledger: type = QuotaLedger
    permits: type = QuotaPermits
    confirms: bool = True
    counts_suspended_time: bool = True


@dataclass(kw_only=True)
class Waiter:
    """A request that waits at a host."""

    arrived_at: float
    within_quota: bool


@dataclass(kw_only=True)
class Refusal:
    """A refused request."""

    at: float
    within_quota: bool
    retry_after_s: float
    host: int


@dataclass(kw_only=True)
class HostModel:
    """An entry host with its link to the leader."""

    number: int
    offset_s: float  # of its clock
    permits: QuotaPermits
    leader: int = 0
    cut_until: float = 0.0
    suspended_until: float = 0.0
    suspended_s: float = 0.0
    pinned_until: float = 0.0  # to its leader, as it reaches no other
    is_stranded: bool = False  # its callers have moved to other hosts
    calling: int = 0  # the call in progress, 0 for none
    check_at: float = float("inf")
    waiters: list = field(default_factory=list)


@dataclass(kw_only=True)
class LeaderModel:
    """One leadership with its ledger."""

    ledger: QuotaLedger
    offset_s: float
    confirmed_at: float = float("-inf")
    is_cut: bool = False


class ReferenceBucket:
    """Tells whether a request is within a quota, over all hosts together."""

    def __init__(self, quota):
        self.quota = quota
        self.level = quota.burst_depth
        self.at = 0.0

    def take(self, now):
        earned = self.quota.rate_per_s * (now - self.at)
        self.level = min(self.quota.burst_depth, self.level + earned)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class QuotaRun:
    """A run; ``demand`` is the share of the quota that callers ask for.

    ``quotas`` are pairs of a start and a quota. ``shift_s`` is how often callers move
    to other hosts.
    """

    def __init__(
        self,
        *,
        hosts,
        quotas,
        demand,
        seed,
        run_s=60.0,
        shift_s=7.0,
        faults=None,
        rules=None,
        bounds=None,
    ):
        self.random = random.Random(seed)
        self.bounds = bounds or QuotaBounds()
        self.faults = faults or Faults()
        self.rules = rules or Rules()
        self.quotas = list(quotas)
        self.quota = self.quotas[0][1]
        self.demand = demand
        self.run_s = run_s
        self.shift_s = shift_s
        self.surge = 1.0  # factor on the demand
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.leaders = []
        self.faults_at = []
        self.runs = []
        self.refusals = []
        self.asked = 0
        self.waited = 0
        self.reports = 0
        self.reference = ReferenceBucket(self.quota)
        self._add_leader()
        # The configuration has its accounts from a change that this leader has seen.
        self.leaders[0].ledger.set_accounts({}, self._ledger_now(self.leaders[0]))
        self._configure_leader(self.leaders[0])
        self.hosts = [self._new_host(number) for number in range(hosts)]
        self.weights = []

    # ---- Running ------------------------------------------------------------------

    def run(self):
        self._shift()
        self._schedule(0.0, self._arrive)
        for at, quota in self.quotas[1:]:
            self._schedule(at, self._change_quota, quota)
        if self.faults.kinds:
            self._schedule(self.faults.every_s, self._fault)
        while self.events:
            self.now, _, step, arguments = heapq.heappop(self.events)
            if self.now > self.run_s:
                return
            step(*arguments)

    def _schedule(self, at, step, *arguments):
        heapq.heappush(self.events, (at, next(self.order), step, arguments))

    def _shift(self):
        """Moves callers: a few hosts get most of them."""
        self.weights = [self.random.paretovariate(1.0) for _ in self.hosts]
        if self.shift_s:
            self._schedule(self.now + self.shift_s, self._shift)

    # ---- Callers ------------------------------------------------------------------

    def _arrive(self):
        rate = self.quota.rate_per_s * self.demand * self.surge
        self._schedule(self.now + self.random.expovariate(rate), self._arrive)
        host = self.random.choices(self.hosts, self.weights)[0]
        self.asked += 1
        within = self.reference.take(self.now)
        self._at_host(host, self._admit, within)

    def _at_host(self, host, step, *arguments):
        """Runs a step at a host, later if the host is suspended."""
        if host.suspended_until > self.now:
            at = host.suspended_until
            self._schedule(at, self._at_host, host, step, *arguments)
        else:
            step(host, *arguments)

    def _admit(self, host, within):
        decision = host.permits.admit(ACCOUNT, self._clock(host))
        waiter = Waiter(arrived_at=self.now, within_quota=within)
        if isinstance(decision, Waiting):
            self.waited += 1
            host.waiters.append(waiter)
            limit = self.now + quota_permits.WAIT_S
            self._schedule(limit, self._at_host, host, self._give_up, waiter)
        else:
            self._decided(host, waiter, decision)
        self._check(host)

    def _give_up(self, host, waiter):
        if waiter in host.waiters:
            self._decide_waiting(host, waiter, is_last=True)

    def _decide_waiting(self, host, waiter, *, is_last=False):
        decision = host.permits.admit_waiting(
            ACCOUNT, self._clock(host), is_last=is_last
        )
        if not isinstance(decision, Waiting):
            host.waiters.remove(waiter)
            self._decided(host, waiter, decision)

    def _decided(self, host, waiter, decision):
        match decision:
            case Admitted():
                self.runs.append(self.now)
            case Refused(retry_after_s=retry_s):
                self.refusals.append(
                    Refusal(
                        at=self.now,
                        within_quota=waiter.within_quota,
                        retry_after_s=retry_s,
                        host=host.number,
                    )
                )

    # ---- Hosts --------------------------------------------------------------------

    def _new_host(self, number, permits_seed=None):
        permits = self.rules.permits(
            host_id=f"host-{number}",
            process=f"{self.random.random()}",
            bounds=self.bounds,
            seed=self.random.randrange(2**32),
        )
        permits.set_accounts({ACCOUNT: self.quota}, 0.0)
        return HostModel(
            number=number, offset_s=self.random.uniform(0, 1e6), permits=permits
        )

    def _clock(self, host):
        now = self.now + host.offset_s
        return now if self.rules.counts_suspended_time else now - host.suspended_s

    def _check(self, host):
        """Sends the next report when it is due."""
        if host.calling:
            return
        wait_s = host.permits.report_wait_s(self._clock(host))
        if wait_s is None:
            return
        at = self.now + wait_s
        if at < host.check_at:
            host.check_at = at
            self._schedule(at, self._at_host, host, self._checked, at)

    def _checked(self, host, at):
        if host.check_at != at:
            return
        host.check_at = float("inf")
        if host.calling:
            return
        wait_s = host.permits.report_wait_s(self._clock(host))
        if wait_s is None or wait_s > 1e-6:
            self._check(host)
            return
        self._send(host)

    def _send(self, host):
        request = host.permits.start_report(self._clock(host))
        call = host.calling = next(self.order) + 1
        self.reports += 1
        arguments = (host, call, request, host.leader)
        self._transmit(host, self._received, *arguments)
        limit = self.now + quota_permits.REPLY_LIMIT_S
        self._schedule(limit, self._at_host, host, self._timed_out, call)

    def _transmit(self, host, step, *arguments):
        """Delivers a message, unless the network loses it."""
        copies = 2 if self.random.random() < self.faults.twice else 1
        for copy in range(copies):
            if self.random.random() < self.faults.loss:
                continue
            delay_s = self.random.uniform(0.0005, 0.003)
            if copy:
                delay_s += self.random.uniform(0.0, 1.0)
            if self.random.random() < self.faults.late:
                delay_s += self.random.uniform(0.0, 6.0)
            self._schedule(self.now + delay_s, self._deliver, host, step, *arguments)

    def _deliver(self, host, step, *arguments):
        if host.cut_until <= self.now:
            step(*arguments)

    def _timed_out(self, host, call):
        if host.calling != call:
            return
        host.calling = 0
        host.permits.fail()
        host.leader = self._known_leader(host)
        self._check(host)

    def _replied(self, host, call, reply):
        if host.permits.apply_reply(reply, self._clock(host)):
            host.calling = 0
            for waiter in list(host.waiters):
                self._decide_waiting(host, waiter)
            host.permits.return_surplus()
        elif host.calling == call and not reply.ledger:
            host.calling = 0
            host.permits.fail()
            host.leader = self._known_leader(host)
        self._check(host)

    def _known_leader(self, host):
        """Returns the newest leader that a host has known for long enough."""
        if host.pinned_until > self.now:
            return host.leader
        newest = len(self.leaders) - 1
        return newest if self.now >= self.known_from else max(0, newest - 1)

    # ---- Leaders ------------------------------------------------------------------

    def _add_leader(self):
        offset_s = self.random.uniform(0, 1e6)
        ledger = self.rules.ledger(
            ledger_id=f"ledger-{len(self.leaders)}",
            bounds=self.bounds,
            now=self.now + offset_s,
        )
        self.leaders.append(LeaderModel(ledger=ledger, offset_s=offset_s))
        self.known_from = self.now + FIND_LEADER_S

    def _configure_leader(self, leader):
        accounts = {ACCOUNT: self.quota}
        leader.ledger.set_accounts(accounts, self._ledger_now(leader))

    def _ledger_now(self, leader):
        return self.now + leader.offset_s

    def _received(self, host, call, request, number):
        leader = self.leaders[number]
        if leader.is_cut and self.rules.confirms:
            return
        is_newest = leader is self.leaders[-1]
        is_fresh = self.now - leader.confirmed_at < CONFIRMATION_S
        if not is_fresh and self.rules.confirms:
            if not is_newest:
                reply = AccountsReply(number=request.number)
                self._transmit(host, self._at_host, host, self._replied, call, reply)
                return
            leader.confirmed_at = self.now
        grants = leader.ledger.report(request, self._ledger_now(leader))
        reply = AccountsReply(
            number=request.number, ledger=leader.ledger.ledger_id, grants=grants
        )
        self._transmit(host, self._at_host, host, self._replied, call, reply)

    def _elect(self):
        self._add_leader()
        self._configure_leader(self.leaders[-1])

    # ---- Faults -------------------------------------------------------------------

    def _fault(self):
        self._schedule(
            self.now + self.random.uniform(0.5, 1.5) * self.faults.every_s, self._fault
        )
        kind = self.random.choice(self.faults.kinds)
        self.faults_at.append(self.now)
        getattr(self, f"_fault_{kind}")()

    def _some_hosts(self):
        share = self.random.choice((0.1, 0.5, 1.0))
        count = max(1, round(share * len(self.hosts)))
        return self.random.sample(self.hosts, count)

    def _fault_cut(self):
        until = self.now + self.random.uniform(0.2, LONGEST_FAULT_S)
        for host in self._some_hosts():
            host.cut_until = max(host.cut_until, until)

    def _fault_suspend(self):
        for host in self._some_hosts():
            if host.suspended_until > self.now:
                continue
            length_s = self.random.uniform(0.2, LONGEST_FAULT_S)
            host.suspended_until = self.now + length_s
            host.suspended_s += length_s

    def _fault_kill(self):
        for host in self._some_hosts():
            fresh = self._new_host(host.number)
            fresh.leader = host.leader
            self.hosts[host.number] = fresh
            host.cut_until = float("inf")
            host.suspended_until = float("inf")

    def _fault_leader(self):
        """Elects a new leader, and others soon after it."""
        for number in range(self.random.choice((1, 1, 2, 3))):
            self._schedule(self.now + ELECTION_S * (number + 1), self._elect)

    def _fault_lost_leader(self):
        """Cuts off the leader; without confirmation it would not notice."""
        self.leaders[-1].is_cut = self.random.random() < 0.5
        self._schedule(self.now + ELECTION_S, self._elect)

    def strand(self, at, until, *, groups, suspended):
        """Strands hosts with their permits, one group after the other, until a surge.

        Callers come to a group before it is stranded, so that it holds permits, and
        then to the next one. At ``until`` they come back to all hosts, more than the
        quota allows.
        """
        shuffled = self.random.sample(self.hosts, len(self.hosts))
        length_s = (until - at) / groups
        for number in range(groups):
            group = shuffled[number :: groups + 1]
            began_at = at + number * length_s
            self._schedule(began_at, self._gather_callers, group)
            # The leader grants the whole rate again once reservations have ended.
            stranded_at = began_at + 0.3 * length_s
            self._schedule(stranded_at, self._strand, group, until, suspended)
        self._schedule(until - 0.01, self._begin_surge)
        self._schedule(until + SURGE_S, self._end_surge)

    def _gather_callers(self, group):
        self.weights = [0.0] * len(self.hosts)
        for host in group:
            self.weights[host.number] = 1.0

    def _strand(self, group, until, suspended):
        self.faults_at.append(self.now)
        for host in group:
            host.is_stranded = True
            if suspended:
                host.suspended_until = until
                host.suspended_s += until - self.now
            else:
                host.cut_until = until + SURGE_S

    def _begin_surge(self):
        """Sends callers to all hosts; those of suspended hosts are queued there."""
        self.surge = SURGE
        self.weights = [1.0] * len(self.hosts)
        for host in self.hosts:
            for _ in range(QUEUED if host.is_stranded else 0):
                self.asked += 1
                self._at_host(host, self._admit, False)
            host.is_stranded = False

    def _end_surge(self):
        self.surge = 1.0

    def _fault_split(self):
        """Elects a new leader while half of the hosts reach only the old one."""
        for host in self.random.sample(self.hosts, len(self.hosts) // 2):
            host.pinned_until = self.now + ELECTION_S + SPLIT_S
        self._schedule(self.now + ELECTION_S, self._elect)

    def _change_quota(self, quota):
        """Changes the quota at the leader, and within 4 s at the hosts."""
        self.quota = quota
        self.reference = ReferenceBucket(quota)
        self.reference.at = self.now
        self._configure_leader(self.leaders[-1])
        for host in self.hosts:
            at = self.now + self.random.uniform(0.0, CONFIGURATION_S)
            self._schedule(at, self._at_host, host, self._configure_host, quota)

    def _configure_host(self, host, quota):
        host.permits.set_accounts({ACCOUNT: quota}, self._clock(host))

    # ---- Checks -------------------------------------------------------------------

    def _limit_of(self, start, end):
        """Returns the bound of a window, the largest of the quotas in force in it."""
        limits = []
        ends = [at for at, _ in self.quotas[1:]] + [float("inf")]
        for (began_at, quota), ended_at in zip(self.quotas, ends, strict=True):
            # All hosts are connected 4 s after the change; one window later it holds.
            settled_at = ended_at + CONFIGURATION_S + self.bounds.window_s
            if began_at <= end and start < settled_at:
                limits.append(bound_of(quota, self.bounds))
        return max(limits)

    def counted_too_often(self):
        """Returns how many more requests a ledger has counted than callers sent."""
        return max(
            sum(total.asked for total in leader.ledger.totals.values()) - self.asked
            for leader in self.leaders
        )

    def excess(self):
        """Returns by how much the busiest window exceeds the bound; below 0 is well."""
        worst = float("-inf")
        for index, end in enumerate(self.runs):
            start = end - self.bounds.window_s
            first = bisect_left(self.runs, start)
            worst = max(worst, index - first + 1 - self._limit_of(start, end))
        return worst

    def refused_in_vain(self):
        """Returns the refusals within the quota that no fault explains."""
        faults = self.faults_at
        explained_s = LONGEST_FAULT_S + SETTLED_S
        return [
            refusal
            for refusal in self.refusals
            if refusal.within_quota
            and not any(at <= refusal.at < at + explained_s for at in faults)
        ]


def bound_of(quota, bounds):
    """Returns how many requests searchers may run in a window."""
    window = quota.rate_per_s * bounds.window_s + quota.burst
    return window * (1.0 + bounds.overage) + bounds.slack


def quota_of(rate, burst):
    return ClientAccount(name=ACCOUNT, rate_per_s=rate, burst=burst)
