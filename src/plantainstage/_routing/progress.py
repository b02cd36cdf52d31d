"""What a gather knows of its sub-requests and partitions."""

from plantainstage._errors import check_invariant
from plantainstage._messages.forward import SubOutcome

# A crashing request must not reach a third searcher of a partition, so that at
# most two sub-requests of a partition may be running or have run.
POSSIBLE_RUNS_PER_PARTITION = 2


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

    def matches(self, result, snapshot):
        """Whether the result belongs to this attempt in every respect."""
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
    """The progress of one partition.

    ``possible_runs`` counts the attempts that run or may have run, and
    ``may_have_sent`` tells whether a byte of any attempt may have left.
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
        """Whether one more sub-request cannot be a third run of the partition."""
        return self.possible_runs < POSSIBLE_RUNS_PER_PARTITION

    def latest_useful_send(self, finish_at):
        """Returns when it is too late for an extra sub-request to be answered."""
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
        """Returns an untried replica, else one that declined, or None.

        A replica that declined is asked once more, without an alternative, when
        all others have failed.
        """
        replica = choose(self.view.replicas, self.tried(), now)
        if replica is None and self.declined:
            replica = choose(self.declined, (), now)
            self.declined = tuple(item for item in self.declined if item is not replica)
        return replica

    def possibly_reached(self):
        """Returns the ids of the searchers that may have got a byte."""
        return {
            attempt.replica.upstream_id
            for attempt in self.attempts
            if attempt.outcome is not SubOutcome.NOT_SENT
        }
