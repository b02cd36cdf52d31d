"""When a connection, or a searcher, counts as silent (section 7.10).

Pure arithmetic on times; the owner queue carries out what follows from it.
"""

import enum

MINIMUM_SUSPECT_S = 0.05
SUSPECT_FACTOR = 4.0
INITIAL_P99_S = 0.05
P99_STEP = 0.2
P99 = 0.99
# A reply to a probe takes one round trip and 6 ms to open the connection.
PROBE_TIMEOUT_S = 0.05
PROBE_INTERVAL_S = 0.2
# Without a reply for so long, an exchange that times out calls for a probe. A lost
# searcher is found this much later; probes for mere stragglers take hedges' room.
RECENT_REPLY_S = 0.5


class Reachability(enum.Enum):
    """What is known of the searcher as a whole."""

    REACHABLE = "reachable"
    PROBING = "probing"
    UNREACHABLE = "unreachable"
    # Not reachable when last heard of, and no probe may be sent: one sub-request
    # at a time shows whether it is there again.
    TRIAL = "trial"


class SilenceDetector:
    """Learns the 99th percentile of answer times and when to probe.

    ``suspect_after_s`` is the time without a byte after which a connection is
    suspect: four times the 99th percentile, at least 50 ms.
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
        """Learns from an answer, which also shows that the searcher is there."""
        if elapsed_s > self.p99_s:
            self.p99_s *= 1 + P99_STEP * P99
        else:
            self.p99_s *= 1 - P99_STEP * (1 - P99)

    def observe_at_least(self, elapsed_s):
        """Learns from a reply to a sub-request that would have run longer.

        Stragglers are mostly cancelled. If only answers counted, each would look
        silent, and its probe would use up room for a hedge.
        """
        if elapsed_s > self.p99_s:
            self.observe(elapsed_s)

    def probe_due(self, now):
        """Whether a probe should be sent now, if it is allowed."""
        if self.state is Reachability.PROBING:
            return False
        return self.next_probe is None or now >= self.next_probe

    def probe_sent(self, now):
        """A probe is under way; ``probe_finished`` follows."""
        if self.state is not Reachability.UNREACHABLE:
            self.state = Reachability.PROBING
        self.next_probe = now + PROBE_INTERVAL_S

    def probe_denied(self, now):
        """No probe may be sent, so that only sub-requests can show a return."""
        self.allow_trial()
        self.next_probe = now + PROBE_INTERVAL_S

    def allow_trial(self):
        """Lets a sub-request through to a searcher that was unreachable."""
        if self.state is Reachability.UNREACHABLE:
            self.state = Reachability.TRIAL

    def probe_finished(self, answered):
        """Takes the outcome of a probe."""
        if answered:
            self.state = Reachability.REACHABLE
        else:
            self.state = Reachability.UNREACHABLE

    def connection_refused(self):
        """No connection could be opened, so that nothing can be sent."""
        self.state = Reachability.UNREACHABLE

    def replied(self, now):
        """A reply arrived; the searcher is reachable."""
        self.state = Reachability.REACHABLE
        self.replied_at = now

    def no_recent_reply(self, now):
        """Whether the searcher has not replied on any connection of late."""
        return now - self.replied_at > RECENT_REPLY_S
