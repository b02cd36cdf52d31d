"""Polls control replicas for the configuration and the searchers."""

import asyncio
from functools import partial

import msgspec
import pynng

from plantainstage._errors import InvalidConfigurationError
from plantainstage._messages import serving
from plantainstage._serving.announcement_ranges import usable
from plantainstage._serving.control_sources import ControlSources
from plantainstage._serving.crash_reports import suspicion_digest
from plantainstage._serving.helper_hosts import helpers_digest
from plantainstage._serving.merged_searchers import MergedSearchers
from plantainstage._serving.searcher_observations import troubles_digest
from plantainstage._serving.searchers import SearcherState
from plantainstage._supervision import ChangeSignal, log_failure, run_supervised
from plantainstage._transport.patient_client import PatientClient
from plantainstage._transport.rpc import RECONNECT_MAX_MS

POLL_INTERVAL_S = 0.35
# Traffic between data centres is expensive, so remote replicas are polled less often.
# The interval is bounded since a departure must take effect within 3 s.
REMOTE_POLL_INTERVAL_S = 1.0
UNCONFIGURED_POLL_INTERVAL_S = 0.06
# A host without a configuration cannot serve requests, so it retries at short
# intervals to connect to replicas that are still starting.
UNCONFIGURED_RECONNECT_MAX_MS = 60
REPORT_GAP_S = 0.05  # between polls that carry crash reports
POLL_OVERDUE_S = 0.8
EXPIRE_INTERVAL_S = 0.25
# Failed polls of one replica in a row that are logged; a single one is ordinary.
LOGGED_FAILURES = 3


def poll_interval_s(
    *, has_configuration: bool, own_data_centre: str, data_centre: str
) -> float:
    """Returns how long to wait before a replica in ``data_centre`` is polled again.

    A host without a configuration cannot serve requests, so it polls often. An empty
    ``data_centre`` stands for a replica that has not replied yet.
    """
    if not has_configuration:
        return UNCONFIGURED_POLL_INTERVAL_S
    if data_centre in ("", own_data_centre):
        return POLL_INTERVAL_S
    return REMOTE_POLL_INTERVAL_S


class ControlLink:
    """Passes configurations and searchers from control replicas to the router.

    ``addresses()`` returns the seed replicas; replies list all others. Each replica
    has a task of its own, which polls it unless another one passes on its reports, so
    that an unreachable replica does not delay updates from the rest.
    """

    def __init__(
        self, *, host_id, router, addresses, decode, on_limits, events, relay_address=""
    ):
        self.host_id = host_id
        self.relay_address = relay_address
        self.router = router
        self.addresses = addresses
        self.decode = decode
        self.on_limits = on_limits
        self.events = events
        self.merged_searchers = MergedSearchers()
        self.sources = ControlSources(
            host_id=host_id, data_centre=router.fleet.data_centre
        )
        self.pollers = {}
        self.suspicion_digests = {}  # address -> of what the replica last reported
        self.confirmed = {}  # address -> (process, number of its last crash report)
        self.leader = ""  # sync address of the leader that a replica last named
        self.has_replied = False  # whether any replica has
        self.heard_before = float("-inf")  # the last reply but one of any replica
        self.observed = ChangeSignal()
        router.end_checks.on_observation = self.observed.notify
        router.on_outdated = self.observed.notify

    # ---- Tasks --------------------------------------------------------------------

    async def run(self):
        """Runs until it is cancelled."""
        try:
            while True:
                self._start_pollers(self.addresses())
                self._expire(asyncio.get_running_loop().time())
                await asyncio.sleep(EXPIRE_INTERVAL_S)
        finally:
            for poller in self.pollers.values():
                poller.cancel()
            self.pollers.clear()

    def _expire(self, now):
        for source in self.sources.take_lost(now):
            self.merged_searchers.mark_source_lost(source.process, now)
            self.events.log_event("control_lost", replica=source.address)
        for searcher_id in self.merged_searchers.expire(now):
            self.events.log_event("searcher_lost", searcher=searcher_id)
            self.router.fleet.remove_silent(searcher_id)
            remaining = self.merged_searchers.find(searcher_id)
            if remaining is not None:
                self._update_searcher(remaining)
        self.router.evidence.expire(now)
        self.router.set_hosts(self.sources.hosts)
        self.router.fleet.update_evacuations(now)
        self._record_sharing_hosts(now)
        self.router.fleet.refresh_warm_up(now)

    def _record_sharing_hosts(self, now):
        if self.sources.counted.reported_at > float("-inf"):
            self.router.fleet.warm_up.hosts.record(self.sources.hosts.total, now)

    def _start_pollers(self, addresses):
        for address in addresses:
            if address not in self.pollers:
                polling = run_supervised(
                    partial(self._poll, address),
                    task=f"poll {address}",
                    events=self.events,
                )
                self.pollers[address] = asyncio.create_task(polling)

    async def _poll(self, address):
        client = PatientClient(address=address, reply_decoder=serving.REPLY_DECODER)
        try:
            await self._poll_with(client, address)
        finally:
            client.close()

    async def _poll_with(self, client, address):
        loop = asyncio.get_running_loop()
        if not self._is_configured:
            client.reconnect_max_ms = UNCONFIGURED_RECONNECT_MAX_MS
        while True:
            if self._is_configured and self.sources.is_relayed(address, loop.time()):
                client.close()
                await self._wait_while_relayed(address)
                continue
            sent_at = loop.time()
            try:
                request, crash_number = self._request(address)
                reply = await client.call(request, overdue_s=POLL_OVERDUE_S)
            except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
                self._note_failure(address, type(error).__name__)
            else:
                client.reconnect_max_ms = RECONNECT_MAX_MS
                self._note_success(address)
                late_s = max(0.0, loop.time() - sent_at - POLL_OVERDUE_S)
                self._apply_reply(address, reply, late_s)
                self._confirm_reports(address, reply, crash_number)
            await self._pause(address)

    async def _pause(self, address):
        """Waits for the next poll, which is due earlier if there is a crash report."""
        await asyncio.sleep(REPORT_GAP_S)
        _, confirmed = self.confirmed.get(address, ("", 0))
        if self.router.evidence.last_number == confirmed:
            await self.observed.wait(self._poll_interval_s(address) - REPORT_GAP_S)

    async def _wait_while_relayed(self, address):
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, self.sources.relayed_until(address) - now))

    @property
    def _is_configured(self):
        return self.router.table is not None

    def _poll_interval_s(self, address):
        return poll_interval_s(
            has_configuration=self._is_configured,
            own_data_centre=self.router.fleet.data_centre,
            data_centre=self.sources.data_centre_of(address),
        )

    def _request(self, address):
        """Returns a poll, and the number of the last crash report in it."""
        now = asyncio.get_running_loop().time()
        counts = self.sources.counting_replica(now) == address
        fleet = self.router.fleet
        _, confirmed = self.confirmed.get(address, ("", 0))
        reports, crash_number = self.router.evidence.reports_after(confirmed, now)
        request = serving.SyncRequest(
            host_id=self.host_id,
            version=self.router.version,
            counts=counts,
            cursors=tuple(
                serving.SourceCursor(
                    address=source.address,
                    process=source.process,
                    cursor=source.cursor,
                )
                for source in self.sources.held()
            ),
            suspicion_digest=self.suspicion_digests.get(address, 0),
            crash_reports=reports,
            relay_address=self.relay_address,
            cut_off=fleet.reach.is_cut_off,
            helpers_digest=helpers_digest(self.router.helpers.hosts.addresses),
            knows_accounts=True,
            observations=fleet.observations.take() if counts else (),
            troubles_digest=troubles_digest(fleet.troubles),
            evacuations=fleet.evacuations.number,
        )
        return request, crash_number

    def _note_failure(self, address, reason):
        self.router.metrics.failed_polls.labels(reason).inc()
        failed = self.sources.record_failure(address)
        if failed == LOGGED_FAILURES:
            self.events.log_rare(
                "polls_fail", replica=address, reason=reason, failed=failed
            )

    def _note_success(self, address):
        now = asyncio.get_running_loop().time()
        self.heard_before = self.sources.replied_at
        failed = self.sources.record_reply(address, now)
        if failed >= LOGGED_FAILURES:
            self.events.log_rare("polls_recovered", replica=address, failed=failed)

    # ---- Replies ------------------------------------------------------------------

    def _apply_reply(self, address, reply, late_s):
        # Applied first, so that an error in the rest of the reply cannot keep the host
        # at an old version.
        if reply.document is not None and reply.version > self.router.version:
            self._apply_configuration(address, reply)
        now = asyncio.get_running_loop().time()
        # Before the searchers, so that none of those there gets a request meanwhile.
        if reply.evacuations is not None:
            self._apply_evacuations(reply.evacuations, now)
        self.has_replied = True
        self.leader = reply.leader or self.leader
        self._start_pollers(reply.replicas)
        for report in reply.sources:
            self._apply_report(address, report, now, made_at=now - late_s)
        if reply.suspected is not None:
            self.suspicion_digests[address] = suspicion_digest(reply.suspected)
            rulings = self.router.evidence.apply_suspected(reply.suspected, now)
            self.router.end_checks.apply(rulings)

        if self.sources.counting_replica(now) == address:
            self.router.fleet.apply_troubles(reply.troubles)
        if reply.helpers is not None and self.relay_address:
            self.router.helpers.update(reply.helpers)

    def _apply_evacuations(self, reported, now):
        fleet = self.router.fleet
        is_newer = fleet.evacuations.record(
            reported.number,
            reported.data_centres,
            now=now,
            at_once=not self.has_replied,
        )
        if is_newer:
            fleet.warm_up.set_ended(reported.ended, now)
            fleet.update_evacuations(now)

    def _confirm_reports(self, address, reply, crash_number):
        """Records which crash reports a replica has; one that restarted has none."""
        process = reply.sources[0].process if reply.sources else ""
        known, _ = self.confirmed.get(address, (process, 0))
        self.confirmed[address] = (process, crash_number if process == known else 0)

    def _apply_report(self, relay, report, now, *, made_at):
        recorded = self.sources.record_report(relay, report, made_at)
        if not recorded.current:
            return
        if recorded.is_new:
            self.events.log_event("control_reached", replica=report.address)
        if recorded.replaced_process:
            self.merged_searchers.mark_source_lost(recorded.replaced_process, now)
        for searcher in usable(report.searchers, log_event=self.events.log_event):
            self._apply_searcher(report.process, searcher)
        for searcher_id in report.silent:
            self.merged_searchers.mark_silent(report.process, searcher_id, now)

    def _apply_searcher(self, source, searcher):
        """Applies one entry; a failure costs none of the others.

        The replica does not send them again, since the poll has their cursor.
        """
        try:
            changed = self.merged_searchers.update(source, searcher)
            if changed is not None:
                self._update_searcher(changed)
        except Exception as error:
            log_failure(self.events, f"searcher {searcher.searcher_id}", error)

    def _update_searcher(self, searcher):
        self.router.fleet.update_searcher(searcher)
        event = "searcher_ready"
        if searcher.state is not SearcherState.READY:
            event = "searcher_leaves"
        self.events.log_event(
            event,
            searcher=searcher.searcher_id,
            service=searcher.service,
            data_centre=searcher.data_centre,
        )

    def _apply_configuration(self, address, reply):
        try:
            configuration = self.decode(reply.document)
        except InvalidConfigurationError as error:
            # Control replicas validate documents before they store them, so an
            # invalid one was accepted by another release of this program.
            self.events.log_event("configuration_unreadable", reason=str(error)[:500])
            return
        if self.router.apply(configuration):
            names = {service.name for service in configuration.services}
            for searcher in self.merged_searchers.set_services(names):
                self._update_searcher(searcher)
            self.on_limits(configuration.limits)
            self.events.log_rare(
                "configuration_in_force",
                version=configuration.version,
                replica=address,
                held_ms=reply.held_ms,
                control_age_ms=self._control_age_ms(),
            )

    def _control_age_ms(self):
        """Returns how long ago control was last heard before the reply in hand."""
        if self.heard_before == float("-inf"):
            return None
        return round((asyncio.get_running_loop().time() - self.heard_before) * 1000)
