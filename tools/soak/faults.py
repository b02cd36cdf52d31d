"""Faults of a soak: of processes, data folders, links and searchers."""

import asyncio
import random
import signal
from contextlib import asynccontextmanager

from support.proxy import Direction

from .http import call
from .processes import delete_data_folder
from .record import FaultPeriod

FAULT_DURATION_S = (0.3, 3.0)  # includes less and more than an election
DOWNTIME_S = (0.05, 1.2)
# A group of three replicas tolerates the loss of one. A restarted replica counts as
# lost for this time, before the next replica gets a fault.
CATCH_UP_S = 4.0
LINK_DELAY_S = 0.15
REGISTRY_FAULTS = ("kill", "freeze", "stop", "lose folder")
GATEWAY_FAULTS = ("kill", "freeze", "stop", "reload")
LINK_FAULTS = ("hold", "delay", "reset", "silence", "one way")
SEARCHER_FAULTS = ("crash", "drain")
CUT_S = (5.0, 7.0)  # longer than a host has to find out
CUT_SETTLE_S = 4.0
MIN_CUT_ATTEMPTS = 20  # fewer first tries show nothing
# A request that ends the searchers that run it, sent again and again.
ENDING_SENDS = 30
ENDING_INTERVAL_S = 0.25
ENDING_RUN_S = 0.02
LATE_ARRIVALS = 3


class Faults:
    """Draws and injects faults; several may be active at a time.

    At most one control replica has a fault at a time, which a group of three
    tolerates. At least one entry host and one searcher of each service have none.
    """

    def __init__(self, *, soak):
        self.soak = soak
        # Not shared with the callers: the number of their draws depends on timing.
        self.random = random.Random(f"faults/{soak.seed}")
        self.faulted = set()  # names of processes and searchers with an active fault
        self.caught_up_at = 0.0  # when all replicas count as caught up
        self.ending_path = ""  # of a request that ends searchers now
        self.ending_arrivals = []
        self.ends = []
        self.restarts = set()  # tasks of searchers that come back

    async def run_one(self):
        """Injects one fault and waits for its end."""
        kind = self.random.choice(
            (
                self._registry_fault,
                self._gateway_fault,
                self._link_fault,
                self._searcher_fault,
                self._cut_host_fault,
                self._ending_request_fault,
            )
        )
        await kind()

    @asynccontextmanager
    async def _record_fault(self, kind, target):
        soak = self.soak
        item = FaultPeriod(kind=kind, target=target, began_at=soak.now())
        soak.record.fault_periods.append(item)
        soak.add_log_line(f"{kind} {target}")
        self.faulted.add(target)
        try:
            yield item
        finally:
            item.ended_at = soak.now()
            self.faulted.discard(target)
            soak.add_log_line(f"{kind} {target} ended")

    def _draw_unaffected(self, candidates, min_unaffected):
        """Draws a candidate without a fault, or None if too few would be left.

        At least ``min_unaffected`` candidates stay without a fault.
        """
        free = [c for c in candidates if c.name not in self.faulted]
        return self.random.choice(free) if len(free) > min_unaffected else None

    async def _sleep_within(self, bounds):
        await asyncio.sleep(self.random.uniform(*bounds))

    # ---- Processes ----------------------------------------------------------------

    async def _registry_fault(self):
        if (
            self.soak.now() < self.caught_up_at
            or not await self.soak.all_replicas_confirm_newest()
        ):
            return
        registries = self.soak.registries
        registry = self._draw_unaffected(registries, min_unaffected=len(registries) - 1)
        if registry is not None:
            kinds = REGISTRY_FAULTS + self._build_faults()
            await self._process_fault(registry, self.random.choice(kinds))
            self.caught_up_at = self.soak.now() + CATCH_UP_S

    async def _gateway_fault(self):
        gateway = self._draw_unaffected(self.soak.gateways, min_unaffected=1)
        if gateway is not None:
            kinds = GATEWAY_FAULTS + self._build_faults()
            await self._process_fault(gateway, self.random.choice(kinds))

    def _build_faults(self):
        """Returns the replacement by another build, which is for runs by hand."""
        return ("other build",) if self.soak.other_build else ()

    async def _process_fault(self, process, kind):
        async with self._record_fault(kind, process.name):
            match kind:
                case "kill" | "lose folder":
                    process.program.kill()
                    await self._sleep_within(DOWNTIME_S)
                    if kind == "lose folder":
                        delete_data_folder(process)
                    process.start()
                case "freeze":
                    process.program.freeze()
                    await self._sleep_within(FAULT_DURATION_S)
                    process.program.resume()
                case "stop" | "other build":
                    code = await asyncio.to_thread(process.program.stop)
                    if code != 0:
                        self.soak.record_violation(
                            f"planned stop of {process.name} ended with code {code}"
                        )
                    if kind == "other build":
                        process.change_build(self.soak.other_build)
                    process.start()
                case "reload":
                    process.program.signal(signal.SIGHUP)
                    await self._sleep_within(DOWNTIME_S)
            await self.soak.wait_until_ready(process)

    # ---- Links and searchers --------------------------------------------------------

    def _link_action(self, link, kind):
        return {
            "hold": link.hold,
            "delay": lambda: link.delay(LINK_DELAY_S),
            "reset": link.reset,
            "silence": link.silence_existing,
            "one way": lambda: link.drop(self.random.choice(list(Direction))),
        }[kind]

    async def _link_fault(self):
        searcher = self._draw_unaffected_searcher()
        if searcher is None:
            return
        kind = self.random.choice(LINK_FAULTS)
        link = searcher.link
        async with self._record_fault(kind, searcher.name):
            await asyncio.to_thread(self._link_action(link, kind))
            await self._sleep_within(FAULT_DURATION_S)
            await asyncio.to_thread(link.release)

    async def _cut_host_fault(self):
        """Cuts one host off from all searchers; the others serve its callers."""
        gateway = self._draw_unaffected(self.soak.gateways, min_unaffected=1)
        if gateway is None:
            return
        async with self._record_fault("cut off", gateway.name) as period:
            resets = self.random.random() < 0.5
            network, pid = self.soak.network, gateway.pid
            await asyncio.to_thread(network.cut_off, pid, resets=resets)
            await self._sleep_within(CUT_S)
            await asyncio.to_thread(network.rejoin, pid)
        self._check_cut(period)

    def _check_cut(self, period):
        """First tries at the host are served two thirds as often as at the others."""
        since = period.began_at + CUT_SETTLE_S
        others_faulted = [
            item
            for item in self.soak.record.fault_periods
            if item is not period
            and item.target.startswith(("gateway-", "registry-"))
            and item.overlaps(period.began_at - CUT_SETTLE_S, period.ended_at)
        ]
        tries = [
            attempt
            for attempt in self.soak.record.attempts
            if since <= attempt.sent_at and attempt.ended_at <= period.ended_at
        ]
        own = [a.status == 200 for a in tries if a.gateway == period.target]
        others = [a.status == 200 for a in tries if a.gateway != period.target]
        if others_faulted or len(own) < MIN_CUT_ATTEMPTS or not others:
            return
        share, others_share = sum(own) / len(own), sum(others) / len(others)
        shares = f"{share:.2f}, {others_share:.2f}"
        self.soak.add_log_line(f"{period.target} served {shares}")
        if share < others_share * 2 / 3:
            self.soak.record_violation(
                f"{period.target} was cut off and served {share:.2f} of first tries, "
                f"the others {others_share:.2f}"
            )

    # ---- A request that ends searchers ----------------------------------------------

    def ends_searchers(self, request_line):
        """Whether this request ends the searcher that runs it."""
        return bool(self.ending_path) and f" {self.ending_path} " in request_line

    async def end_searcher(self, searcher):
        """Ends a searcher that runs the request; it starts again after a while."""
        self.ending_arrivals.append(self.soak.now())
        started_at_ms = searcher.started_at_ms
        await asyncio.sleep(ENDING_RUN_S)
        if searcher.started_at_ms != started_at_ms or searcher.is_down:
            return
        self.ends.append(self.soak.now())
        searcher.crash()
        task = asyncio.create_task(self._restart(searcher))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _restart(self, searcher):
        await self._sleep_within(DOWNTIME_S)
        await searcher.start()

    async def _ending_request_fault(self):
        names = {searcher.name for searcher in self.soak.searchers["cards"]}
        if self.ending_path or names & self.faulted:
            return
        self.ending_arrivals.clear()
        self.ends.clear()
        path = f"/read/ends-{self.random.randrange(10**6)}"
        async with self._record_fault("ending request", "cards") as period:
            self.faulted |= names
            self.ending_path = path
            for _ in range(ENDING_SENDS):
                gateway = self.random.choice(self.soak.gateways)
                sending = call(gateway.address, "GET", path, timeout_s=2.0)
                await asyncio.gather(sending, asyncio.sleep(ENDING_INTERVAL_S))
            self.ending_path = ""
            await asyncio.gather(*self.restarts)
            self.faulted -= names
        self._check_ending_request(period)

    def _check_ending_request(self, period):
        """The request reaches few searchers once it has ended the third."""
        self.soak.add_log_line(
            f"{len(self.ending_arrivals)} arrivals, {len(self.ends)} ends"
        )
        others_faulted = [
            item
            for item in self.soak.record.fault_periods
            if item.target.startswith(("gateway-", "registry-"))
            and item.overlaps(period.began_at, period.ended_at)
        ]
        if len(self.ends) < 3 or others_faulted:
            return
        late = [at for at in self.ending_arrivals if at > self.ends[2] + CUT_SETTLE_S]
        if len(late) > LATE_ARRIVALS:
            self.soak.record_violation(
                f"a request that ends searchers arrived {len(late)} times later than "
                f"{CUT_SETTLE_S:g} s after the third end"
            )

    async def _searcher_fault(self):
        searcher = self._draw_unaffected_searcher()
        if searcher is None:
            return
        kind = self.random.choice(SEARCHER_FAULTS)
        async with self._record_fault(kind, searcher.name):
            if kind == "drain" and await searcher.drain():
                await asyncio.sleep(self.soak.drain_s)
            searcher.crash()
            await self._sleep_within(DOWNTIME_S)
            await searcher.start()

    def _draw_unaffected_searcher(self):
        service = self.random.choice(sorted(self.soak.searchers))
        return self._draw_unaffected(self.soak.searchers[service], min_unaffected=1)
