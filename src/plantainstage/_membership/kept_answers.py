"""The recorded answers that are kept, in the order in which they were recorded."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class KeptAnswers:
    """Sizes of kept answers by request id, the oldest first, and their sum."""

    sizes: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def add(self, request_id, size):
        """Notes an answer that has just been recorded; an empty one is no answer."""
        self.discard(request_id)
        if size:
            self.sizes[request_id] = size
            self.total += size

    def discard(self, request_id):
        """Forgets an answer, if it is kept."""
        self.total -= self.sizes.pop(request_id, 0)

    def evict_beyond(self, limit):
        """Forgets the oldest answers beyond ``limit`` bytes; returns their ids."""
        evicted = []
        while self.total > limit:
            request_id = next(iter(self.sizes))
            self.discard(request_id)
            evicted.append(request_id)
        return evicted


def kept_answers_of(claims, order):
    """Returns the KeptAnswers of claims whose answers were recorded in an order."""
    kept = KeptAnswers()
    for request_id in order:
        kept.add(request_id, len(claims[request_id].outcome.body))
    return kept
