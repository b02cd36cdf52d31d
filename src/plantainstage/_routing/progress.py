"""Progress of the sub-requests and partitions of a gather."""

from plantainstage._errors import check_invariant
from plantainstage._messages.forward import SubOutcome

# At most two sub-requests of a partition may be running or have run, so that a
# request that crashes searchers never reaches a third searcher of the partition.
POSSIBLE_RUNS_PER_PARTITION = 2


class Attempt:
    """One sub-request that was sent; ``outcome`` is None while outstanding.

    ``extra`` is the extra-load budget taken for it, or None.
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

    def matches(self, result, snapshot):
        """Whether the result is a consistent result of this attempt."""
        view = self.part.view
        if (
            result.upstream_id != self.replica.upstream_id
            or result.partition != view.name
        ):
            return False
        if result.outcome is not SubOutcome.ANSWERED:
            return True
        return result.snapshot == snapshot and 0 <= result.documents <= view.documents


class PartitionProgress:
    """Progress of one partition of a request.

    ``possible_runs`` counts the attempts that are running or may have run, and
    ``may_have_sent`` is true if a byte of any attempt may have been sent to a
    searcher.
    """

    __slots__ = (
        "view",
        "attempts",
        "outstanding",
        "possible_runs",
        "may_have_sent",
        "resets",
        "result",
        "given_up",
        "declined",
    )

    def __init__(self, view):
        self.view = view
        self.attempts = []
        self.outstanding = 0
        self.possible_runs = 0
        self.may_have_sent = False
        self.resets = 0
        self.result = None
        self.given_up = False
        self.declined = ()

    def may_run_again(self):
        """Whether another sub-request cannot become the partition's third run."""
        return self.possible_runs < POSSIBLE_RUNS_PER_PARTITION

    def latest_useful_send(self, finish_at):
        """Returns the time from which an extra sub-request would be too late."""
        return finish_at - self.view.latency.median_s

    def count_reset(self, request_id):
        """Counts a searcher that reset while it ran this partition."""
        self.resets += 1
        check_invariant(
            self.resets <= POSSIBLE_RUNS_PER_PARTITION,
            invariant="crashes_per_partition",
            detail=f"{request_id} partition {self.view.name}",
        )

    def tried(self):
        """Returns the ids of the searchers that were tried."""
        return {attempt.replica.upstream_id for attempt in self.attempts}

    def next_untried(self, choose, now):
        """Returns an untried replica, or else one that declined, or None.

        A replica that declined is tried once more, now without alternatives, after
        all others have failed.
        """
        replica = choose(self.view.replicas, self.tried(), now)
        if replica is None and self.declined:
            replica = choose(self.declined, (), now)
            self.declined = tuple(item for item in self.declined if item is not replica)
        return replica

    def possibly_reached(self):
        """Returns the ids of the searchers that may have received a byte."""
        return {
            attempt.replica.upstream_id
            for attempt in self.attempts
            if attempt.outcome is not SubOutcome.NOT_SENT
        }
