"""Formats the status of the tier, the configuration and verdicts as text."""

from datetime import UTC, datetime

from plantainstage._operator.changes import is_in_force
from plantainstage._operator.replicas import describe_replica


def describe_status(status):
    """Returns the lines of ``plantainstage-ctl status``."""
    if is_in_force(status):
        in_force = "in force everywhere"
    elif not status.settled:
        in_force = "not known to be in force: the leader is new"
    else:
        in_force = f"in force but for: {', '.join(status.lacking)}"
    lines = [f"version {status.version}: {in_force}", "entry hosts:"]
    lines.extend(_describe_entry(item) for item in status.entries)
    lines.append(f"control replicas (term {status.term}):")
    lines.extend(describe_replica(item) for item in status.replicas)
    return lines


def _describe_entry(item):
    lease = (
        f"lease for {item.lease_remaining_ms} ms"
        if item.lease_remaining_ms > 0
        else "no lease"
    )
    draining = ", draining" if item.draining else ""
    return (
        f"  {item.entry.entry_id} {item.entry.data_centre} "
        f"{item.entry.caller_address}: version {item.applied_version}, "
        f"{lease}{draining}"
    )


def describe_upstreams(configuration):
    """Returns one line for each registered searcher."""
    owners = {item.upstream_id: item for item in configuration.ownerships}
    lines = []
    for item in configuration.upstreams:
        owner = owners.get(item.upstream_id)
        text = "no owner"
        if owner is not None:
            text = f"owner {owner.entry_id} epoch {owner.epoch}"
            text += "" if owner.active else " (waiting for the previous owner)"
        held = ", ".join(
            f"{holding.snapshot}: {' '.join(holding.partitions)}"
            for holding in item.holdings
        )
        lines.append(
            f"{item.upstream_id} {item.state.value} {item.address} "
            f"{item.data_centre} {item.index} [{held}] {text}"
        )
    return lines


def describe_quarantines(configuration):
    """Returns one line for each quarantined fingerprint."""
    return [
        f"{item.fingerprint} index {item.index or 'unknown'} "
        f"since {_format_utc(item.since_ms)} until {_format_utc(item.expires_ms)} "
        f"searchers {' '.join(item.searchers) or 'unknown'}"
        for item in configuration.quarantines
    ]


def _format_utc(unix_ms):
    if not unix_ms:
        return "unknown"
    time = datetime.fromtimestamp(unix_ms / 1000, tz=UTC)
    return time.isoformat(timespec="seconds")


def describe_profile(profile):
    """Returns one line with the fields of a profile."""
    return (
        f"{profile.name} index {profile.index} deadline {profile.deadline_ms} ms, "
        f"late at most {profile.late_fraction:g}, "
        f"coverage at least {profile.minimum_coverage:g}, "
        f"extra load at most {profile.extra_load_limit:g}, weight {profile.weight}"
    )


def describe_verdict(verdict):
    """Returns the recorded verdict of a change as lines."""
    lines = [
        f"change {verdict.change.number} of {verdict.change.operator}: "
        f"{verdict.kind.value}, version {verdict.version}",
        f"{verdict.change.body}",
    ]
    lines.extend(line for line in (verdict.reason, verdict.remedy) if line)
    return lines
