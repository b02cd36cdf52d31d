"""Answers the polls of entry hosts and of other replicas."""

import asyncio
import contextlib

from plantainstage._messages import serving

# An entry host polls several times a second. One that stopped is still counted for
# this time, since its connections outlast it.
HOST_RETENTION_S = 4.0


class ChangeSignal:
    """Wakes up tasks that wait for the next change."""

    def __init__(self):
        self.next_change = asyncio.Event()

    def notify(self):
        """Wakes up all tasks that wait now."""
        self.next_change.set()
        self.next_change = asyncio.Event()

    async def wait(self, timeout_s: float):
        """Returns after the next change, at the latest after ``timeout_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.next_change.wait()


class SyncService:
    """Reports what this replica and the reachable other ones hear.

    ``relay`` holds the reports of the others, ``addresses()`` returns the sync
    addresses of all replicas.
    """

    def __init__(
        self, *, own_address, process, data_centre, machine, register, relay, addresses
    ):
        self.own_address = own_address
        self.process = process
        self.data_centre = data_centre
        self.machine = machine
        self.register = register
        self.relay = relay
        self.addresses = addresses
        self.hosts = {}  # host id -> time of its last poll
        self.changes = ChangeSignal()
        register.on_change = self.changes.notify

    # ---- Commands -----------------------------------------------------------------

    def expire(self, now: float):
        """Forgets entry hosts that no longer count themselves here."""
        for host_id, polled_at in list(self.hosts.items()):
            if now - polled_at > HOST_RETENTION_S:
                del self.hosts[host_id]

    # ---- Replies ------------------------------------------------------------------

    def reply_to_host(self, request: serving.SyncRequest, now: float):
        """Returns the reply to a poll of an entry host."""
        if request.counts:
            self.hosts[request.host_id] = now
        held = {cursor.address: cursor for cursor in request.cursors}
        own = held.get(self.own_address, serving.NOTHING_HELD)
        report = self._own_report(process=own.process, cursor=own.cursor)
        return serving.SyncReply(
            version=self.machine.newest.version,
            document=self._document_above(request.version),
            sources=(report, *self.relay.reports(held, now)),
            replicas=self.addresses(),
        )

    async def reply_to_peer(self, request: serving.PeerSyncRequest):
        """Returns the reply to another replica, once there is something to report."""
        known = (self.process, self.register.cursor)
        if (request.process, request.cursor) == known:
            await self.changes.wait(request.wait_ms / 1000)
        return serving.PeerSyncReply(
            version=self.machine.newest.version,
            report=self._own_report(process=request.process, cursor=request.cursor),
            document=self._document_above(request.version),
        )

    def _own_report(self, *, process, cursor):
        changed = self.register.changes_since(cursor if process == self.process else 0)
        return serving.SourceReport(
            address=self.own_address,
            process=self.process,
            cursor=self.register.cursor,
            data_centre=self.data_centre,
            hosts=len(self.hosts),
            searchers=tuple(e.searcher for e in changed if not e.silent),
            silent=tuple(e.searcher.searcher_id for e in changed if e.silent),
        )

    def _document_above(self, version):
        newest = self.machine.newest
        return newest.document if newest.version > version else None
