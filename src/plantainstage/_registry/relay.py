"""Polls the other replicas, to pass on to entry hosts what they hear.

Each replica keeps a mirror of what every other one hears from searchers. An entry
host polls one replica and gets all reports from it, so that each change crosses the
network between two data centres once, and not once for every host.
"""

import asyncio
from collections.abc import Callable
from functools import partial

import msgspec
import pynng

from plantainstage._messages import serving
from plantainstage._registry.mirror import MIRROR_VALIDITY_S, SourceMirror
from plantainstage._serving.announcement_ranges import usable
from plantainstage._serving.searchers import Searcher, counting
from plantainstage._supervision import run_supervised
from plantainstage._transport.patient_client import PatientClient

# The polled replica replies when something has changed, at the latest after this.
PEER_WAIT_S = 0.6
PEER_OVERDUE_S = PEER_WAIT_S + 0.5
# Changes in quick succession, as at the start of the searchers, are sent together.
PEER_PAUSE_S = 0.1
# The log usually delivers a newer document; it is asked for only after this time, so
# that large documents do not cross the network twice.
DOCUMENT_GRACE_S = 0.8
START_INTERVAL_S = 0.25
# A replica that was removed from the group is no longer asked after this time.
FORGET_AFTER_S = 30.0
NO_DOCUMENT = 2**62  # a version above all others


class PeerRelay:
    """Keeps a mirror of each other replica, each with a task of its own.

    ``addresses()`` returns the sync addresses of all known replicas. ``machine`` gets
    a newer committed configuration if the log does not deliver it in time, and newer
    evacuations; ``crashes`` gets what hosts have reported to the others of requests
    that end searchers, ``troubles`` what their hosts observe of searchers.
    ``is_named(service)`` tells whether the configuration names a service.
    """

    def __init__(
        self,
        *,
        own_address: str,
        addresses: Callable,
        machine,
        crashes,
        troubles,
        is_named: Callable[[str], bool],
        events,
    ):
        self.own_address = own_address
        self.is_named = is_named
        self.addresses = addresses
        self.machine = machine
        self.crashes = crashes  # CrashRegister
        self.troubles = troubles  # SearcherTroubles
        self.events = events
        self.mirrors = {}  # address -> SourceMirror
        self.tasks = {}

    # ---- Queries ------------------------------------------------------------------

    def reports(
        self, held: dict[str, serving.SourceCursor], now: float
    ) -> list[serving.SourceReport]:
        """Returns the reports of reachable replicas for a host.

        ``held`` contains what the host has, by the address of the replica.
        """
        reports = []
        for address, mirror in self.mirrors.items():
            known = held.get(address, serving.NOTHING_HELD)
            report = mirror.report_since(
                process=known.process, cursor=known.cursor, now=now
            )
            if report is not None:
                reports.append(report)
        return reports

    def helpers(self, now: float) -> list[str]:
        """Returns the relay addresses of hosts that other replicas count."""
        return [
            address
            for mirror in self.mirrors.values()
            if mirror.is_current(now)
            for address in mirror.report.helpers
        ]

    def is_complete(self, now: float) -> bool:
        """Whether all other replicas are in contact with this one."""
        others = set(self.addresses()) - {self.own_address}
        mirrors = [self.mirrors.get(address) for address in others]
        return all(mirror and mirror.is_current(now) for mirror in mirrors)

    def find(self, searcher_id: str) -> Searcher | None:
        """Returns the announcement under an id that counts of those heard elsewhere."""
        found = None
        for mirror in self.mirrors.values():
            heard = mirror.find(searcher_id)
            if heard is not None:
                found = counting(found, heard, self.is_named)
        return found

    # ---- Commands -----------------------------------------------------------------

    async def run(self):
        """Runs until it is cancelled."""
        try:
            while True:
                self._start_polls(set(self.addresses()) - {self.own_address})
                await asyncio.sleep(START_INTERVAL_S)
        finally:
            for task in self.tasks.values():
                task.cancel()
            self.tasks.clear()

    def _start_polls(self, addresses):
        for address, task in list(self.tasks.items()):
            if task.done():
                del self.tasks[address]
        for address in addresses:
            if address not in self.tasks:
                polling = run_supervised(
                    partial(self._poll, address),
                    task=f"poll replica {address}",
                    events=self.events,
                )
                self.tasks[address] = asyncio.create_task(polling)

    async def _poll(self, address):
        mirror = self.mirrors[address] = SourceMirror()
        client = PatientClient(address=address, reply_decoder=serving.REPLY_DECODER)
        try:
            await self._poll_with(client, address, mirror)
        finally:
            client.close()
            del self.mirrors[address]

    async def _poll_with(self, client, address, mirror):
        loop = asyncio.get_running_loop()
        behind_since = None
        last_reply_at = loop.time()
        while self._is_needed(address, loop.time() - last_reply_at):
            request = serving.PeerSyncRequest(
                process=mirror.process,
                cursor=mirror.cursor,
                version=self._asked_version(behind_since, loop.time()),
                wait_ms=round(self._wait_s(behind_since, loop.time()) * 1000),
                crash_number=mirror.crash_number,
                evacuations=self.machine.evacuations.number,
            )
            sent_at = loop.time()
            try:
                reply = await client.call(request, overdue_s=PEER_OVERDUE_S)
            except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
                self._note_failure(address, mirror, error)
            else:
                last_reply_at = loop.time()
                late_s = max(0.0, last_reply_at - sent_at - PEER_OVERDUE_S)
                mirror.record(self._usable(reply.report), last_reply_at - late_s)
                mirror.crash_number = reply.crash_number
                self.crashes.record_from_replica(reply.crash_reports, last_reply_at)
                self.troubles.record_sums(address, reply.observations, last_reply_at)
                if reply.evacuations is not None:
                    self.machine.restore_evacuations(reply.evacuations)
                behind_since = self._note_version(
                    address, reply, behind_since, last_reply_at
                )
            await asyncio.sleep(PEER_PAUSE_S)

    def _usable(self, report):
        """Returns the report without the searchers that no host can use."""
        searchers = usable(report.searchers, log_event=self.events.log_event)
        return msgspec.structs.replace(report, searchers=searchers)

    def _is_needed(self, address, silent_s):
        return address in self.addresses() or silent_s < FORGET_AFTER_S

    @staticmethod
    def _wait_s(behind_since, now):
        """Returns how long the reply may wait for changes."""
        if behind_since is None:
            return PEER_WAIT_S
        grace_left_s = behind_since + DOCUMENT_GRACE_S - now
        return min(PEER_WAIT_S, max(0.0, grace_left_s))

    def _asked_version(self, behind_since, now):
        """Returns the version above which a document is asked for."""
        if behind_since is None or now - behind_since < DOCUMENT_GRACE_S:
            return NO_DOCUMENT
        return self.machine.newest.version

    def _note_version(self, address, reply, behind_since, now):
        """Takes a newer document; returns since when this replica is behind."""
        if reply.document is not None and reply.version > self.machine.newest.version:
            self.events.log_rare(
                "configuration_from_replica",
                version=reply.version,
                replica=address,
                behind_ms=round((now - behind_since) * 1000),
            )
            self.machine.restore_committed(
                version=reply.version, document=reply.document
            )
        if reply.version <= self.machine.newest.version:
            return None
        return now if behind_since is None else behind_since

    def _note_failure(self, address, mirror, error):
        """Forgets a replica that stays unreachable, and logs that once."""
        now = asyncio.get_running_loop().time()
        if mirror.report is None or now - mirror.updated_at < MIRROR_VALIDITY_S:
            return
        mirror.clear()
        reason = type(error).__name__
        self.events.log_event("peer_lost", replica=address, reason=reason)
