"""Continuous callers whose replies are checked against the searchers' records."""

import threading
import time

from chaos.callers import post
from chaos.checks import Checks
from chaos.history import Attempt, History

from support.processes import wait_until


def send(address, *, entry, token, profile, query=None):
    """Sends one query and returns its Attempt."""
    request = {
        "profile": profile,
        "query": {"token": token, **(query or {})},
        "request_id": token,
    }
    sent_at = time.monotonic()
    status, body, error = post(address, request)
    return Attempt(
        entry=entry,
        request_id=token,
        token=token,
        profile=profile,
        idempotent=True,
        partitions=(),
        sent_at=sent_at,
        ended_at=time.monotonic(),
        status=status,
        body=body,
        error=error,
    )


class CheckedCallers:
    """One caller for each entry host; ``attempts`` has all requests they sent."""

    def __init__(self, resources, *, tier, profile):
        self.tier = tier
        self.profile = profile
        self.attempts = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(entry, address), daemon=True)
            for entry, address in enumerate(tier.entry_addresses)
        ]
        resources.callback(self.stop)
        for thread in self.threads:
            thread.start()

    def _run(self, entry, address):
        number = 0
        while not self.stopping.is_set():
            number += 1
            attempt = send(
                address,
                entry=entry,
                token=f"caller-{entry}-{number}",
                profile=self.profile,
            )
            self.attempts.append(attempt)
            if attempt.status == 0:
                return  # the host was killed

    def answers(self):
        """Returns the attempts answered so far, in order of completion."""
        return [item for item in tuple(self.attempts) if item.status == 200]

    def wait_for_more(self, count):
        """Waits until ``count`` further attempts have ended."""
        limit = len(self.attempts) + count
        wait_until(lambda: len(self.attempts) >= limit, what=f"{count} more replies")

    def wait_for_each(self, condition, *, entries, what):
        """Waits for a new answer through each entry host that meets a condition."""
        known = len(self.attempts)

        def met():
            new = tuple(self.attempts)[known:]
            answered = [item for item in new if item.status == 200]
            return entries <= {item.entry for item in answered if condition(item.body)}

        wait_until(met, what=what)

    def stop(self):
        """Stops the callers after their current replies."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def violations(tier, attempts, manifests):
    """Returns the guarantees that were violated according to the searchers' records."""
    history = History()
    history.attempts = list(attempts)
    Checks(
        history=history,
        runs=tier.runs_from_files(),
        searchers=tier.records(),
        manifests=manifests,
    ).run_all()
    return history.violations
