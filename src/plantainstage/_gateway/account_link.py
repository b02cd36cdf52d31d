"""Reports client accounts to the leader of the control group, and gets permits."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec
import pynng

from plantainstage._messages import serving
from plantainstage._serving.quota_permits import (
    REPLY_LIMIT_S,
    RESERVATION_FROM_S,
    QuotaPermits,
)
from plantainstage._transport.rpc import RpcClient


class AccountLink:
    """Sends the reports of ``permits`` when they are due, one at a time.

    Nothing is sent while there is nothing to tell. ``refresh()`` brings ``permits``
    up to date, ``known_leader()`` returns the sync address of the leader
    that control names, or an empty string, and ``on_grants()`` is called after a reply
    and after a call that failed.
    """

    def __init__(
        self,
        *,
        permits: QuotaPermits,
        refresh: Callable[[], None],
        known_leader: Callable[[], str],
        on_grants: Callable[[], None],
        events,
        clock: Callable[[], float],
    ):
        self.permits = permits
        self.refresh = refresh
        self.known_leader = known_leader
        self.on_grants = on_grants
        self.events = events
        self.clock = clock
        self.client = None  # RpcClient to ``address``
        self.address = ""
        self.named = ""  # the last leader that control named
        self.woken = asyncio.Event()
        self.is_idle = True
        self.is_lost = False  # as logged

    # ---- Commands -----------------------------------------------------------------

    def wake(self, *, urgent: bool):
        """Sends a report when it is due, at once if requests wait for permits."""
        if self.is_idle or urgent:
            self.woken.set()

    async def run(self):
        """Runs until it is cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            self._connect("")

    async def _run_once(self):
        self.woken.clear()
        self.refresh()
        wait_s = self.permits.report_wait_s(self.clock())
        self.is_idle = wait_s is None
        if self.is_idle:
            await self.woken.wait()
        elif wait_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.woken.wait()
        else:
            await self._report()

    # ---- Reports ------------------------------------------------------------------

    async def _report(self):
        self._choose_leader()
        reply = await self._call()
        if reply is not None and not reply.ledger and reply.leader:
            self._connect(reply.leader)
            reply = await self._call()
        answered = reply is not None and self.permits.apply_reply(reply, self.clock())
        if answered:
            self._log_reached()
        else:
            self.permits.fail()
            # Control may still name a leader that has been replaced.
            self._connect("")
            self._log_lost()
        self.on_grants()

    async def _call(self):
        """Sends the report; returns the reply, or None without one in time."""
        request = self.permits.start_report(self.clock())
        if self.client is None:
            return None
        try:
            reply = await self.client.call(request, timeout_s=REPLY_LIMIT_S)
        except (TimeoutError, pynng.NNGException, msgspec.MsgspecError):
            return None
        return reply if isinstance(reply, serving.AccountsReply) else None

    def _choose_leader(self):
        named = self.known_leader()
        if named != self.named or not self.address:
            self.named = named
            self._connect(named)

    def _connect(self, address):
        if address == self.address:
            return
        if self.client is not None:
            self.client.close()
        self.address, self.client = address, None
        if address:
            self.client = RpcClient(
                address=address, reply_decoder=serving.REPLY_DECODER
            )

    # ---- Events -------------------------------------------------------------------

    def _log_lost(self):
        age_s = self.permits.contact_age_s(self.clock())
        if not self.is_lost and age_s >= RESERVATION_FROM_S:
            self.is_lost = True
            self.events.log_event("quota_leader_lost", leader=self.named)

    def _log_reached(self):
        if self.is_lost:
            self.is_lost = False
            self.events.log_event(
                "quota_leader_reached",
                leader=self.address,
                ledger=self.permits.ledger,
            )
