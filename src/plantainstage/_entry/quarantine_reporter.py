"""Distribution of request quarantines to all hosts."""

import asyncio

from loguru import logger

from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control
from plantainstage._messages.forward import QuarantineNotice

# How long to retry the durable record of a quarantine, which hosts that start later
# need. Notices reach the running hosts within milliseconds.
RECORD_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2


class QuarantineReporter:
    """Sends notices to the peers and records quarantines through control.

    ``crash_cause`` returns the searchers that a fingerprint crashed and their index.
    """

    def __init__(self, *, entry_id, client, links, crash_cause):
        self.entry_id = entry_id
        self.client = client
        self.links = links
        self.crash_cause = crash_cause
        self.recordings = {}

    def report_soon(self, action):
        """Reports a quarantine without waiting until it is recorded."""
        self._start_recording(action.fingerprint, action.duration_ms)

    async def report(self, fingerprint, duration_ms):
        """Reports a quarantine; returns once it is recorded or has timed out."""
        await asyncio.shield(self._start_recording(fingerprint, duration_ms))

    async def finish(self):
        """Waits until all records in progress are made or have timed out."""
        while self.recordings:
            await asyncio.wait(self.recordings.values())

    def _start_recording(self, fingerprint, duration_ms):
        task = self.recordings.get(fingerprint)
        if task is None:
            self._notify(fingerprint, duration_ms)
            task = asyncio.create_task(self._record(fingerprint, duration_ms))
            self.recordings[fingerprint] = task
            task.add_done_callback(lambda _: self.recordings.pop(fingerprint))
        return task

    def _notify(self, fingerprint, duration_ms):
        logger.warning("request quarantined", fingerprint=fingerprint)
        notice = QuarantineNotice(
            sender=self.entry_id, fingerprint=fingerprint, duration_ms=duration_ms
        )
        for link in self.links.peers.values():
            link.send_unbatched(notice)

    async def _record(self, fingerprint, duration_ms):
        searchers, index = self.crash_cause(fingerprint)
        request = control.ReportQuarantine(
            fingerprint=fingerprint,
            duration_ms=duration_ms,
            index=index,
            searchers=searchers,
        )
        loop = asyncio.get_running_loop()
        limit = loop.time() + RECORD_TIMEOUT_S
        while loop.time() < limit:
            try:
                await self.client.call(request, timeout_s=CALL_TIMEOUT_S)
                return
            except ControlUnavailableError as error:
                logger.warning("quarantine not recorded", error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
