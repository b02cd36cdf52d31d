"""Batching of an entry host's claims and outcomes into messages to control.

Only one batch is in flight at a time. Requests that arrive in the meantime are sent
in the next one, so that the cost of an exchange with control and of a log entry is
shared by more requests under higher load.
"""

import asyncio
from collections import deque

from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control

# A batch without a reply within this time is sent again unchanged.
BATCH_TIMEOUT_S = 2.0


class _Member:
    """A claim or an outcome; ``reply`` is cancelled when its call times out."""

    __slots__ = ("request", "reply")

    def __init__(self, *, request, reply):
        self.request = request
        self.reply = reply

    @property
    def size(self):
        """The bytes of the recorded answer, which MAX_BATCH_MEMBERS does not limit."""
        match self.request:
            case control.CompleteClaim(outcome=outcome):
                return len(outcome.body)
        return 0


class ClaimBatches:
    """Sends claims and outcomes to control in batches.

    ``call`` has the same contract as ``ControlClient.call``. A batch whose reply
    was lost is sent again with the same members in the same order; all of them
    are safe to repeat.
    """

    def __init__(self, *, client):
        self.client = client
        self.waiting = deque()
        self.task = None

    async def call(self, request, *, timeout_s):
        """Returns the reply to one member or raises ControlUnavailableError."""
        reply = asyncio.get_running_loop().create_future()
        self.waiting.append(_Member(request=request, reply=reply))
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._send_all())
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            raise ControlUnavailableError(
                addresses=self.client.addresses,
                waited_ms=round(timeout_s * 1000),
                last_error="no reply to the batch in time",
            ) from error

    async def _send_all(self):
        while batch := self._take_batch():
            reply = await self._send(batch)
            if reply is not None:
                self._distribute(batch, reply)

    def _take_batch(self):
        """Returns the members of the next batch, without those that timed out."""
        batch = []
        total = 0
        while self.waiting and len(batch) < control.MAX_BATCH_MEMBERS:
            member = self.waiting[0]
            if batch and total + member.size > control.MAX_BATCH_BYTES:
                break
            self.waiting.popleft()
            if not member.reply.done():
                batch.append(member)
                total += member.size
        return batch

    async def _send(self, batch):
        """Returns the reply, or None once all members have timed out."""
        request = control.ClaimBatch(members=tuple(m.request for m in batch))
        while not all(member.reply.done() for member in batch):
            try:
                return await self.client.call(request, timeout_s=BATCH_TIMEOUT_S)
            except ControlUnavailableError:
                continue
        return None

    def _distribute(self, batch, reply):
        replies = [reply] * len(batch)
        if isinstance(reply, control.ClaimBatchReplies):
            replies = reply.replies
        to_resend = []
        for member, member_reply in zip(batch, replies, strict=True):
            if member.reply.done():
                continue
            if isinstance(member_reply, control.OutcomeUnknown):
                to_resend.append(member)
            else:
                member.reply.set_result(member_reply)
        self.waiting.extendleft(reversed(to_resend))
