"""Detection of silent connections and searchers (docs/design.md, section 7.10).

This module only computes times and states; the owner queue acts on them.
"""

import enum

MINIMUM_SUSPECT_S = 0.05
SUSPECT_FACTOR = 4.0
INITIAL_P99_S = 0.05
P99_STEP = 0.2
P99 = 0.99
# A reply to a probe takes one round trip, and 6 ms to open the connection.
PROBE_TIMEOUT_S = 0.05
PROBE_INTERVAL_S = 0.2
# An exchange that times out triggers a probe only if no reply arrived for this long,
# which delays the detection of a lost searcher by as much. Probes for mere stragglers
# would use up budget for hedges.
RECENT_REPLY_S = 0.5


class Reachability(enum.Enum):
    """Reachability of the searcher as a whole."""

    REACHABLE = "reachable"
    PROBING = "probing"
    UNREACHABLE = "unreachable"
    # Last known as unreachable, and possibly without budget for a probe: one
    # sub-request at a time is sent to find out whether it is reachable again.
    TRIAL = "trial"


class SilenceDetector:
    """Tracks the 99th percentile of answer times and decides when to probe.

    ``suspect_after_s`` is the time without a byte after which a connection is
    suspect: four times the 99th percentile, but at least 50 ms.
    """

    def __init__(self):
        self.p99_s = INITIAL_P99_S
        self.state = Reachability.REACHABLE
        self.next_probe = None
        self.replied_at = float("-inf")

    @property
    def suspect_after_s(self):
        """Seconds without a byte after which a connection is suspect."""
        return max(MINIMUM_SUSPECT_S, SUSPECT_FACTOR * self.p99_s)

    def observe(self, elapsed_s):
        """Updates the 99th percentile with the time of an exchange."""
        if elapsed_s > self.p99_s:
            self.p99_s *= 1 + P99_STEP * P99
        else:
            self.p99_s *= 1 - P99_STEP * (1 - P99)

    def observe_at_least(self, elapsed_s):
        """Updates from a reply to a sub-request that would have run longer.

        Most stragglers are cancelled. If only answers were counted, each straggler
        would be taken as silent, and its probe would use up budget for a hedge.
        """
        if elapsed_s > self.p99_s:
            self.observe(elapsed_s)

    def probe_due(self, now):
        """Whether a probe should be sent now, provided that the budget allows it."""
        if self.state is Reachability.PROBING:
            return False
        return self.next_probe is None or now >= self.next_probe

    def probe_sent(self, now):
        """Records that a probe was sent; ``probe_finished`` follows."""
        if self.state is not Reachability.UNREACHABLE:
            self.state = Reachability.PROBING
        self.next_probe = now + PROBE_INTERVAL_S

    def probe_denied(self, now):
        """Records that the budget has no room for a probe; allows a trial instead."""
        self.allow_trial()
        self.next_probe = now + PROBE_INTERVAL_S

    def allow_trial(self):
        """Allows one sub-request at a time to a searcher that was unreachable."""
        if self.state is Reachability.UNREACHABLE:
            self.state = Reachability.TRIAL

    def probe_finished(self, answered):
        """Records the outcome of a probe."""
        if answered:
            self.state = Reachability.REACHABLE
        else:
            self.state = Reachability.UNREACHABLE

    def connection_refused(self):
        """Records that the searcher refused a connection; it is unreachable."""
        self.state = Reachability.UNREACHABLE

    def replied(self, now):
        """Records that a reply arrived; the searcher is reachable."""
        self.state = Reachability.REACHABLE
        self.replied_at = now

    def no_recent_reply(self, now):
        """Whether no reply has arrived recently on any connection."""
        return now - self.replied_at > RECENT_REPLY_S
