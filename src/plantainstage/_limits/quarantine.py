"""Requests that crash searchers, by fingerprint."""

import xxhash

QUARANTINE_S = 600.0
RESETS_TO_QUARANTINE = 2


def fingerprint_of(index, query):
    """Returns the hash of the index and the query body.

    The profile and the request id are left out, so that a resend under another
    id or profile has the same fingerprint.
    """
    return xxhash.xxh3_128_hexdigest(index.encode() + b"\0" + query)


class QuarantineTable:
    """Resets and quarantines that this host knows.

    Resets are remembered by sub-request, because one reset is seen both by the
    owner of the searcher and by the gather, which may share a host::

        table = QuarantineTable()
        table.record_reset(fingerprint, "e1-7", now)  # False
        table.record_reset(fingerprint, "e1-7", now)  # False, the same reset
        table.record_reset(fingerprint, "e1-8", now)  # True: now quarantined
    """

    def __init__(self, *, duration_s: float = QUARANTINE_S):
        self.duration_s = duration_s
        self.until = {}
        self.resets = {}  # fingerprint -> (time of the last one, sub-request ids)

    def is_quarantined(self, fingerprint, now):
        """Whether no sub-request of this fingerprint may be sent."""
        until = self.until.get(fingerprint)
        if until is None:
            return False
        if now < until:
            return True
        del self.until[fingerprint]
        return False

    def has_reset(self, fingerprint, now):
        """Whether a reset is remembered for this fingerprint."""
        entry = self.resets.get(fingerprint)
        return entry is not None and now - entry[0] < self.duration_s

    def record_reset(self, fingerprint, sub_request_id, now):
        """Records a reset; true if the fingerprint became quarantined by it."""
        self._forget(now)
        _, ids = self.resets.pop(fingerprint, (now, set()))
        ids.add(sub_request_id)
        self.resets[fingerprint] = (now, ids)
        if len(ids) < RESETS_TO_QUARANTINE or self.is_quarantined(fingerprint, now):
            return False
        self.quarantine(fingerprint, now + self.duration_s)
        return True

    def quarantine(self, fingerprint, until):
        """Refuses the fingerprint until a time on the monotonic clock."""
        self.until[fingerprint] = max(until, self.until.get(fingerprint, until))

    def apply_notice(self, notice, now):
        """Takes over a ``QuarantineNotice`` from another entry host."""
        self.quarantine(notice.fingerprint, now + notice.duration_ms / 1000)

    def apply_recorded(self, quarantines, *, now, unix_ms):
        """Takes over the replicated ``Quarantine`` records of a configuration."""
        for item in quarantines:
            remaining_s = (item.expires_ms - unix_ms) / 1000
            if remaining_s > 0:
                self.quarantine(item.fingerprint, now + remaining_s)

    def _forget(self, now):
        # Entries are in the order of their last reset, so the loop stops early.
        for fingerprint, (last, _) in list(self.resets.items()):
            if now - last < self.duration_s:
                return
            del self.resets[fingerprint]
