"""Calls that keep waiting for a late reply while they try a new connection."""

import asyncio

import msgspec

from plantainstage._transport.rpc import RECONNECT_MAX_MS, RpcClient

# A call ends after this multiple of the time after which it is overdue.
LONGEST_WAIT = 4


class PatientClient:
    """Calls the server at one address, one call at a time.

    An established connection may be dead while a new one works, so that an overdue call
    is sent again on a new one. The server, the link or this process may as well be
    slow. The earlier attempts therefore go on, and the first reply to any of them
    counts: if a late reply were thrown away, a caller that is slow for long would never
    get what is in it. For example, with replies that take 1.2 s::

        client = PatientClient(address="127.0.0.1:7061", reply_decoder=decoder)
        await client.call(request, overdue_s=0.8)    # the reply to the first attempt
    """

    def __init__(self, *, address: str, reply_decoder: msgspec.msgpack.Decoder):
        self.address = address
        self.reply_decoder = reply_decoder
        self.reconnect_max_ms = RECONNECT_MAX_MS
        self.client = None  # RpcClient on which the last reply came
        self.attempts = {}  # task -> its RpcClient

    def close(self):
        """Closes all connections and ends the attempts."""
        if self.client is not None:
            self.client.close()
            self.client = None
        self._end_attempts()

    async def call(self, request, *, overdue_s: float):
        """Returns the decoded reply; raises TimeoutError, NNGException or MsgspecError.

        Every request may be handled more than once.
        """
        loop = asyncio.get_running_loop()
        end_at = loop.time() + LONGEST_WAIT * overdue_s
        try:
            while (left_s := end_at - loop.time()) > 0.0:
                self._start_attempt(request, left_s)
                overdue_at = loop.time() + min(overdue_s, left_s)
                if await self._wait_for_reply(overdue_at):
                    return self._take_reply()
            raise TimeoutError
        finally:
            self._end_attempts()

    def _start_attempt(self, request, timeout_s):
        client, self.client = self.client, None
        if client is None:
            client = RpcClient(address=self.address, reply_decoder=self.reply_decoder)
        client.reconnect_max_ms = self.reconnect_max_ms
        task = asyncio.create_task(client.call(request, timeout_s=timeout_s))
        self.attempts[task] = client

    async def _wait_for_reply(self, until):
        """Returns whether an attempt has a reply; raises if all of them have failed."""
        loop = asyncio.get_running_loop()
        while (left_s := until - loop.time()) > 0.0:
            done, _ = await asyncio.wait(
                self.attempts, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.exception() is None:
                    return True
                self.attempts.pop(task).close()
                if not self.attempts:
                    raise task.exception()
        return False

    def _take_reply(self):
        """Returns the first reply, and keeps the connection on which it came."""
        task = next(task for task in self.attempts if _has_reply(task))
        self.client = self.attempts.pop(task)
        return task.result()

    def _end_attempts(self):
        for task, client in self.attempts.items():
            task.add_done_callback(_retrieve)
            task.cancel()
            client.close()
        self.attempts.clear()


def _has_reply(task):
    return task.done() and not task.cancelled() and task.exception() is None


def _retrieve(task):
    """Takes note of how an attempt ended whose reply nobody needs any more."""
    if not task.cancelled():
        task.exception()
