"""Answers the polls of entry hosts and of other replicas."""

import asyncio
from dataclasses import dataclass

import msgspec

from plantainstage._messages import serving
from plantainstage._serving.helper_hosts import choose_helpers, helpers_digest
from plantainstage._serving.searcher_observations import troubles_digest
from plantainstage._supervision import ChangeSignal

# An entry host polls several times a second. One that stopped is still counted for
# this time, since its connections outlast it.
HOST_RETENTION_S = 4.0
# A whole data centre may be cut off and need hosts elsewhere.
HELPERS_TOLD = 8


@dataclass(frozen=True, kw_only=True)
class PollingHost:
    """An entry host that counts itself here; no address means that it helps nobody."""

    polled_at: float
    relay_address: str


class SyncService:
    """Reports what this replica and the reachable other ones hear.

    ``relay`` holds the reports of the others, ``addresses()`` returns the sync
    addresses of all replicas, ``leader()`` that of the group's leader. ``withholding``
    decides who gets the configuration.
    """

    def __init__(
        self,
        *,
        own_address,
        process,
        data_centre,
        machine,
        register,
        crashes,
        troubles,
        relay,
        addresses,
        withholding,
        leader,
        events,
    ):
        self.own_address = own_address
        self.process = process
        self.data_centre = data_centre
        self.machine = machine
        self.register = register
        self.crashes = crashes
        self.troubles = troubles
        self.relay = relay
        self.addresses = addresses
        self.leader = leader
        self.withholding = withholding
        self.events = events
        self.troubled = set()  # ids of searchers
        self.hosts = {}  # host id -> PollingHost
        self.known_version = None  # of the document that was known last
        self.known_at = 0.0
        self.changes = ChangeSignal()
        register.on_change = self.changes.notify
        crashes.on_change = self.changes.notify

    # ---- Commands -----------------------------------------------------------------

    def expire(self, now: float):
        """Forgets entry hosts that no longer count themselves here."""
        for host_id, host in list(self.hosts.items()):
            if now - host.polled_at > HOST_RETENTION_S:
                del self.hosts[host_id]

    def note_document(self, now: float):
        """Notes since when the newest document is known, and logs a new one."""
        version = self.machine.newest.version
        if version != self.known_version:
            self.known_version, self.known_at = version, now
            self.events.log_rare("configuration_known", version=version)
            self.changes.notify()

    # ---- Replies ------------------------------------------------------------------

    def reply_to_host(self, request: serving.SyncRequest, now: float):
        """Returns the reply to a poll of an entry host."""
        if request.counts:
            self.hosts[request.host_id] = PollingHost(
                polled_at=now,
                relay_address="" if request.cut_off else request.relay_address,
            )
        self.crashes.record_from_host(request.crash_reports, now)
        self.troubles.record(request.observations, now)
        held = {cursor.address: cursor for cursor in request.cursors}
        own = held.get(self.own_address, serving.NOTHING_HELD)
        report = self._own_report(process=own.process, cursor=own.cursor)
        return serving.SyncReply(
            version=self.machine.newest.version,
            document=self._document_for_host(request),
            sources=(report, *self.relay.reports(held, now)),
            replicas=self.addresses(),
            suspected=self.crashes.suspected_unless(request.suspicion_digest, now),
            helpers=self._helpers_unless(request, now),
            leader=self.leader(),
            troubles=self._troubles_unless(request.troubles_digest, now),
            evacuations=self._evacuations_above(request.evacuations),
            held_ms=round((now - self.known_at) * 1000),
        )

    def _troubles_unless(self, digest, now):
        """Returns the searchers in trouble, or None if the host knows them."""
        troubles = self.troubles.current(now)
        self._log_troubles(troubles)
        return None if troubles_digest(troubles) == digest else troubles

    def _helpers_unless(self, request, now):
        """Returns the helpers of a host, or None if it knows them."""
        if not request.relay_address or not request.counts:
            return None
        own = {request.relay_address}
        near = set(self._relay_addresses()) - own
        far = set(self.relay.helpers(now)) - own
        chosen = choose_helpers(request.host_id, near, far)
        known = helpers_digest(chosen) == request.helpers_digest
        return None if known else chosen

    def _log_troubles(self, troubles):
        """Logs which searchers get into trouble, and which are out of it."""
        current = {trouble.searcher_id: trouble for trouble in troubles}
        for searcher_id in self.troubled - current.keys():
            self.events.log_event("searcher_sound", searcher=searcher_id)
        for searcher_id in current.keys() - self.troubled:
            self.events.log_event(
                "searcher_in_trouble",
                searcher=searcher_id,
                slowness=current[searcher_id].slowness,
                failure_share=current[searcher_id].failure_share,
            )
        self.troubled = set(current)

    def _relay_addresses(self):
        """Returns where the hosts that poll this replica take requests of others."""
        addresses = (host.relay_address for host in self.hosts.values())
        return [address for address in addresses if address]

    async def reply_to_peer(self, request: serving.PeerSyncRequest):
        """Returns the reply to another replica, once there is something to report."""
        known = (self.process, self.register.cursor, self.crashes.last_number)
        unchanged = (request.process, request.cursor, request.crash_number) == known
        if unchanged and self._document_above(request.version) is None:
            await self.changes.wait(request.wait_ms / 1000)
        number = request.crash_number if request.process == self.process else 0
        now = asyncio.get_running_loop().time()
        crash_reports, crash_number = self.crashes.reports_after(number, now)
        return serving.PeerSyncReply(
            version=self.machine.newest.version,
            report=msgspec.structs.replace(
                self._own_report(process=request.process, cursor=request.cursor),
                helpers=tuple(sorted(self._relay_addresses())[:HELPERS_TOLD]),
            ),
            document=self._document_above(request.version),
            crash_number=crash_number,
            crash_reports=crash_reports,
            observations=self.troubles.sums(now),
            evacuations=self._state_above(request.evacuations),
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

    def _document_for_host(self, request):
        document = self._document_above(request.version)
        if document is None or not self.withholding.may_give(request):
            return None
        return document

    def _evacuations_above(self, number):
        state = self._state_above(number)
        if state is None:
            return None
        return serving.Evacuations(
            number=state.number, data_centres=state.data_centres, ended=state.ended
        )

    def _state_above(self, number):
        state = self.machine.evacuations
        return state if state.number > number else None

    def _document_above(self, version):
        newest = self.machine.newest
        return newest.document if newest.version > version else None
