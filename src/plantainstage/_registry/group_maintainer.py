"""The task that joins this replica to its group and maintains the membership."""

import asyncio

import msgspec
import pynng

from plantainstage._control.replica import Replica
from plantainstage._errors import PlantainstageError
from plantainstage._messages import serving
from plantainstage._messages.agreement import Member
from plantainstage._registry.group import needs_to_join, next_member_step
from plantainstage._transport.rpc import RpcClient

STEP_INTERVAL_S = 0.2
JOIN_INTERVAL_S = 0.3
JOIN_TIMEOUT_S = 0.5


class GroupMaintainer:
    """Asks to join while this is needed; as leader commits membership changes.

    ``addresses()`` returns the replicas to ask, which may change at any time.
    """

    def __init__(self, *, replica: Replica, own_address: str, addresses, events):
        self.replica = replica
        self.own_address = own_address
        self.addresses = addresses
        self.events = events
        self.join_requests = {}  # replica id -> Member that asked to join
        self.leader_seen_at = asyncio.get_running_loop().time()

    # ---- Queries ------------------------------------------------------------------

    @property
    def needs_to_join(self):
        """Whether this replica may not be a member of the group."""
        core = self.replica.core
        if core is None:
            return False
        now = asyncio.get_running_loop().time()
        if core.state.leader is not None:
            self.leader_seen_at = now
        members = {m.member_id for m in core.state.membership.members}
        return needs_to_join(
            is_member=self.replica.member_id in members,
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
            step = next_member_step(self.replica.members(), self.join_requests)
            if step is None:
                continue
            try:
                await self.replica.change_member(step.action, step.member)
            except PlantainstageError as error:
                # An earlier step may still be in progress; the next round retries.
                reason = type(error).__name__
                self.events.log_event("member_step_put_off", reason=reason)
                continue
            self.join_requests.pop(step.member.member_id.replica_id, None)
            self.events.log_event(
                "group_changed",
                action=step.action.value,
                replica=str(step.member.member_id),
            )

    async def _join(self):
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S)
            if not self.needs_to_join:
                continue
            for address in self.addresses():
                if address != self.own_address and self.needs_to_join:
                    await self._request_join(address)

    async def _request_join(self, address):
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
            await client.call(request, timeout_s=JOIN_TIMEOUT_S)
        except (TimeoutError, pynng.NNGException, msgspec.MsgspecError) as error:
            reason = type(error).__name__
            self.events.log_event("join_not_asked", asked=address, reason=reason)
        finally:
            client.close()
