"""The task that joins this replica to its group and maintains the membership."""

import asyncio
from collections.abc import Callable

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
        events,
    ):
        self.replica = replica
        self.own_address = own_address
        self.addresses = addresses
        self.sync_address_of = sync_address_of
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
