"""Callers that send queries continuously and record the replies."""

import threading
import time
from dataclasses import dataclass

from support.processes import post_json


@dataclass(frozen=True, kw_only=True)
class Reply:
    """One reply, with the monotonic time at which its request was sent."""

    entry: str
    request_id: str
    sent_at: float
    status: int
    body: dict


class Callers:
    """One calling thread for each address."""

    def __init__(self, addresses, *, profile):
        self.profile = profile
        self.replies = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(name, address), daemon=True)
            for name, address in addresses.items()
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, name, address):
        number = 0
        while not self.stopping.is_set():
            number += 1
            request_id = f"{name}-{number}"
            sent_at = time.monotonic()
            body = {"profile": self.profile, "query": {}, "request_id": request_id}
            try:
                status, reply = post_json(address, "/v1/query", body)
            except OSError:
                continue
            self.replies.append(
                Reply(
                    entry=name,
                    request_id=request_id,
                    sent_at=sent_at,
                    status=status,
                    body=reply,
                )
            )

    def stop(self):
        """Stops the callers after their current replies."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
