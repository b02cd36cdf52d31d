"""The task that joins this replica to its group and maintains the membership."""

import asyncio
from collections.abc import Callable

import msgspec
import pynng

from plantainstage._control.replica import Replica
from plantainstage._errors import PlantainstageError
from plantainstage._messages import serving
from plantainstage._messages.agreement import Member, MemberId
from plantainstage._messages.control import MemberAction
from plantainstage._registry.group import (
    GroupView,
    MemberStep,
    may_leave,
    needs_to_join,
    next_member_steps,
)
from plantainstage._registry.group_limits import GroupLimits
from plantainstage._registry.join_records import JoinRecords
from plantainstage._transport.rpc import RpcClient

STEP_INTERVAL_S = 0.2
JOIN_INTERVAL_S = 0.3
JOIN_TIMEOUT_S = 0.5
# A small part of the time that a planned stop has.
LEAVE_TIMEOUT_S = 1.5
LEAVE_PAUSE_S = 0.05


class GroupMaintainer:
    """Asks to join while this is needed; as leader commits membership changes.

    ``addresses()`` returns the replicas to ask, which may change at any time, and
    ``sync_address_of`` derives an address to ask from a leader's client address.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        own_address: str,
        addresses: Callable[[], tuple[str, ...]],
        sync_address_of: Callable[[str], str],
        limits: GroupLimits,
        events,
    ):
        self.replica = replica
        self.own_address = own_address
        self.addresses = addresses
        self.sync_address_of = sync_address_of
        self.events = events
        self.limits = limits
        self.join_requests = {}  # replica id -> Member that asked to join
        self.logged_refusals = set()
        self.logged_losses = ((), 0)  # lost voters, number of missing ones
        self.stopping = False  # then it does not ask to join again
        self.joins = JoinRecords()
        self.missing_voters = 0  # voters that are lost or not there, as leader
        self.leader_seen_at = asyncio.get_running_loop().time()

    # ---- Queries ------------------------------------------------------------------

    @property
    def needs_to_join(self):
        """Whether this replica may not be a member of the group."""
        core = self.replica.core
        if core is None or self.stopping:
            return False
        now = asyncio.get_running_loop().time()
        if core.state.leader is not None:
            self.leader_seen_at = now
        return needs_to_join(
            is_voter=self.replica.member_id in core.state.voters(),
            leaderless_s=now - self.leader_seen_at,
        )

    # ---- Commands -----------------------------------------------------------------

    def record_join_request(self, member: Member) -> serving.JoinReply:
        """Records a join request if this replica is the leader."""
        if self.replica.is_leader:
            self.join_requests[member.member_id.replica_id] = member
        return serving.JoinReply(leader=self.replica.leader_address)

    async def run(self):
        """Runs until it is cancelled."""
        await asyncio.gather(self._join(), self._change_members())

    async def _change_members(self):
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            if not self.replica.is_leader:
                self.join_requests.clear()
                continue
            view = self._view()
            self.joins.observe(view.learners)
            self._report_losses(view)
            while await self._take_step():
                # A group between two steps bears less than before and after them.
                pass

    def _view(self) -> GroupView:
        """Returns what this replica knows of the group as its leader."""
        return GroupView(
            statuses=self.replica.members(),
            commit_index=self.replica.commit_index,
            join_requests=dict(self.join_requests),
            limits=self.limits,
        )

    async def _take_step(self) -> bool:
        """Commits the first step that is not refused; returns whether there was one."""
        refusals = set()
        for step in next_member_steps(self._view()):
            try:
                await self.replica.change_member(step.action, step.member)
            except PlantainstageError as error:
                # An earlier step may still be in progress; the next round retries.
                refusals.add(f"{step.action.value}: {type(error).__name__}")
                continue
            self._log_refusals(set())
            self._record_step(step)
            return True
        self._log_refusals(refusals)
        return False

    def _log_refusals(self, refusals):
        if refusals - self.logged_refusals:
            reason = ", ".join(sorted(refusals))
            self.events.log_event("member_step_put_off", reason=reason)
        self.logged_refusals = refusals

    def _record_step(self, step):
        asking = self.join_requests.get(step.member.member_id.replica_id)
        if asking is not None and asking.member_id == step.member.member_id:
            del self.join_requests[asking.member_id.replica_id]
        member_id = step.member.member_id
        self.events.log_event(
            "group_changed", action=step.action.value, replica=str(member_id)
        )
        repeated = self.joins.record(step)
        if repeated is not None:
            self.events.log_event(
                "join_repeated",
                replica=str(member_id),
                additions=repeated.additions,
                waited_for=repeated.waited_for.value,
            )

    def _report_losses(self, view):
        """Logs a group that bears fewer losses than it should, and its recovery."""
        lost = tuple(f"{s.replica_id}/{s.incarnation[:8]}" for s in view.lost_voters)
        voters = len(view.voters)
        missing = max(0, view.limits.min_voters - voters)
        self.missing_voters = missing + len(lost)
        if (lost, missing) != self.logged_losses:
            self.logged_losses = (lost, missing)
            event = "group_degraded" if lost or missing else "group_whole"
            joining = {str(name): wait.value for name, wait in self.joins.waits.items()}
            self.events.log_event(
                event, voters=voters, lost=lost, missing=missing, joining=joining
            )

    # ---- A planned stop -----------------------------------------------------------

    async def leave(self):
        """Leaves the group before this replica stops, if the group is large enough.

        Otherwise the others would need one more vote until they take this replica for
        lost, and the next loss could leave them without a majority.
        """
        self.stopping = True
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + LEAVE_TIMEOUT_S
        while self._may_leave() and loop.time() < give_up_at:
            if self.replica.is_leader:
                await self._transfer_leadership()
            elif self.replica.leader_address:
                await self._ask_to_leave(self.replica.leader_address)
            await asyncio.sleep(LEAVE_PAUSE_S)
        left = not self._is_member
        self.events.log_event("left_group" if left else "stays_in_group")

    def _may_leave(self):
        return may_leave(self._view(), self.replica.member_id)

    @property
    def _is_member(self):
        members = self.replica.core.state.membership.members
        return self.replica.member_id in {m.member_id for m in members}

    async def _transfer_leadership(self):
        try:
            await self.replica.transfer_leadership()
        except PlantainstageError as error:
            self._log_leave_put_off(error)

    async def _ask_to_leave(self, leader):
        address = self.sync_address_of(leader)
        client = RpcClient(address=address, reply_decoder=serving.REPLY_DECODER)
        request = serving.PeerSyncRequest(leaving=self.replica.member_id)
        try:
            await client.call(request, timeout_s=JOIN_TIMEOUT_S)
        except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
            self._log_leave_put_off(error)
        finally:
            client.close()

    async def release(self, member_id: MemberId):
        """Removes a voter that is about to stop, if this replica leads the group."""
        if not self.replica.is_leader or not may_leave(self._view(), member_id):
            return
        member = Member(member_id=member_id)
        try:
            await self.replica.change_member(MemberAction.REMOVE, member)
        except PlantainstageError as error:
            self._log_leave_put_off(error)
            return
        self._record_step(MemberStep(action=MemberAction.REMOVE, member=member))

    def _log_leave_put_off(self, error):
        self.events.log_event("leave_put_off", reason=type(error).__name__)

    # ---- Joining ------------------------------------------------------------------

    async def _join(self):
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S)
            if not self.needs_to_join:
                continue
            await self._ask_to_join()

    async def _ask_to_join(self):
        """Asks each known replica, and each leader that one of them names.

        The leader may have joined after the settings of this replica were written.
        """
        asked = {self.own_address}
        waiting = list(self.addresses())
        while waiting and self.needs_to_join:
            address = waiting.pop(0)
            if address in asked:
                continue
            asked.add(address)
            leader = await self._request_join(address)
            if leader:
                waiting.insert(0, self.sync_address_of(leader))

    async def _request_join(self, address) -> str:
        """Asks one replica; returns the client address of the leader that it names."""
        settings = self.replica.settings
        request = serving.JoinRequest(
            member=Member(
                member_id=self.replica.member_id,
                client_address=settings.client_address,
                peer_address=settings.peer_address,
                voter=False,
            )
        )
        client = RpcClient(address=address, reply_decoder=serving.REPLY_DECODER)
        try:
            reply = await client.call(request, timeout_s=JOIN_TIMEOUT_S)
        except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
            reason = type(error).__name__
            self.events.log_event("join_not_asked", asked=address, reason=reason)
            return ""
        finally:
            client.close()
        match reply:
            case serving.JoinReply(leader=leader):
                return leader
            case _:
                self.events.log_event(
                    "join_not_asked", asked=address, reason=type(reply).__name__
                )
                return ""
