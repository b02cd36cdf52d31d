"""State and behaviour of a stand-in searcher."""

import asyncio
import random
import time
import uuid
from dataclasses import dataclass, field

import msgspec

from plantainstage.messages import upstreams

# Limits the memory for recorded runs; tests and demos stay far below.
MAX_RUNS = 500_000


class Behaviour(msgspec.Struct, kw_only=True):
    """Settings that flags set and that tests change at run time.

    Times are in milliseconds. A share ``slow_fraction`` of the sub-requests takes
    ``slow_factor`` times as long. The reported ``load`` is honest, lag (the value
    of a second ago) or lie (always zero). A cold searcher takes ``cold_factor``
    times as long; the factor falls to one within ``cold_ms`` after its start.
    """

    service_ms: float = 3.0
    jitter_ms: float = 2.0
    slow_fraction: float = 0.0
    slow_factor: float = 10.0
    shed_fraction: float = 0.0
    refuse_cancel: bool = False
    offer_status: bool = True
    load: str = "honest"
    state: str = "serving"
    announce: bool = True
    cold_factor: float = 1.0
    cold_ms: float = 0.0
    crash_ms: float = 1000.0


class Run(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One sub-request that the searcher has run, with its outcome.

    The garbage collector does not track it (``gc=False``): it holds no containers,
    and full collections over hundreds of thousands of runs would pause all
    searchers of the process.

    ``started`` and ``ended`` are seconds on the machine's monotonic clock.
    """

    upstream_id: str
    request_id: str
    sub_request_id: str
    snapshot: str
    partition: str
    documents: int
    started: float
    ended: float
    outcome: str


class SearcherRecord(msgspec.Struct, frozen=True, kw_only=True):
    """State and counters of a searcher since the start of its process.

    ``running`` lists the request ids of the sub-requests that run now.
    """

    upstream_id: str
    incarnation: str
    address: str
    partition: str
    snapshots: tuple[str, ...]
    slots: int
    connections: int
    max_slots: int
    max_connections: int
    open_connections: int
    received: int
    answered: int
    cancelled: int
    shed: int
    expired: int
    crashes: int
    silenced: int
    status_requests: int
    last_received: float
    running: tuple[str, ...]


class QueryOptions(msgspec.Struct, kw_only=True):
    """Members of a query object that control the stand-in.

    ``crash`` crashes each searcher that runs the query, ``sleep_ms`` replaces
    the service time, ``only`` limits both to one partition.
    """

    crash: bool = False
    sleep_ms: float | None = None
    only: str = ""


_options_decoder = msgspec.json.Decoder(QueryOptions)


def options_of(query, partition):
    """Returns the QueryOptions of an encoded query.

    Any JSON value is a valid query; one without options gets the defaults.
    """
    try:
        options = _options_decoder.decode(query)
    except msgspec.MsgspecError:
        return QueryOptions()
    if options.only and options.only != partition:
        return QueryOptions()
    return options


@dataclass(kw_only=True)
class Counters:
    """Counters since the start of the process; a simulated crash keeps them."""

    max_slots: int = 0
    max_connections: int = 0
    received: int = 0
    answered: int = 0
    cancelled: int = 0
    shed: int = 0
    expired: int = 0
    crashes: int = 0
    silenced: int = 0
    status_requests: int = 0
    last_received: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Status code and body of a reply to a sub-request."""

    status: int
    body: object


@dataclass(kw_only=True)
class _Execution:
    request_id: str
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


def refusal(status, error):
    """Returns a Reply with a SearchRefusal."""
    return Reply(status=status, body=upstreams.SearchRefusal(error=error))


class Searcher:
    """A searcher that holds one partition of one or more snapshots."""

    def __init__(
        self, *, placement, address, index, manifest, seed, behaviour, runs_file=None
    ):
        self.placement = placement
        self.runs_file = runs_file
        self.address = address
        self.index = index
        self.snapshots = {
            "s1": upstreams.AnnouncedSnapshot(
                snapshot="s1",
                sequence=1,
                partitions=(placement.partition,),
                manifest=manifest,
            )
        }
        self.behaviour = behaviour
        self.random = random.Random(f"{seed}:{placement.upstream_id}")
        self.counters = Counters()
        self.running = {}
        self.runs = []
        self.previous_load = (0.0, 0)
        self.current_load = (0.0, 0)
        self.restart()

    def restart(self):
        """Begins a new incarnation, whose caches are cold."""
        self.incarnation = uuid.uuid4().hex
        self.started = time.monotonic()

    # ---- Announcements and records -------------------------------------------

    def announcement(self):
        """Returns the announcement of the searcher's current state."""
        return upstreams.Announcement(
            upstream_id=self.placement.upstream_id,
            incarnation=self.incarnation,
            address=self.address,
            data_centre=self.placement.data_centre,
            index=self.index,
            slots=self.placement.slots,
            connections=self.placement.connections,
            snapshots=tuple(self.snapshots.values()),
            state=self.behaviour.state,
            in_flight=self.reported_load(),
        )

    def reported_load(self):
        """Returns the load that the searcher reports, according to its behaviour."""
        now = time.monotonic()
        if now - self.current_load[0] >= 1.0:
            self.previous_load = self.current_load
            self.current_load = (now, len(self.running))
        match self.behaviour.load:
            case "lie":
                return 0
            case "lag":
                return self.previous_load[1]
        return len(self.running)

    def record(self, open_connections):
        """Returns the SearcherRecord."""
        counters = self.counters
        return SearcherRecord(
            upstream_id=self.placement.upstream_id,
            incarnation=self.incarnation,
            address=self.address,
            partition=self.placement.partition,
            snapshots=tuple(self.snapshots),
            slots=self.placement.slots,
            connections=self.placement.connections,
            open_connections=open_connections,
            running=tuple(item.request_id for item in self.running.values()),
            **vars(counters),
        )

    # ---- Sub-requests --------------------------------------------------------

    async def search(self, body):
        """Runs one sub-request within the slot cap; returns a Reply.

        Raises SearcherCrashed for a query with the option ``crash``.
        """
        counters = self.counters
        counters.received += 1
        counters.last_received = time.monotonic()
        counters.max_slots = max(counters.max_slots, len(self.running) + 1)
        snapshot = self.snapshots.get(body.snapshot)
        if snapshot is None or body.partition not in snapshot.partitions:
            return refusal(409, "snapshot_not_held")
        shed = self.random.random() < self.behaviour.shed_fraction
        if shed or len(self.running) >= self.placement.slots:
            counters.shed += 1
            return refusal(503, "shed")
        return await self._run(body, snapshot)

    async def _run(self, body, snapshot):
        options = options_of(body.query, body.partition)
        execution = _Execution(request_id=body.request_id)
        self.running[body.sub_request_id] = execution
        started = time.monotonic()
        outcome = "crashed"
        try:
            if options.crash:
                raise SearcherCrashed
            outcome = await self._work(body, options, execution)
        finally:
            self.running.pop(body.sub_request_id, None)
            self._record_run(body, snapshot, started, outcome)
        return self._reply(body, snapshot, outcome)

    async def _work(self, body, options, execution):
        """Waits for the service time; returns the outcome."""
        remaining_s = body.remaining_ms / 1000
        service_s = self._service_s(options)
        try:
            async with asyncio.timeout(min(service_s, remaining_s)):
                await execution.cancelled.wait()
                return "cancelled"
        except TimeoutError:
            return "answered" if service_s <= remaining_s else "expired"

    def _service_s(self, options):
        behaviour = self.behaviour
        if options.sleep_ms is not None:
            return options.sleep_ms / 1000
        service_ms = behaviour.service_ms + self.random.random() * behaviour.jitter_ms
        if self.random.random() < behaviour.slow_fraction:
            service_ms *= behaviour.slow_factor
        age_ms = (time.monotonic() - self.started) * 1000
        if age_ms < behaviour.cold_ms:
            cold_share = 1 - age_ms / behaviour.cold_ms
            service_ms *= 1 + (behaviour.cold_factor - 1) * cold_share
        return service_ms / 1000

    def _record_run(self, body, snapshot, started, outcome):
        if len(self.runs) >= MAX_RUNS:
            return
        run = Run(
            upstream_id=self.placement.upstream_id,
            request_id=body.request_id,
            sub_request_id=body.sub_request_id,
            snapshot=body.snapshot,
            partition=body.partition,
            documents=snapshot.manifest[body.partition],
            started=started,
            ended=time.monotonic(),
            outcome=outcome,
        )
        self.runs.append(run)
        if self.runs_file is not None:
            # Written unbuffered and before the reply, so that the record of an
            # answer is kept when the process is killed.
            self.runs_file.write(msgspec.json.encode(run) + b"\n")

    def _reply(self, body, snapshot, outcome):
        match outcome:
            case "cancelled":
                self.counters.cancelled += 1
                return refusal(499, "cancelled")
            case "expired":
                self.counters.expired += 1
                return refusal(504, "deadline_passed")
        self.counters.answered += 1
        hits = [{"echo": body.query, "searcher": self.placement.upstream_id}]
        return Reply(
            status=200,
            body=upstreams.SearchAnswer(
                sub_request_id=body.sub_request_id,
                snapshot=body.snapshot,
                partition=body.partition,
                documents=snapshot.manifest[body.partition],
                hits=msgspec.Raw(msgspec.json.encode(hits)),
                in_flight=self.reported_load(),
            ),
        )

    def cancel(self, sub_request_id):
        """Cancels a running sub-request; returns whether it was cancelled."""
        execution = self.running.get(sub_request_id)
        if execution is None or self.behaviour.refuse_cancel:
            return False
        execution.cancelled.set()
        return True

    def still_running(self, sub_request_ids):
        """Returns the ids of those sub-requests that run now."""
        self.counters.status_requests += 1
        return tuple(key for key in sub_request_ids if key in self.running)

    # ---- Snapshots -----------------------------------------------------------

    def take_snapshot(self, snapshot, sequence, manifest):
        """Adds a snapshot of which the searcher holds its partition."""
        self.snapshots[snapshot] = upstreams.AnnouncedSnapshot(
            snapshot=snapshot,
            sequence=sequence,
            partitions=(self.placement.partition,),
            manifest=manifest,
        )

    def hold_partitions(self, snapshot, partitions):
        """Sets the partitions of a held snapshot, which may be none."""
        known = self.snapshots.get(snapshot)
        if known is not None:
            self.snapshots[snapshot] = msgspec.structs.replace(
                known, partitions=tuple(partitions)
            )

    def drop_snapshot(self, snapshot):
        """Stops holding a snapshot; sub-requests for it get 409."""
        self.snapshots.pop(snapshot, None)


class SearcherCrashed(Exception):  # noqa: N818 - a simulated event, not an error
    """Raised for a query that crashes the searcher."""
