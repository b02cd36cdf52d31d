"""Entry hosts, searchers, operators and callers around a simulated group."""

import itertools

from plantainstage._messages import configuration, control
from support.membership_world import call

RENEW_S = 0.4
UPSTREAMS = tuple(
    f"p{partition}-{replica}" for partition in (1, 2) for replica in (1, 2)
)
DEADLINES_MS = (100, 500, 2000)


class Checks:
    """Invariants over all hosts together."""

    def __init__(self, world):
        self.world = world
        self.in_force = 0
        self.running = {}
        self.verdicts = {}
        self.runs = {}

    def version_in_use(self, host):
        assert host.applied.version >= self.in_force, (
            f"{host.name} acts on {host.applied.version}, but {self.in_force} was "
            "reported in force on all hosts"
        )

    def sending(self, host, upstream_id, until):
        """Checks that no other process has work on the searcher at the same time."""
        running = self.running.setdefault(upstream_id, {})
        for process, end in tuple(running.items()):
            if end <= self.world.now:
                del running[process]
        others = [process for process in running if process != host.process]
        assert not others, f"{host.process} and {others} send to {upstream_id}"
        running[host.process] = max(until, running.get(host.process, 0.0))

    def has_work(self, host, upstream_id):
        end = self.running.get(upstream_id, {}).get(host.process, 0.0)
        return end > self.world.now

    def verdict(self, verdict):
        first = self.verdicts.setdefault(verdict.change.number, verdict)
        assert first == verdict, f"two verdicts: {first} and {verdict}"


class Host:
    """An entry host that follows docs/design.md, section 7.2; its clock has a rate error."""

    def __init__(self, world, group, checks, name):
        self.world = world
        self.group = group
        self.checks = checks
        self.name = name
        self.starts = itertools.count(1)
        self.rate = world.random.uniform(0.955, 1.045)
        self.frozen_until = 0.0
        self.disconnected_until = 0.0
        self.start()
        world.schedule(world.random.uniform(0, RENEW_S), self.tick)

    def start(self):
        """Starts the process with empty memory."""
        self.process = f"{self.name}/{next(self.starts)}"
        self.applied = configuration.Configuration(version=0)
        self.lease_until = 0.0
        self.leaving = False

    @property
    def clock(self):
        return self.world.now * self.rate

    @property
    def frozen(self):
        return self.world.now < self.frozen_until

    def disconnected(self):
        return self.world.now < self.disconnected_until or self.frozen

    def record(self):
        return configuration.EntryHost(
            entry_id=self.name,
            incarnation=self.process,
            data_centre="upper-canal",
            caller_address="127.0.0.1:7200",
            forward_address="127.0.0.1:7300",
        )

    def tick(self):
        """Renews the lease and sends; a frozen host does neither."""
        self.world.schedule(RENEW_S / self.rate / 4, self.tick)
        if self.frozen:
            return
        if self.leaving:
            self.leave()
            return
        if self.world.random.random() < 0.25:
            self.renew()
        self.send()

    def owned(self):
        return {item.upstream_id: item for item in self.applied.ownerships}

    def renew(self):
        sent_at = self.clock
        process = self.process
        owned = self.owned()
        releasing = tuple(
            name
            for name in UPSTREAMS
            if self.checks.has_work(self, name)
            and (name not in owned or owned[name].entry_id != self.name)
        )
        request = control.RenewEntryLease(
            entry=self.record(),
            applied_version=self.applied.version,
            releasing=releasing,
            draining=self.leaving,
        )

        def granted(reply):
            if self.process != process or not isinstance(reply, control.LeaseGranted):
                return
            if self.clock >= sent_at + reply.lease_ms / 1000:
                return
            newer = reply.configuration
            if newer is not None and newer.version > self.applied.version:
                self.applied = newer
            # A grant counts only once its version is applied.
            if self.applied.version >= reply.version:
                self.lease_until = max(
                    self.lease_until, sent_at + reply.lease_ms / 1000
                )
                self.checks.version_in_use(self)

        call(self.world, self.group, request, granted, disconnected=self.disconnected)

    def send(self):
        """Sends to a random searcher if lease and ownership allow it."""
        if self.clock >= self.lease_until:
            return
        self.checks.version_in_use(self)
        name = self.world.random.choice(UPSTREAMS)
        ownership = self.owned().get(name)
        if ownership is None or not ownership.active:
            return
        if ownership.entry_id != self.name or not self.applied.profiles:
            return
        self.world.count("sub-request")
        profile = self.world.random.choice(self.applied.profiles)
        duration = self.world.random.uniform(0.001, profile.deadline_ms / 1000)
        self.checks.sending(self, name, self.world.now + duration / self.rate)

    def inject_fault(self):
        """Freezes, disconnects or restarts the host, or lets it leave."""
        match self.world.random.randrange(4):
            case 0:
                self.world.count("host frozen")
                self.frozen_until = self.world.now + self.world.random.uniform(0.1, 8)
            case 1:
                self.world.count("host cut")
                self.disconnected_until = self.world.now + self.world.random.uniform(
                    0.1, 8
                )
            case 2:
                self.world.count("host restarted")
                self.start()
            case 3:
                self.world.count("host leaves")
                self.leaving = True

    def leave(self):
        """Gives the lease back once nothing is in flight, then starts a new process."""
        if any(self.checks.has_work(self, name) for name in UPSTREAMS):
            self.renew()
            return
        self.lease_until = 0.0
        process = self.process
        request = control.RenewEntryLease(
            entry=self.record(),
            applied_version=self.applied.version,
            draining=True,
            leaving=True,
        )

        def left(reply):
            if self.process == process and isinstance(reply, control.Done):
                self.start()

        call(self.world, self.group, request, left, disconnected=self.disconnected)


def announce(world, group):
    """Announces all searchers; one may restart, and the manifest may conflict."""
    changing = world.random.choice(UPSTREAMS)
    upstreams = []
    for name in UPSTREAMS:
        partition = name.partition("-")[0]
        changed = name == changing and world.random.random() < 0.05
        upstreams.append(
            configuration.Upstream(
                upstream_id=name,
                incarnation=f"{name}-{int(world.now) // 40 if changed else 0}",
                address="127.0.0.1:7400",
                data_centre="upper-canal",
                index="ditch-turns",
                slots=3,
                connections=30,
                holdings=(
                    configuration.SnapshotHolding(
                        snapshot="s1", partitions=(partition,)
                    ),
                ),
            )
        )
    documents = {"p1": 10, "p2": 20 if world.random.random() < 0.95 else 21}
    manifest = configuration.Manifest(
        index="ditch-turns", snapshot="s1", sequence=1, documents=documents
    )
    if world.random.random() < 0.9:
        request = control.AnnounceUpstreams(
            upstreams=tuple(upstreams), manifests=(manifest,)
        )
        call(world, group, request, lambda reply: None)


class Operators:
    """Operators who resend changes and submit different ones under the same number."""

    def __init__(self, world, group, checks):
        self.world = world
        self.group = group
        self.checks = checks
        self.sent = []
        self.next_number = 1

    def act(self):
        random = self.world.random
        if self.sent and random.random() < 0.4:
            self.world.count("change resent")
            change = random.choice(self.sent[-20:])
        else:
            body = control.PublishProfile(
                profile=configuration.Profile(
                    name=random.choice(("rider-gate", "ward")),
                    index="ditch-turns",
                    deadline_ms=random.choice((*DEADLINES_MS, 0)),
                )
            )
            change = control.Change(
                number=self.next_number + random.choice((0, 0, 0, 1, -1)),
                operator=random.choice(("ada", "bo")),
                body=body,
            )
            if change.number < 1:
                return
            self.sent.append(change)
        call(
            self.world,
            self.group,
            control.SubmitChange(change=change),
            lambda reply: None,
            on_decided=lambda reply: self.decided(change, reply),
        )

    def decided(self, change, reply):
        match reply:
            case control.ChangeVerdict(verdict=verdict):
                self.world.count("change decided")
                assert verdict.change == change
                self.checks.verdict(verdict)
                self.next_number = max(self.next_number, change.number + 1)
                self.ask_status(verdict.version)
            case control.ChangeNotConsidered(too_old=True):
                raise AssertionError(f"the verdict of {change} is no longer kept")
            case control.ChangeNotConsidered() | control.OutcomeUnknown():
                pass
            case control.ChangeConflict(winner=winner):
                self.world.count("change in conflict")
                assert winner.change != change
                self.checks.verdict(winner)
                self.next_number = max(self.next_number, change.number + 1)
            case _:
                raise AssertionError(f"{reply} is not a reply to a change")

    def read(self):
        """Checks that a read sees every version that was decided before it was sent."""
        decided_before = max(
            (verdict.version for verdict in self.checks.verdicts.values()), default=0
        )

        def decided(reply):
            match reply:
                case control.CurrentConfiguration(configuration=newest):
                    version = newest.version
                case control.NextNumber(version=version):
                    pass
                case _:
                    raise AssertionError(f"{reply} is not a reply to a read")
            self.world.count("read")
            assert version >= decided_before, f"{version} read after {decided_before}"

        request = self.world.random.choice(
            (control.QueryConfiguration(), control.QueryNextNumber())
        )
        call(
            self.world,
            self.group,
            request,
            lambda reply: None,
            on_decided=decided,
            to_any=True,
        )

    def ask_status(self, version):
        def decided(reply):
            in_force = reply.settled and not reply.lacking
            if in_force and reply.version >= version:
                self.world.count("in force")
                self.checks.in_force = max(self.checks.in_force, version)

        for delay in (0.1, 0.5, 1.5, 3.0):
            self.world.schedule(
                delay,
                lambda: call(
                    self.world,
                    self.group,
                    control.QueryStatus(version=version),
                    lambda reply: None,
                    on_decided=decided,
                ),
            )


def answer_of(request_id):
    """Returns the answer that every run of a request has."""
    return request_id.encode() * 10


class Callers:
    """Callers of non-idempotent requests, through any entry host."""

    def __init__(self, world, group, checks, hosts):
        self.world = world
        self.group = group
        self.checks = checks
        self.hosts = hosts
        self.ids = []
        self.nonces = itertools.count()

    def act(self):
        random = self.world.random
        if not self.ids or random.random() < 0.3:
            self.ids.append(f"{self.world.wall_ms()}-booking-{len(self.ids):04}")
        request_id = random.choice(self.ids[-6:])
        host = random.choice(self.hosts)
        if host.frozen:
            return
        process = host.process
        # The batch also holds the newest request, which is often the same one.
        claims = tuple(self._claim(host, name) for name in (request_id, self.ids[-1]))
        handled = set()

        def answered(reply):
            if host.process != process:
                return
            if not isinstance(reply, control.ClaimBatchReplies):
                return
            for claim, own in zip(claims, reply.replies, strict=True):
                self._answered(host, claim, own, handled)

        batch = control.ClaimBatch(members=claims)
        call(self.world, self.group, batch, answered, disconnected=host.disconnected)

    def _claim(self, host, request_id):
        return control.ClaimRequest(
            request_id=request_id,
            nonce=str(next(self.nonces)),
            digest=request_id,
            entry_id=host.name,
            incarnation=host.process,
            deadline_ms=1000,
        )

    def _answered(self, host, claim, reply, handled):
        # A holder acts on a grant once, even if the network delivers it twice.
        match reply:
            case control.ClaimGranted() if claim.nonce not in handled:
                handled.add(claim.nonce)
                self.granted(host, claim.request_id, reply.attempt)
            case control.ClaimExists(outcome=outcome) if (
                outcome.kind is control.ClaimOutcomeKind.ANSWERED
            ):
                kept = outcome.body == answer_of(claim.request_id)
                assert kept or not outcome.body, (claim.request_id, outcome)
                self.world.count("answer read" if kept else "answer not kept")

    def granted(self, host, request_id, attempt):
        kind = self.world.random.choice(
            (
                control.ClaimOutcomeKind.ANSWERED,
                control.ClaimOutcomeKind.NOT_RUN,
                control.ClaimOutcomeKind.UNKNOWN,
            )
        )
        self.world.count(f"claim {kind.value}")
        if kind is not control.ClaimOutcomeKind.NOT_RUN:
            first = self.checks.runs.setdefault(request_id, attempt)
            assert first == attempt, f"{request_id} ran as {first} and {attempt}"
            runs = self.checks.runs.setdefault((request_id, "count"), 0) + 1
            self.checks.runs[request_id, "count"] = runs
            assert runs == 1, f"{request_id} ran {runs} times"
        request = control.CompleteClaim(
            request_id=request_id,
            attempt=attempt,
            outcome=control.ClaimOutcome(
                kind=kind,
                body=answer_of(request_id)
                if kind is control.ClaimOutcomeKind.ANSWERED
                else b"",
            ),
        )
        for _ in range(2):
            call(
                self.world,
                self.group,
                request,
                lambda reply: None,
                disconnected=host.disconnected,
            )
