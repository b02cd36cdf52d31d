"""Runs the gathers of this entry host's requests.

Each request has one ``Gather``. Its sub-requests go to the owners of their
searchers, on this host or over a link, and the results come back by id.
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
    """A sub-request without a result so far."""

    __slots__ = ("run", "owner_id", "sub_request")

    def __init__(self, *, run, owner_id, sub_request):
        self.run = run
        self.owner_id = owner_id
        self.sub_request = sub_request


class GatherRun:
    """One request under way; ``outcome`` is its FinishRequest."""

    def __init__(self, *, gather, gathers):
        self.gather = gather
        self.gathers = gathers
        self.outcome = gathers.loop.create_future()
        self.timer = None

    def on_caller_disconnect(self):
        """Cancels what nobody waits for any more."""
        self.gathers.dispatch(self, self.gather.on_caller_gone)

    def _on_timer(self):
        self.timer = None
        self.gathers.dispatch(self, self.gather.on_timer)

    def wake_at(self, time):
        """Replaces the timer."""
        if self.timer is not None:
            if self.timer.when() == time:
                return
            self.timer.cancel()
        self.timer = self.gathers.loop.call_at(time, self._on_timer)

    def fail(self, error):
        """Ends the request after a fault of the program."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.outcome.done():
            self.outcome.set_exception(error)

    def finish(self, action):
        """Makes the outcome known."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.outcome.done():
            self.outcome.set_result(action)


class GatherRunner:
    """All requests under way on this host.

    ``send`` takes (owner id, SubRequest), ``cancel`` (owner id, sub-request
    id). ``report_crashes`` returns once a quarantine is recorded.
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
        """Passes an event to a gather and carries out what follows.

        A fault, such as a violated invariant, ends this request and no other.
        """
        try:
            self.execute(run, event(*arguments, self.loop.time()))
        except Exception as error:
            run.fail(error)

    def execute(self, run, actions):
        """Carries out the actions of a gather in order."""
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
        """Takes a result; the gather sees it in the loop's next turn.

        A result may come while the gather's own actions are being carried out,
        and must not overtake the rest of them.
        """
        if not self.results:
            self.loop.call_soon(self._deliver_queued)
        self.results.append(result)

    def deliver_results(self, results):
        """Takes a peer's results; gathers see them at once.

        To be called from the event loop's own events only, when no action of a
        gather is being carried out. Waiting for the next turn would cost one
        more turn for each message.
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
        """Ends the sub-requests whose link died after they were handed over.

        They may have run, so that the outcome is not a reset and not NOT_SENT.
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
        """Whether the owner still has sub-requests of this host."""
        return self.outstanding_by_owner.get(owner_id, 0) > 0

    def drop_finished_before(self, time):
        """Drops sub-requests whose result will not come any more."""
        for sub_request_id, item in tuple(self.outstanding.items()):
            gather = item.run.gather
            if gather.finished and gather.finish_at < time:
                del self.outstanding[sub_request_id]
                self.outstanding_by_owner[item.owner_id] -= 1
