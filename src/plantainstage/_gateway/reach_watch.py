"""Finds out that this host is cut off from the searchers, and when that has ended."""

import asyncio
from collections.abc import Callable

from plantainstage._serving.searcher_reach import SearcherReach, silent_after_s

CHECK_INTERVAL_S = 0.1
# One searcher at a time is asked while the host is cut off.
PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.3


class ReachWatch:
    """Watches calls that hang, and probes searchers while the host is cut off.

    ``on_cut_off()`` is called when the host has found itself cut off, and
    ``health_path(service)`` returns the path that a searcher replies to in any state.
    """

    def __init__(self, *, fleet, health_path: Callable[[str], str], events, metrics):
        self.fleet = fleet
        self.health_path = health_path
        self.events = events
        self.metrics = metrics
        self.on_cut_off = _do_nothing
        self.cut_off_at = 0.0
        self.probed = 0
        fleet.reach_watch = self

    @property
    def reach(self) -> SearcherReach:
        """What the host knows of the searchers that it reaches."""
        return self.fleet.reach

    # ---- Events -------------------------------------------------------------------

    def replied(self, start):
        """Records that a searcher has replied."""
        now = asyncio.get_running_loop().time()
        if self.reach.record_reply(start, now):
            self.metrics.cut_off.set(0)
            self.events.log_event(
                "searchers_reached",
                searcher=start[0],
                cut_off_ms=round((now - self.cut_off_at) * 1000),
            )

    def failed(self, start, *, connected: bool):
        """Records a call that ended without a reply on an open connection, or none."""
        now = asyncio.get_running_loop().time()
        if self.reach.record_failure(start, now, connected=connected):
            self._cut_off(now)

    def _cut_off(self, now):
        self.cut_off_at = now
        self.metrics.cut_off.set(1)
        self.events.log_event(
            "cut_off",
            without_reply=sorted(start[0] for start in self.reach.failed_in_row)[:10],
            searchers=len(self.fleet.members),
            last_reply_ms=_age_ms(now, self.reach.last_reply_at),
        )
        self.on_cut_off()

    # ---- Tasks --------------------------------------------------------------------

    async def run(self):
        """Runs until it is cancelled."""
        while True:
            if self.reach.is_cut_off:
                await self._probe()
                await asyncio.sleep(PROBE_INTERVAL_S)
            else:
                self._check_silence()
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _check_silence(self):
        now = asyncio.get_running_loop().time()
        if self.reach.record_silence(self._silent_starts(now), now):
            self._cut_off(now)

    def _silent_starts(self, now):
        if not self.reach.is_silent(now):
            return []
        return [
            member.searcher.start
            for member in self.fleet.members.values()
            if _is_silent(member, now) and not self.fleet.is_evacuated(member)
        ]

    async def _probe(self):
        """Checks the health of the next searcher in turn; any reply will do."""
        members = [m for m in self.fleet.members.values() if self.fleet.accepts(m)]
        if not members:
            return
        self.probed += 1
        member = members[self.probed % len(members)]
        path = self.health_path(member.searcher.service)
        if await member.pool.replies_to(f"GET {path}", timeout_s=PROBE_TIMEOUT_S):
            self.replied(member.searcher.start)


def _is_silent(member, now):
    if not member.load.sent:
        return False
    call, sent_at = next(iter(member.load.sent.items()))
    usual_s = call.work_s * member.load.current_slowness(now)
    return now - sent_at > silent_after_s(usual_s)


def _age_ms(now, at):
    return round((now - at) * 1000) if at > float("-inf") else None


def _do_nothing():
    """Replaces ``on_cut_off`` until it is set."""
