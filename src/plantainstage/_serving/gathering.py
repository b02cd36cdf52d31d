"""When a request to all shards hedges a shard, and when it is answered."""

import enum
from dataclasses import dataclass

# A hedge is sent after this multiple of the 90th percentile of the route's work
# time, clamped to these shares of its target latency: an earlier hedge would
# duplicate ordinary work, a later one would leave the second searcher no time.
HEDGE_FACTOR = 1.3
MIN_HEDGE_SHARE = 0.15
MAX_HEDGE_SHARE = 0.5
# Part of the target latency that remains when a partial answer is sent. It covers
# merging the parts, the path to the caller and the caller's connection set-up.
PARTIAL_ANSWER_MARGIN_S = 0.010
PARTIAL_ANSWER_MARGIN_SHARE = 0.04


class Step(enum.Enum):
    """The next action of a gather."""

    WAIT = "wait"
    ANSWER = "seal"  # the earlier name, kept for compatibility
    GIVE_UP = "give_up"


@dataclass(frozen=True, kw_only=True)
class GatherLimits:
    """The limits of one gather; times are in seconds, on the event loop's clock.

    From ``partial_answer_at`` on, an answer that lacks shards may be sent if at
    least ``needed`` shards are in it. The gather ends at ``end_at``.
    """

    shards: int
    needed: int
    partial_answer_at: float
    end_at: float


@dataclass(frozen=True, kw_only=True)
class Progress:
    """Progress of a gather: shards that have answered and shards still pending."""

    answered: int
    pending_shards: int


def hedge_after_s(*, aim_s: float, p90_work_s: float) -> float:
    """Returns how long to wait for a shard before a hedge is sent."""
    return min(
        MAX_HEDGE_SHARE * aim_s,
        max(MIN_HEDGE_SHARE * aim_s, HEDGE_FACTOR * p90_work_s),
    )


def partial_answer_time(*, received_at: float, aim_s: float, used_s: float) -> float:
    """Returns when a partial answer must be sent to meet the target latency.

    ``used_s`` is how much of the target latency the caller's earlier attempts took.
    """
    return (
        received_at
        + aim_s * (1 - PARTIAL_ANSWER_MARGIN_SHARE)
        - PARTIAL_ANSWER_MARGIN_S
        - used_s
    )


def next_step(limits: GatherLimits, progress: Progress, now: float) -> Step:
    """Returns the next action; the gather answers once waiting gains nothing.

    Before ``partial_answer_at`` a pending shard may still answer in time. After it
    the answer is late in any case and is sent as soon as its coverage suffices.
    """
    enough = progress.answered >= limits.needed
    if progress.answered + progress.pending_shards < limits.needed:
        return Step.GIVE_UP
    if progress.pending_shards == 0 or (enough and now >= limits.partial_answer_at):
        return Step.ANSWER
    if now >= limits.end_at:
        return Step.GIVE_UP
    return Step.WAIT
