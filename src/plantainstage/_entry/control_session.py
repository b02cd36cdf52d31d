"""The entry host's lease and configuration."""

import asyncio
import time

from loguru import logger

from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control
from plantainstage._messages.configuration import Configuration

RENEW_INTERVAL_S = 0.4


class ControlSession:
    """Renews the lease and holds the newest configuration."""

    def __init__(self, *, client, entry):
        self.client = client
        self.entry = entry
        self.configuration = Configuration(version=0)
        self.lease_until = 0.0

    @property
    def holds_lease(self):
        """Whether the configuration is confirmed as of now."""
        return time.monotonic() < self.lease_until

    async def run(self):
        """Renews until cancelled."""
        while True:
            await self.renew()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def renew(self):
        """Asks once for a lease and applies what the grant carries."""
        sent_at = time.monotonic()
        request = control.RenewEntryLease(
            entry=self.entry, applied_version=self.configuration.version
        )
        try:
            reply = await self.client.call(request, timeout_s=1.0)
        except ControlUnavailableError as error:
            logger.warning("lease not renewed", error=str(error))
            return
        match reply:
            case control.LeaseGranted(configuration=configuration, lease_ms=lease_ms):
                if configuration is not None:
                    self.configuration = configuration
                self.lease_until = sent_at + lease_ms / 1000
