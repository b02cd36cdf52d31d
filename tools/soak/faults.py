"""Faults of the soak: signals, lost folders, links, and searchers that come and go."""

import asyncio
import random
import signal
from contextlib import asynccontextmanager

from support.proxy import Direction

from .processes import lose_folder
from .record import Disturbance

FAULT_S = (0.3, 3.0)  # shorter and longer than an election
DOWN_S = (0.05, 1.2)
# A replica counts as lost for this long after it is back: a group of three bears the
# loss of one, so that the next one is disturbed only then.
CATCH_UP_S = 4.0
LINK_DELAY_S = 0.15
REGISTRY_FAULTS = ("kill", "freeze", "stop", "lose folder")
GATEWAY_FAULTS = ("kill", "freeze", "stop", "reload")
LINK_FAULTS = ("hold", "delay", "reset", "silence", "one way")
SEARCHER_FAULTS = ("crash", "drain")


class Faults:
    """Draws faults and carries them out; several may be under way at a time.

    At most one control replica is disturbed at a time, which is what a group of
    three bears, and never the last entry host or the last searcher of a service.
    """

    def __init__(self, *, soak):
        self.soak = soak
        # Apart from the callers' draws, whose number depends on timing.
        self.random = random.Random(f"faults/{soak.seed}")
        self.busy = set()  # names of processes and searchers under a fault
        self.whole_at = 0.0  # when all replicas count as caught up

    async def one(self):
        """Carries out one fault to its end."""
        kind = self.random.choice(
            (self._registry, self._gateway, self._link, self._searcher)
        )
        await kind()

    @asynccontextmanager
    async def _disturb(self, kind, target):
        soak = self.soak
        item = Disturbance(kind=kind, target=target, began_at=soak.now())
        soak.record.disturbances.append(item)
        soak.note(f"{kind} {target}")
        self.busy.add(target)
        try:
            yield item
        finally:
            item.ended_at = soak.now()
            self.busy.discard(target)
            soak.note(f"{kind} {target} ended")

    def _free(self, candidates, spared):
        """Draws one that is not under a fault, leaving ``spared`` untouched."""
        free = [c for c in candidates if c.name not in self.busy]
        return self.random.choice(free) if len(free) > spared else None

    async def _pause(self, bounds):
        await asyncio.sleep(self.random.uniform(*bounds))

    # ---- Processes ----------------------------------------------------------------

    async def _registry(self):
        if self.soak.now() < self.whole_at or not await self.soak.group_is_whole():
            return
        registries = self.soak.registries
        registry = self._free(registries, spared=len(registries) - 1)
        if registry is not None:
            await self._process(registry, self.random.choice(REGISTRY_FAULTS))
            self.whole_at = self.soak.now() + CATCH_UP_S

    async def _gateway(self):
        gateway = self._free(self.soak.gateways, spared=1)
        if gateway is not None:
            await self._process(gateway, self.random.choice(GATEWAY_FAULTS))

    async def _process(self, process, kind):
        async with self._disturb(kind, process.name):
            match kind:
                case "kill" | "lose folder":
                    process.program.kill()
                    await self._pause(DOWN_S)
                    if kind == "lose folder":
                        lose_folder(process)
                    process.start()
                case "freeze":
                    process.program.freeze()
                    await self._pause(FAULT_S)
                    process.program.resume()
                case "stop":
                    code = await asyncio.to_thread(process.program.stop)
                    if code != 0:
                        self.soak.violation(f"{process.name} stopped with {code}")
                    process.start()
                case "reload":
                    process.program.signal(signal.SIGHUP)
                    await self._pause(DOWN_S)
            await self.soak.until_ready(process)

    # ---- Links and searchers --------------------------------------------------------

    def _link_action(self, link, kind):
        return {
            "hold": link.hold,
            "delay": lambda: link.delay(LINK_DELAY_S),
            "reset": link.reset,
            "silence": link.silence_existing,
            "one way": lambda: link.drop(self.random.choice(list(Direction))),
        }[kind]

    async def _link(self):
        searcher = self._free_searcher()
        if searcher is None:
            return
        kind = self.random.choice(LINK_FAULTS)
        link = searcher.link
        async with self._disturb(kind, searcher.name):
            await asyncio.to_thread(self._link_action(link, kind))
            await self._pause(FAULT_S)
            await asyncio.to_thread(link.release)

    async def _searcher(self):
        searcher = self._free_searcher()
        if searcher is None:
            return
        kind = self.random.choice(SEARCHER_FAULTS)
        async with self._disturb(kind, searcher.name):
            if kind == "drain" and await searcher.drain():
                await asyncio.sleep(self.soak.drain_s)
            searcher.crash()
            await self._pause(DOWN_S)
            await searcher.start()

    def _free_searcher(self):
        service = self.random.choice(sorted(self.soak.searchers))
        return self._free(self.soak.searchers[service], spared=1)
