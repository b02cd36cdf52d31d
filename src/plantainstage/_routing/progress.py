"""What a gather knows of its sub-requests and partitions."""

from plantainstage._messages.forward import SubOutcome


class Attempt:
    """One sub-request that was sent; ``outcome`` is None while outstanding.

    ``extra`` is what the extra-load budget gave for it, or None.
    """

    __slots__ = (
        "sub_request_id",
        "part",
        "replica",
        "sent_at",
        "extra",
        "outcome",
        "cancelled",
    )

    def __init__(self, sub_request_id, part, replica, sent_at, extra):
        self.sub_request_id = sub_request_id
        self.part = part
        self.replica = replica
        self.sent_at = sent_at
        self.extra = extra
        self.outcome = None
        self.cancelled = False


class Part:
    """The progress of one partition.

    ``possible_runs`` counts the attempts that run or may have run, and
    ``bytes_left`` tells whether a byte of any attempt may have left.
    """

    __slots__ = (
        "view",
        "attempts",
        "outstanding",
        "possible_runs",
        "bytes_left",
        "resets",
        "result",
        "given_up",
    )

    def __init__(self, view):
        self.view = view
        self.attempts = []
        self.outstanding = 0
        self.possible_runs = 0
        self.bytes_left = False
        self.resets = 0
        self.result = None
        self.given_up = False

    def tried(self):
        """Returns the ids of the searchers that were tried."""
        return {attempt.replica.upstream_id for attempt in self.attempts}

    def reached(self):
        """Returns the ids of the searchers that may have got a byte."""
        return {
            attempt.replica.upstream_id
            for attempt in self.attempts
            if attempt.outcome is not SubOutcome.NOT_SENT
        }
