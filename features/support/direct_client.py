"""A control client that calls a control service in the same process."""

import asyncio

from plantainstage._control.memory_log import MemoryLog
from plantainstage._control.service import ControlService
from plantainstage._membership.commands import DEFAULT_KEEP_BYTES
from plantainstage._membership.machine import MembershipMachine
from plantainstage.errors import ControlUnavailableError

NOW_MS = 1_800_000_000_000


class RecordingLog(MemoryLog):
    """Records the proposed commands, so that a second replica can apply them."""

    def __init__(self, **options):
        super().__init__(**options)
        self.commands = []

    async def propose(self, command):
        self.commands.append(command)
        return await super().propose(command)


class DirectClient:
    """Passes requests to a control service and records requests and replies.

    The first ``lost_replies`` replies are withheld until ``drop_reply`` is set, and
    then count as lost.
    """

    def __init__(self, *, lost_replies=0, keep_bytes=DEFAULT_KEEP_BYTES):
        self.addresses = ("direct",)
        self.machine = MembershipMachine()
        self.log = RecordingLog(machine=self.machine, address="direct")
        self.service = ControlService(
            log=self.log,
            machine=self.machine,
            clock=lambda: 0.0,
            wall_ms=lambda: NOW_MS,
            keep_bytes=keep_bytes,
        )
        self.lost_replies = lost_replies
        self.requests = []
        self.replies = []
        self.request_handled = asyncio.Event()
        self.drop_reply = asyncio.Event()

    @property
    def state(self):
        return self.machine.state

    async def call(self, request, *, timeout_s):
        self.requests.append(request)
        reply = await self.service.handle(request)
        self.request_handled.set()
        if self.lost_replies:
            self.lost_replies -= 1
            await self.drop_reply.wait()
            raise ControlUnavailableError(addresses=self.addresses, waited_ms=0)
        self.replies.append(reply)
        return reply
