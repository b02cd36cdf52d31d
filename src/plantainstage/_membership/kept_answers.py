"""Sizes of recorded answers, in the order of recording, for a limit on their sum."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class KeptAnswers:
    """Sizes of the kept answers by request id, oldest first, and their sum."""

    sizes: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def add(self, request_id, size):
        """Adds the answer recorded last; size 0 means that there is no answer."""
        self.discard(request_id)
        if size:
            self.sizes[request_id] = size
            self.total += size

    def discard(self, request_id):
        """Removes an answer, if it is kept."""
        self.total -= self.sizes.pop(request_id, 0)

    def evict_beyond(self, limit):
        """Removes the oldest answers beyond ``limit`` bytes; returns their ids."""
        evicted = []
        while self.total > limit:
            request_id = next(iter(self.sizes))
            self.discard(request_id)
            evicted.append(request_id)
        return evicted


def kept_answers_of(claims, order):
    """Returns the KeptAnswers of claims; ``order`` holds ids in recording order."""
    kept = KeptAnswers()
    for request_id in order:
        kept.add(request_id, len(claims[request_id].outcome.body))
    return kept
