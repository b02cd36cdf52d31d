"""Records resets seen by a gather and reports fingerprints that crash searchers."""

from plantainstage._routing.actions import ReportCrashes


def record_reset(gather, attempt, now):
    """Records a reset; returns whether the fingerprint is now quarantined."""
    attempt.part.count_reset(gather.request_id)
    quarantines = gather.routing.quarantines
    quarantines.record_reset(
        fingerprint=gather.fingerprint,
        upstream_id=attempt.replica.upstream_id,
        partition=attempt.part.view.name,
        now=now,
    )
    return quarantines.is_quarantined(gather.fingerprint, now)


def crash_report(gather):
    """Returns the action that quarantines the request's fingerprint on all hosts."""
    duration_ms = round(gather.routing.quarantines.duration_s * 1000)
    return ReportCrashes(fingerprint=gather.fingerprint, duration_ms=duration_ms)
