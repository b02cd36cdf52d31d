"""Builds the reply to a request from the progress of its partitions."""

import msgspec

from plantainstage._errors import check_invariant
from plantainstage._messages.callers import AnswerBody, Coverage, RunState
from plantainstage._messages.forward import SubOutcome
from plantainstage._routing import refusals

NOT_RUN_OUTCOMES = frozenset({SubOutcome.NOT_SENT, SubOutcome.REFUSED})


def run_state(gather):
    """Returns NOT_RUN only if every attempt ended without being run."""
    for attempt in gather.attempts.values():
        if attempt.outcome not in NOT_RUN_OUTCOMES:
            return RunState.UNKNOWN
    check_invariant(
        all(part.possible_runs == 0 for part in gather.parts),
        invariant="not_run_is_certain",
        detail=gather.request_id,
    )
    return RunState.NOT_RUN


def build_refusal(gather):
    """Returns the refusal of a request that misses its minimum coverage."""
    run = run_state(gather)
    if run is RunState.NOT_RUN and gather.attempts:
        return refusals.overloaded()
    return refusals.coverage_not_met(
        answered=gather.answered,
        total=gather.total,
        minimum=gather.profile.minimum_coverage,
        run=run,
    )


def build_answer(gather, now):
    """Returns the AnswerBody, with the coverage recounted from the results."""
    answered = 0
    hits = {}
    missing = []
    for part in gather.parts:
        result = part.result
        if result is None:
            missing.append(part.view.name)
            continue
        check_invariant(
            result.snapshot == gather.snapshot.snapshot,
            invariant="one_snapshot",
            detail=f"{result.snapshot} in an answer of {gather.snapshot.snapshot}",
        )
        check_invariant(
            part.view.name not in hits,
            invariant="partition_counted_once",
            detail=f"{gather.request_id} partition {part.view.name}",
        )
        answered += result.documents
        hits[part.view.name] = msgspec.Raw(result.hits)
    check_invariant(
        answered == gather.answered <= gather.total,
        invariant="exact_coverage",
        detail=f"{gather.request_id}: {answered}, {gather.answered}, {gather.total}",
    )
    return AnswerBody(
        request_id=gather.request_id,
        profile=gather.profile.name,
        index=gather.snapshot.index,
        snapshot=gather.snapshot.snapshot,
        coverage=Coverage(
            documents_answered=answered,
            documents_total=gather.total,
            fraction=answered / gather.total if gather.total else 1.0,
            partitions_missing=tuple(missing),
        ),
        elapsed_ms=(now - gather.arrived_at) * 1000,
        hits=hits,
    )
