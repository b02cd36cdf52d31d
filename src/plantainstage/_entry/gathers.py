"""Runs the gathers of this entry host's requests.

Each request has one ``Gather``. Its sub-requests are sent to the owners of their
searchers, on this host or over a link, and the results are matched by id.
"""

import asyncio
from collections.abc import Callable

from plantainstage._entry.owners import not_sent
from plantainstage._messages.forward import SubOutcome, SubResult
from plantainstage._routing.gather import (
    CancelSubRequest,
    FinishRequest,
    Gather,
    ReportCrashes,
    SendSubRequest,
    WakeAt,
)


class _Outstanding:
    """A sub-request that has no result yet."""

    __slots__ = ("run", "owner_id", "sub_request")

    def __init__(self, *, run, owner_id, sub_request):
        self.run = run
        self.owner_id = owner_id
        self.sub_request = sub_request


class GatherRun:
    """A running request; ``outcome`` is a future of its FinishRequest."""

    def __init__(self, *, gather, gathers):
        self.gather = gather
        self.gathers = gathers
        self.outcome = gathers.loop.create_future()
        self.timer = None

    def on_caller_disconnect(self):
        """Cancels the request, since its caller has disconnected."""
        self.gathers.dispatch(self, self.gather.on_caller_disconnect)

    def _on_timer(self):
        self.timer = None
        self.gathers.dispatch(self, self.gather.on_timer)

    def wake_at(self, time):
        """Replaces the timer, unless it is set for this time already."""
        if self.timer is not None:
            if self.timer.when() == time:
                return
            self.timer.cancel()
        self.timer = self.gathers.loop.call_at(time, self._on_timer)

    def fail(self, error):
        """Ends the request with an unexpected error."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.outcome.done():
            self.outcome.set_exception(error)

    def finish(self, action):
        """Ends the request with its outcome."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.outcome.done():
            self.outcome.set_result(action)


class GatherRunner:
    """Runs all requests in progress on this host.

    ``send`` is called with an owner id and a SubRequest, ``cancel`` with an owner
    id and a sub-request id. ``report_crashes`` is awaited until a quarantine is
    recorded.
    """

    def __init__(
        self,
        *,
        lease,
        routing,
        budgets,
        send: Callable,
        cancel: Callable,
        report_crashes: Callable,
    ):
        self.lease = lease
        self.routing = routing
        self.budgets = budgets
        self.send = send
        self.cancel = cancel
        self.report_crashes = report_crashes
        self.loop = asyncio.get_running_loop()
        self.outstanding = {}
        self.outstanding_by_owner = {}  # owner id -> number of outstanding sub-requests
        self.results = []
        self.report_tasks = set()

    def start(self, *, request_id, profile, body, view, arrived_at):
        """Starts a request and returns its GatherRun."""
        gather = Gather(
            request_id=request_id,
            profile=profile,
            body=body,
            view=view,
            routing=self.routing,
            budget=self.budgets.for_profile(profile),
            now=arrived_at,
        )
        run = GatherRun(gather=gather, gathers=self)
        self.execute(run, gather.start(self.loop.time()))
        return run

    def dispatch(self, run, event, *arguments):
        """Passes an event to a gather and executes the actions that it returns.

        An exception, such as a violated invariant, ends only this request.
        """
        try:
            self.execute(run, event(*arguments, self.loop.time()))
        except Exception as error:
            run.fail(error)

    def execute(self, run, actions):
        """Executes the actions of a gather in order."""
        for action in actions:
            match action:
                case SendSubRequest(owner_id=owner_id, sub_request=sub_request):
                    self._send(run, owner_id, sub_request)
                case CancelSubRequest():
                    self.cancel(action.owner_id, action.sub_request_id)
                case WakeAt(time=time):
                    run.wake_at(time)
                case ReportCrashes():
                    self._report(run, action)
                case FinishRequest():
                    run.finish(action)

    def _send(self, run, owner_id, sub_request):
        self.outstanding[sub_request.sub_request_id] = _Outstanding(
            run=run, owner_id=owner_id, sub_request=sub_request
        )
        self.outstanding_by_owner[owner_id] = (
            self.outstanding_by_owner.get(owner_id, 0) + 1
        )
        if not self.lease.valid(self.loop.time()):
            self.queue_result(not_sent(sub_request, "lease_expired"))
            return
        self.send(owner_id, sub_request)

    def _report(self, run, action):
        async def report():
            await self.report_crashes(action.fingerprint, action.duration_ms)
            self.dispatch(run, run.gather.on_quarantine_recorded)

        task = asyncio.create_task(report())
        self.report_tasks.add(task)
        task.add_done_callback(self.report_tasks.discard)

    # ---- Results -------------------------------------------------------------

    def queue_result(self, result):
        """Queues a result for delivery in the event loop's next iteration.

        A result may arrive while actions of its gather are being executed, and
        must not be delivered before the rest of them.
        """
        if not self.results:
            self.loop.call_soon(self._deliver_queued)
        self.results.append(result)

    def deliver_results(self, results):
        """Delivers a peer's results at once.

        Must be called from a callback of the event loop, while no action of a
        gather is being executed. Queueing the results instead would cost one more
        iteration of the loop for each message.
        """
        self.results.extend(results)
        self._deliver_queued()

    def _deliver_queued(self):
        results, self.results = self.results, []
        for result in results:
            item = self.outstanding.pop(result.sub_request_id, None)
            if item is None:
                self.routing.counters.discarded_results += 1
                continue
            self.outstanding_by_owner[item.owner_id] -= 1
            self.dispatch(item.run, item.run.gather.on_result, result)

    def link_lost(self, owner_id, queued_ids):
        """Ends the sub-requests that were sent over a link that broke.

        They may have run, so their outcome is neither NOT_SENT nor RESET.
        """
        for sub_request_id, item in tuple(self.outstanding.items()):
            if item.owner_id == owner_id and sub_request_id not in queued_ids:
                sub_request = item.sub_request
                self.queue_result(
                    SubResult(
                        sub_request_id=sub_request_id,
                        upstream_id=sub_request.upstream_id,
                        partition=sub_request.partition,
                        outcome=SubOutcome.SILENT,
                        reason="link_lost",
                    )
                )

    def expects_results(self, owner_id):
        """Whether the owner has unfinished sub-requests of this host."""
        return self.outstanding_by_owner.get(owner_id, 0) > 0

    def drop_finished_before(self, time):
        """Drops sub-requests of gathers that had to finish before ``time``."""
        for sub_request_id, item in tuple(self.outstanding.items()):
            gather = item.run.gather
            if gather.finished and gather.finish_at < time:
                del self.outstanding[sub_request_id]
                self.outstanding_by_owner[item.owner_id] -= 1
