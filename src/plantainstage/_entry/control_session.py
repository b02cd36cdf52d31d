"""Renewal of the entry host's lease and of its copy of the configuration."""

import asyncio
import math
from collections.abc import Callable

from loguru import logger

from plantainstage._errors import ControlUnavailableError, check_invariant
from plantainstage._messages import control
from plantainstage._messages.configuration import Configuration

RENEW_INTERVAL_S = 0.4
# Shorter than the lease by more than two renewal intervals, so that another
# renewal follows in time when one is sent to a dead leader.
RENEW_TIMEOUT_S = 0.9
RELEASE_TIMEOUT_S = 3.0


class ControlSession:
    """Renews the lease and applies each configuration that a grant carries.

    ``lease.until`` is on the event loop's monotonic clock and is computed from
    the time at which the renewal was sent. ``apply`` is called with a new
    Configuration before the lease counts as renewed. ``releasing`` returns the
    searchers that this host no longer owns but has not released.
    """

    def __init__(
        self, *, client, entry, lease, apply: Callable, releasing: Callable = tuple
    ):
        self.client = client
        self.entry = entry
        self.lease = lease
        self.apply = apply
        self.releasing = releasing
        self.configuration = Configuration(version=0)
        self.draining = False
        self.wake = asyncio.Event()
        self.renewals = 0

    @property
    def holds_lease(self):
        """Whether the lease is valid, which confirms the configuration."""
        return self.lease.valid(asyncio.get_running_loop().time())

    async def run(self):
        """Renews the lease at each interval until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            next_at = loop.time() + RENEW_INTERVAL_S
            await self.renew()
            try:
                async with asyncio.timeout_at(next_at):
                    await self.wake.wait()
            except TimeoutError:
                continue
            finally:
                self.wake.clear()

    def renew_soon(self):
        """Triggers a renewal without waiting for the end of the interval."""
        self.wake.set()

    async def renew(self):
        """Requests the lease once and applies the configuration in the grant."""
        sent_at = asyncio.get_running_loop().time()
        request = control.RenewEntryLease(
            entry=self.entry,
            applied_version=self.configuration.version,
            releasing=self.releasing(),
            draining=self.draining,
        )
        try:
            reply = await self.client.call(request, timeout_s=RENEW_TIMEOUT_S)
        except ControlUnavailableError as error:
            logger.warning("lease not renewed", error=str(error))
            return
        match reply:
            case control.LeaseGranted():
                self._apply_grant(reply, sent_at)
            case control.RequestRejected(code=code, message=message):
                logger.error("lease refused", code=code, error=message)

    def _apply_grant(self, grant, sent_at):
        configuration = grant.configuration
        if configuration is not None and (
            configuration.version > self.configuration.version
        ):
            check_invariant(
                configuration.version == grant.version,
                invariant="a grant carries the configuration of its version",
                detail=f"{configuration.version} and {grant.version}",
            )
            self.apply(configuration)
            self.configuration = configuration
        if grant.version != self.configuration.version:
            # Either an older grant that arrived late or a newer version without
            # its configuration. Neither confirms the applied configuration.
            logger.warning("lease grant for another version", version=grant.version)
            return
        self.lease.until = max(self.lease.until, sent_at + grant.lease_ms / 1000)
        self.renewals += 1

    async def release_lease(self):
        """Returns the lease to control, once no sub-request is in flight."""
        self.lease.until = -math.inf
        request = control.RenewEntryLease(
            entry=self.entry,
            applied_version=self.configuration.version,
            releasing=(),
            draining=True,
            leaving=True,
        )
        try:
            await self.client.call(request, timeout_s=RELEASE_TIMEOUT_S)
        except ControlUnavailableError as error:
            # The lease then expires by itself.
            logger.warning("lease not released", error=str(error))
