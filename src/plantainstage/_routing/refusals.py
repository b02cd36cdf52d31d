"""Refusals with which a gather may end."""

from plantainstage._errors import RefusalError
from plantainstage._messages.callers import RunState


def quarantined(gather, run):
    """Refuses a request that crashed searchers, with its fingerprint for operators."""
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
    """Refuses a request for an index that has no snapshot."""
    return RefusalError(
        code="index_unavailable",
        message=f"No searcher has announced a snapshot of index {index!r}.",
        remedy="Check that the searchers of this index run and announce.",
        http_status=503,
    )


def unknown_partition(names):
    """Refuses a request if no single snapshot has all of its partitions."""
    return RefusalError(
        code="unknown_partition",
        message=f"No snapshot has all of the partitions {', '.join(names)}.",
        remedy="Check the names of the partitions.",
        http_status=404,
    )


def overloaded():
    """Refuses a request that no searcher has run, because the searchers are busy."""
    return RefusalError(
        code="overloaded",
        message="The searchers cannot answer within the profile's deadline.",
        remedy="Send the request again later, after a growing pause.",
        run=RunState.NOT_RUN,
        http_status=503,
    )


def coverage_not_met(*, answered, total, minimum, run):
    """Refuses a request whose coverage is below the profile's minimum."""
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
