"""Serves control requests on a replicated log."""

import time

from loguru import logger

from plantainstage._control import (
    claim_requests,
    entry_requests,
    operator_requests,
)
from plantainstage._control.control_context import ControlContext
from plantainstage._errors import (
    InvariantViolation,
    NotLeaderError,
    OutcomeUnknownError,
)
from plantainstage._membership.commands import DEFAULT_KEEP_BYTES
from plantainstage._messages import control


def wall_clock_ms():
    """Returns Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class ControlService:
    """Handles control requests.

    Lost leadership and unknown outcomes are never reported as verdicts: they have
    replies of their own, after which the client repeats the request.
    """

    def __init__(
        self,
        *,
        log,
        machine,
        clock=time.monotonic,
        wall_ms=wall_clock_ms,
        keep_bytes=DEFAULT_KEEP_BYTES,
        count=lambda name: None,
    ):
        self.control_context = ControlContext.build(
            log=log,
            machine=machine,
            clock=clock,
            wall_ms=wall_ms,
            keep_bytes=keep_bytes,
        )
        self.count = count

    async def handle(self, request):
        """Returns the reply to one control request."""
        self.count(f"request.{type(request).__name__}")
        try:
            return await self._dispatch(request)
        except NotLeaderError as error:
            return control.NotLeader(leader_address=error.leader_address)
        except OutcomeUnknownError:
            self.count("outcome_unknown")
            return control.OutcomeUnknown()
        except InvariantViolation as error:
            self.count(f"invariant_violation.{error.invariant.replace(' ', '_')}")
            logger.critical("request stopped by a violated invariant", error=str(error))
            return control.RequestRejected(
                code="invariant_violated",
                message=f"The request was stopped: {error}",
                remedy="Keep the logs of all control replicas and report this.",
            )

    async def _dispatch(self, request):
        context = self.control_context
        match request:
            case control.RenewEntryLease():
                return await entry_requests.renew_lease(context, request)
            case control.AnnounceUpstreams():
                return await entry_requests.announce_upstreams(context, request)
            case control.ReportQuarantine():
                return await entry_requests.report_quarantine(context, request)
            case control.ClaimRequest():
                return (await claim_requests.decide(context, (request,)))[0]
            case control.CompleteClaim():
                return (await claim_requests.decide(context, (request,)))[0]
            case control.ClaimBatch(members=members):
                return await claim_requests.decide_batch(context, members)
            case control.SubmitChange():
                return await operator_requests.submit_change(context, request)
            case control.QueryNextNumber():
                return await operator_requests.next_number(context)
            case control.QueryChange():
                return await operator_requests.find_change(context, request)
            case control.QueryConfiguration():
                return await operator_requests.current_configuration(context)
            case control.QueryStatus():
                return await operator_requests.query_status(context, request)
            case control.ChangeMember():
                return await operator_requests.change_member(context, request)
