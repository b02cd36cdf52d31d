"""When a request to all shards repeats a shard, and when its answer is sealed."""

import enum
from dataclasses import dataclass

# A hedge is due after this multiple of the 90th percentile of the route's work
# time, within these shares of its aim: sooner would repeat ordinary work, later
# would leave no time for the second searcher.
HEDGE_FACTOR = 1.3
MIN_HEDGE_SHARE = 0.15
MAX_HEDGE_SHARE = 0.5
# What is left of the aim when a partial answer is sealed: the way to the caller,
# its new connection and the merging of the parts.
PARTIAL_ANSWER_MARGIN_S = 0.010
PARTIAL_ANSWER_MARGIN_SHARE = 0.04


class Step(enum.Enum):
    """What to do with a gather now."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


@dataclass(frozen=True, kw_only=True)
class GatherTerms:
    """The bounds of one gather; times are those of the event loop, in seconds."""

    shards: int
    needed: int
    partial_answer_at: float
    end_at: float


@dataclass(frozen=True, kw_only=True)
class Progress:
    """How far a gather has come: parts that are in, and shards still open."""

    answered: int
    open_shards: int


def hedge_after_s(*, aim_s: float, p90_work_s: float) -> float:
    """Returns how long a shard may be silent before another searcher is asked."""
    return min(
        MAX_HEDGE_SHARE * aim_s,
        max(MIN_HEDGE_SHARE * aim_s, HEDGE_FACTOR * p90_work_s),
    )


def partial_answer_time(*, received_at: float, aim_s: float, used_s: float) -> float:
    """Returns when a partial answer has to leave to arrive within the aim.

    ``used_s`` is how much of the aim the caller's earlier attempts took.
    """
    return (
        received_at
        + aim_s * (1 - PARTIAL_ANSWER_MARGIN_SHARE)
        - PARTIAL_ANSWER_MARGIN_S
        - used_s
    )


def next_step(terms: GatherTerms, progress: Progress, now: float) -> Step:
    """Returns what to do; an answer is sealed as soon as waiting gains nothing.

    Before ``seal_at`` a missing shard may still come in time. Afterwards the
    answer is late anyhow, so that it leaves once it covers enough.
    """
    enough = progress.answered >= terms.needed
    if progress.answered + progress.open_shards < terms.needed:
        return Step.GIVE_UP
    if progress.open_shards == 0 or (enough and now >= terms.partial_answer_at):
        return Step.ANSWER
    if now >= terms.end_at:
        return Step.GIVE_UP
    return Step.WAIT
