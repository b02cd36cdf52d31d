"""The refusals that a gather may end with."""

from plantainstage._errors import RefusalError
from plantainstage._messages.callers import RunState


def quarantined(gather, run):
    """Refuses a request that crashed searchers; operators need its fingerprint."""
    return RefusalError(
        code="request_quarantined",
        message=(
            "Searchers crashed while they ran this request (fingerprint "
            f"{gather.fingerprint})."
        ),
        remedy=(
            "Change the query; the same query is refused for 10 minutes, or until an "
            "operator lifts the quarantine of its fingerprint."
        ),
        run=run,
        http_status=422,
    )


def index_unavailable(index):
    """Refuses a request for an index without a snapshot."""
    return RefusalError(
        code="index_unavailable",
        message=f"No searcher has announced a snapshot of index {index!r}.",
        remedy="Check that the searchers of this index run and announce.",
        http_status=503,
    )


def unknown_partition(names):
    """Refuses a request for partitions that no snapshot holds together."""
    return RefusalError(
        code="unknown_partition",
        message=f"No snapshot has all of the partitions {', '.join(names)}.",
        remedy="Check the names of the partitions.",
        http_status=404,
    )


def overloaded():
    """Refuses a request before or without running any part of it."""
    return RefusalError(
        code="overloaded",
        message="The searchers cannot answer within the profile's deadline.",
        remedy="Send the request again later, after a growing pause.",
        run=RunState.NOT_RUN,
        http_status=503,
    )


def coverage_not_met(*, answered, total, minimum, run):
    """Refuses a partial answer below the profile's minimum coverage."""
    return RefusalError(
        code="coverage_not_met",
        message=(
            f"{answered} of {total} documents answered in time; the profile "
            f"needs {minimum:.4g} of them."
        ),
        remedy=(
            "Send the request again."
            if run is RunState.NOT_RUN
            else "Some searchers may have run the request; send it again if that "
            "does no harm."
        ),
        run=run,
        http_status=503,
    )
