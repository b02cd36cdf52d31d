"""The lease and the items that an owner queue works on."""

import math

from plantainstage._messages.forward import SubOutcome

BUSY = "busy"  # reason of NOT_SENT: it would wait, and there are alternatives
# The searcher has certainly ended the sub-request after one of these.
SLOT_FREE_OUTCOMES = frozenset(
    {
        SubOutcome.ANSWERED,
        SubOutcome.REFUSED,
        SubOutcome.NOT_SENT,
        SubOutcome.CANCELLED,
    }
)


class HostLease:
    """The entry host's lease, shared by all of its owner queues."""

    def __init__(self, *, until: float = -math.inf):
        self.until = until

    def valid(self, now):
        """Whether bytes may be sent to searchers."""
        return now < self.until


class Queued:
    """A sub-request that waits; ``deadline`` is on the owner's clock."""

    __slots__ = (
        "requester_id",
        "sub_request",
        "deadline",
        "profile",
        "idempotent",
        "removed",
    )

    def __init__(self, *, requester_id, sub_request, deadline):
        self.requester_id = requester_id
        self.sub_request = sub_request
        self.deadline = deadline
        self.profile = sub_request.profile
        self.idempotent = sub_request.idempotent
        self.removed = False


class Running:
    """A sub-request that holds a slot and a connection."""

    __slots__ = (
        "queued",
        "started_at",
        "connection_id",
        "got_byte",
        "suspect",
        "check_after_s",
        "aborted",
    )

    def __init__(self, *, queued, started_at, connection_id):
        self.queued = queued
        self.started_at = started_at
        self.connection_id = connection_id
        self.got_byte = False
        self.suspect = False
        self.check_after_s = 0.0  # set once the searcher said that it runs
        self.aborted = False
