"""Wiring of the components of an entry host."""

import asyncio
import time
import uuid

from loguru import logger
from tornado.httpserver import HTTPServer

from plantainstage._entry.announcements import AnnouncementForwarder
from plantainstage._entry.claim_batches import ClaimBatches
from plantainstage._entry.claims import Claims
from plantainstage._entry.control_session import ControlSession
from plantainstage._entry.draining_searchers import DrainingSearchers
from plantainstage._entry.gathers import GatherRunner
from plantainstage._entry.handlers import (
    BODY_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_DROPPED_BYTES,
    make_application,
)
from plantainstage._entry.owners import SearcherOwners, not_sent
from plantainstage._entry.quarantine_reporter import QuarantineReporter
from plantainstage._entry.queries import QueryService
from plantainstage._limits.extra_load import ExtraLoadBudgets
from plantainstage._limits.owner_queue import HostLease
from plantainstage._messages import forward
from plantainstage._messages.configuration import EntryHost as EntryRecord
from plantainstage._reports.metrics import Metric, make_metrics
from plantainstage._reports.minute_log import log_all_minutes, log_due_minutes
from plantainstage._reports.recorder import MinuteRecorder
from plantainstage._routing.estimates import RoutingState
from plantainstage._routing.view import ConfigurationView, start_ramps
from plantainstage._transport.forward import ForwardLinks
from plantainstage._transport.rpc import ControlClient

# A renewal must reach another leader well within one lease.
CONTROL_ATTEMPT_S = 0.4
TICK_INTERVAL_S = 0.2
# Sub-requests without a result this long after the deadline are dropped.
LATE_RESULT_TIMEOUT_S = 1.0
# The other hosts learn of this one when they renew their leases, every 0.4 s.
# Before that, they cannot send results back to it.
MIN_READY_RENEWALS = 3


class EntryHost:
    """One entry host; ``start`` and ``close`` are called once each."""

    def __init__(self, *, settings):
        self.settings = settings
        self.record = EntryRecord(
            entry_id=settings.entry_id,
            incarnation=uuid.uuid4().hex,
            data_centre=settings.data_centre,
            caller_address=settings.listen,
            forward_address=settings.forward_listen,
        )
        self.draining = False
        self.finished_peers = {}  # entry id -> incarnation that finished sending
        self.tasks = []
        self.lease = HostLease()
        self.metrics = make_metrics(
            address=settings.statsd_address,
            program="entry",
            host_id=settings.entry_id,
        )
        self.recorder = MinuteRecorder(
            host=settings.entry_id,
            incarnation=self.record.incarnation,
            now=time.time(),
        )
        self.routing = RoutingState(
            entry_id=settings.entry_id,
            incarnation=self.record.incarnation,
            data_centre=settings.data_centre,
        )
        self._make_control_components()
        self._make_data_components()
        self.server = HTTPServer(
            make_application(self),
            max_body_size=MAX_DROPPED_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def _make_control_components(self):
        # Lease renewals have a client of their own, so that a pending claim or
        # announcement does not delay them.
        self.clients = [
            ControlClient(
                addresses=self.settings.control, attempt_timeout_s=CONTROL_ATTEMPT_S
            )
            for _ in range(2)
        ]
        self.session = ControlSession(
            client=self.clients[0],
            entry=self.record,
            lease=self.lease,
            apply=self.apply,
            releasing=lambda: self.owners.releasing(),
        )
        self.announcements = AnnouncementForwarder(
            client=self.clients[1],
            on_draining=lambda upstream: self.draining_searchers.on_announcement(
                upstream, asyncio.get_running_loop().time()
            ),
        )
        self.claims = Claims(
            client=ClaimBatches(client=self.clients[1]), entry=self.record
        )

    def _make_data_components(self):
        self.links = ForwardLinks(
            entry_id=self.record.entry_id,
            address=self.settings.forward_listen,
            on_message=self._on_peer_message,
            on_not_sent=self._on_not_sent,
            on_lost=lambda peer, queued: self.gathers.link_lost(peer, queued),
            expects_results=lambda peer: self.gathers.expects_results(peer),
        )
        self.draining_searchers = DrainingSearchers(
            entry_id=self.record.entry_id,
            links=self.links,
            on_change=lambda: self._use_configuration(self.session.configuration),
        )
        self.quarantine_reporter = QuarantineReporter(
            entry_id=self.record.entry_id,
            client=self.clients[1],
            links=self.links,
            crash_cause=self._crash_cause,
        )
        self.budgets = ExtraLoadBudgets()
        self.owners = SearcherOwners(
            entry_id=self.record.entry_id,
            lease=self.lease,
            quarantines=self.routing.quarantines,
            budgets=self.budgets,
            on_result=self._on_owner_result,
            on_crashes=self.quarantine_reporter.report_soon,
            on_probe=self._on_probe,
        )
        self.gathers = GatherRunner(
            lease=self.lease,
            routing=self.routing,
            budgets=self.budgets,
            send=self._send,
            cancel=self._cancel,
            report_crashes=self.quarantine_reporter.report,
        )
        self.queries = QueryService(
            lease=self.lease,
            gathers=self.gathers,
            claims=self.claims,
            recorder=self.recorder,
            metrics=self.metrics,
        )

    # ---- Start and configuration ---------------------------------------------

    def start(self):
        """Listens and starts the tasks; raises OSError, pynng.AddressInUse."""
        host, _, port = self.settings.listen.rpartition(":")
        self.server.listen(int(port), address=host.strip("[]"))
        self.links.start()
        self.tasks = [
            asyncio.create_task(self.session.run()),
            asyncio.create_task(self.announcements.run()),
            asyncio.create_task(self._tick()),
        ]
        for task in self.tasks:
            task.add_done_callback(_report_task_end)

    def apply(self, configuration):
        """Applies a new configuration version to all components."""
        now = asyncio.get_running_loop().time()
        self.links.set_peers(configuration.entry_hosts)
        self.routing.quarantines.apply_recorded(
            configuration.quarantines, now=now, unix_ms=time.time() * 1000
        )
        self.routing.quarantines.apply_lifted(configuration.lifted, now=now)
        self.budgets.set_limits(configuration.profiles)
        self._use_configuration(configuration)
        start_ramps(
            before=self.session.configuration,
            after=configuration,
            routing=self.routing,
            now=now,
        )
        logger.info("configuration applied", version=configuration.version)

    def _use_configuration(self, configuration):
        """Applies a configuration, with draining states that it does not record yet."""
        now = asyncio.get_running_loop().time()
        effective = self.draining_searchers.apply(configuration, now)
        self.owners.apply(effective)
        self.queries.view = ConfigurationView(
            configuration=effective, routing=self.routing
        )

    def reason_not_ready(self):
        """Returns why the host should get no requests, or an empty string."""
        if self.draining:
            return "draining"
        if not self.session.holds_lease:
            return "configuration_unconfirmed"
        if self.session.renewals < MIN_READY_RENEWALS:
            return "not_known_to_peers"
        return ""

    # ---- Messages between components -----------------------------------------

    def _send(self, owner_id, sub_request):
        if owner_id == self.record.entry_id:
            self.owners.submit(owner_id, sub_request)
            return
        link = self.links.peers.get(owner_id)
        if link is None:
            self.gathers.queue_result(not_sent(sub_request, "owner_unknown"))
        else:
            link.send_sub_request(sub_request)

    def _cancel(self, owner_id, sub_request_id):
        if owner_id == self.record.entry_id:
            self.owners.cancel(sub_request_id)
        elif owner_id in self.links.peers:
            self.links.peers[owner_id].cancel(sub_request_id)

    def _on_not_sent(self, sub_request, reason):
        self.gathers.queue_result(not_sent(sub_request, reason))

    def _on_owner_result(self, requester_id, result):
        self.metrics.count(Metric.SUB_REQUEST_OUTCOMES, label=result.outcome.value)
        if requester_id == self.record.entry_id:
            self.gathers.queue_result(result)
        elif requester_id in self.links.peers:
            self.links.peers[requester_id].send_result(result)

    def _on_probe(self, profile):
        self.recorder.sub_requests_sent(
            profile=profile, now=time.time(), first=0, extra=1
        )
        self.metrics.count(Metric.EXTRA_SUB_REQUESTS)

    def _on_peer_message(self, message):
        match message:
            case forward.SubResults(items=items):
                self.gathers.deliver_results(items)
            case forward.SubRequests(sender=sender, items=items):
                # Without a link the results could not be returned to the sender.
                if sender in self.links.peers:
                    for sub_request in items:
                        self.owners.submit(sender, sub_request)
            case forward.CancelSubRequests(sub_request_ids=sub_request_ids):
                for sub_request_id in sub_request_ids:
                    self.owners.cancel(sub_request_id)
            case forward.QuarantineNotice():
                now = asyncio.get_running_loop().time()
                self.routing.quarantines.apply_notice(message, now)
            case forward.RequestsFinished(sender=sender, incarnation=incarnation):
                self.finished_peers[sender] = incarnation
            case forward.DrainNotice():
                self.draining_searchers.on_notice(
                    message, asyncio.get_running_loop().time()
                )

    def notify_finished(self):
        """Notifies the peers that this host sends no more sub-requests."""
        notice = forward.RequestsFinished(
            sender=self.record.entry_id, incarnation=self.record.incarnation
        )
        for link in self.links.peers.values():
            link.send_unbatched(notice)

    def needed_by_peers(self):
        """Whether another host may still send sub-requests to this one."""
        return any(
            self.finished_peers.get(peer.entry_id) != peer.incarnation
            for peer in self.session.configuration.entry_hosts
            if peer.entry_id != self.record.entry_id
        )

    def _crash_cause(self, fingerprint):
        """Returns the searchers that a fingerprint crashed and their index."""
        searchers = self.routing.quarantines.crashed_searchers(fingerprint)
        indexes = {
            item.index
            for item in self.session.configuration.upstreams
            if item.upstream_id in searchers
        }
        return searchers, min(indexes, default="")

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            loop = asyncio.get_running_loop()
            self.gathers.drop_finished_before(loop.time() - LATE_RESULT_TIMEOUT_S)
            self.owners.open_missing_connections()
            if self.owners.releasing_owners and not self.owners.releasing():
                self.session.renew_soon()
            log_due_minutes(self.recorder, now=time.time())
            self.metrics.gauge(Metric.LEASE_HELD, value=int(self.session.holds_lease))
            self.metrics.gauge(Metric.VERSION, value=self.session.configuration.version)
            self.metrics.gauge(Metric.IN_FLIGHT, value=len(self.queries.active))
            self.metrics.flush()

    # ---- Shutdown ------------------------------------------------------------

    def close(self):
        """Closes all sockets and logs the remaining minute records."""
        self.owners.abort()
        for client in self.clients:
            client.close()
        log_all_minutes(self.recorder, now=time.time())
        self.metrics.close()


def _report_task_end(task):
    """Reports a task that ended without being cancelled as a fatal error."""
    if not task.cancelled():
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": "a task of the entry host ended unexpectedly",
                "exception": task.exception(),
                "fatal": True,
            }
        )
