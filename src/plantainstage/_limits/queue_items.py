"""The host lease and the items of an owner queue."""

import math

from plantainstage._messages.forward import SubOutcome

BUSY = "busy"  # reason of NOT_SENT: would wait, alternatives exist
# After one of these outcomes the searcher is certain not to run the sub-request.
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
        """Whether the lease allows sending to searchers."""
        return now < self.until


class Queued:
    """A queued sub-request; ``deadline`` is on the owner's monotonic clock."""

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
    """A running sub-request, which holds a slot and a connection."""

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
        self.check_after_s = 0.0  # set when the searcher reports it as running
        self.aborted = False
