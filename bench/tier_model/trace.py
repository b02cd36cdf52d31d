"""Explains refused requests by the attempts for each missing partition."""

from collections import Counter


class RefusalTrace:
    """Classifies the missing partitions of refused requests.

    Set ``tier.trace`` to an instance before the load starts. A class lists the
    outcome of each sub-request for the partition, or for how long it has been
    outstanding, in steps of 10 ms.
    """

    def __init__(self, *, start):
        self.start = start
        self.requests = 0
        self.codes = Counter()
        self.missing = Counter()
        self.per_request = Counter()

    def record_refusal(self, gather, refusal, now):
        """Records a refused request with its gather."""
        if gather.arrived_at < self.start:
            return
        self.requests += 1
        self.codes[f"{refusal.code}/{refusal.run.value}"] += 1
        missing = [part for part in gather.parts if part.result is None]
        self.per_request[len(missing)] += 1
        for part in missing:
            self.missing[self._describe(part, gather, now)] += 1

    def _describe(self, part, gather, now):
        outcomes = []
        for attempt in part.attempts:
            if attempt.outcome is None:
                age_ms = int((now - attempt.sent_at) * 100) * 10
                outcomes.append(f"outstanding for {age_ms} ms")
            else:
                outcomes.append(attempt.outcome.value)
        return "; ".join(outcomes) or "nothing sent"

    def report(self):
        """Returns lines of text with the 12 most frequent classes."""
        lines = [f"{self.requests} refused: {dict(self.codes)}"]
        lines.append(f"partitions missing: {dict(sorted(self.per_request.items()))}")
        for name, count in self.missing.most_common(12):
            lines.append(f"{count:6d}  {name}")
        return lines
