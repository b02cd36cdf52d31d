"""What quarantines of queries and of routed requests have in common."""

import xxhash

QUARANTINE_S = 600.0


def fingerprint_of(*parts: bytes) -> str:
    """Returns a hash of what makes two requests the same, without their ids.

    Only the last part may contain a NUL byte. For example, of a query::

        fingerprint_of(b"ditch-turns", b'"whose turn"')
    """
    return xxhash.xxh3_128_hexdigest(b"\0".join(parts))


class QuarantineTimes:
    """Until when fingerprints are quarantined; times are on the monotonic clock."""

    def __init__(self):
        self.until = {}

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether requests with this fingerprint must not be sent."""
        return self.remaining_s(fingerprint, now) > 0

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Returns how long the quarantine lasts, 0 without one."""
        until = self.until.get(fingerprint)
        if until is None:
            return 0.0
        if now < until:
            return until - now
        del self.until[fingerprint]
        return 0.0

    def quarantine(self, fingerprint: str, until: float):
        """Quarantines a fingerprint, or extends its quarantine."""
        self.until[fingerprint] = max(until, self.until.get(fingerprint, until))

    def expire(self, now: float):
        """Forgets the quarantines that are over."""
        self.until = {name: until for name, until in self.until.items() if until > now}

    def end(self, fingerprint: str):
        """Ends a quarantine before its time."""
        self.until.pop(fingerprint, None)
