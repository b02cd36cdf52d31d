"""Makes the quarantine of a request fingerprint known to all hosts."""

import asyncio

from loguru import logger

from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control
from plantainstage._messages.forward import QuarantineNotice

# Notices reach the other hosts within milliseconds; the durable record matters
# for hosts that start later, and is tried for this long.
RECORD_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2


class QuarantineReporter:
    """Sends notices to the peers and records quarantines through control.

    ``cause`` returns the crashed searchers and the index of a fingerprint.
    """

    def __init__(self, *, entry_id, client, links, crash_cause):
        self.entry_id = entry_id
        self.client = client
        self.links = links
        self.crash_cause = crash_cause
        self.recordings = {}

    def report_soon(self, action):
        """Reports without waiting for the record."""
        self._start_recording(action.fingerprint, action.duration_ms)

    async def report(self, fingerprint, duration_ms):
        """Returns once the quarantine is recorded, or could not be."""
        await asyncio.shield(self._start_recording(fingerprint, duration_ms))

    async def finish(self):
        """Waits for the records that are still under way."""
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
            link.send_other(notice)

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
