"""Connection of one operator's command to the control replicas."""

from contextlib import contextmanager
from dataclasses import dataclass

from plantainstage._messages import control
from plantainstage._transport.rpc import ControlClient


@dataclass(frozen=True, kw_only=True)
class Session:
    """A client with the time limit of one command, in seconds."""

    client: ControlClient
    timeout_s: float

    async def call(self, request):
        """Returns the leader's reply or raises ControlUnavailableError.

        A request whose reply was lost is sent again until the time limit.
        """
        return await self.client.call(request, timeout_s=self.timeout_s)

    async def status(self, version=None):
        """Returns the status with the hosts that may lack ``version``."""
        return await self.call(control.QueryStatus(version=version))

    async def configuration(self):
        """Returns the newest committed configuration."""
        reply = await self.call(control.QueryConfiguration())
        return reply.configuration


@contextmanager
def open_session(*, addresses, timeout_s):
    """Yields a Session and closes its sockets."""
    client = ControlClient(addresses=tuple(addresses))
    try:
        yield Session(client=client, timeout_s=timeout_s)
    finally:
        client.close()
