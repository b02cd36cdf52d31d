"""Service-level burn: use of the error budgets, computed from minute records.

All functions are pure; they take host minutes and the published profiles.
"""

import enum

import msgspec

from plantainstage._messages.configuration import Profile
from plantainstage._reports.records import (
    MINUTE_S,
    MinuteRecord,
    decode_histogram,
    merge_all,
)
from plantainstage._reports.sources import SourceProblem

BURN_WINDOWS_MINUTES = (5, 60, 180)
COVERAGE_REFUSAL = "coverage_not_met"


class Violation(enum.Enum):
    """An objective of a profile that was not met in a minute."""

    LATE = "late"
    COVERAGE = "coverage"
    EXTRA_LOAD = "extra_load"


class MinuteBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one profile in one minute, summed over all hosts.

    Shares are of the minute's requests; ``extra_share`` is extra over first
    sub-requests. ``budget_share`` is the part of the period's error budget
    that this minute used. Latencies are of answers, in milliseconds.
    """

    minute: int
    requests: int
    late: int
    late_share: float
    below_promise: int
    answers_below_promise: int
    extra_share: float
    budget_share: float | None
    p50_ms: float
    p99_ms: float
    max_ms: float
    violations: tuple[Violation, ...]


class BurnRate(msgspec.Struct, frozen=True, kw_only=True):
    """Rate at which the error budget is used in the last ``window_minutes``.

    At 1.0 the budget is used up exactly at the end of the period; None means that
    requests were late although the profile allows none. ``complete`` is false
    when minutes of a host are missing in this window.
    """

    window_minutes: int
    requests: int
    late: int
    rate: float | None
    complete: bool


class ProfileBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Totals and minutes of one profile over the period.

    ``budget_burnt`` is the number of late requests over the number allowed in the
    period; None means that none is allowed and some were late.
    """

    profile: Profile
    requests: int
    late: int
    below_promise: int
    budget_burnt: float | None
    burn_rates: tuple[BurnRate, ...]
    worst_minute: MinuteBurn | None
    violated_minutes: int
    minutes: tuple[MinuteBurn, ...]

    @property
    def exceeded(self):
        """Whether a minute violated an objective or the period exceeded its budget."""
        spent = self.budget_burnt is None or self.budget_burnt > 1
        return spent or self.violated_minutes > 0


class HostGap(msgspec.Struct, frozen=True, kw_only=True):
    """Minutes of the period without a complete record of one host."""

    host: str
    missing: int
    first_minute: int
    last_minute: int


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """The burn of all profiles over ``first_minute`` to ``last_minute``.

    ``partial`` is true unless every source was read and all minutes of each host
    are complete; ``exceeded`` then covers only the data that was read.
    ``not_judged`` names recorded profiles that are not published.
    """

    first_minute: int
    last_minute: int
    hosts: tuple[str, ...]
    problems: tuple[SourceProblem, ...]
    gaps: tuple[HostGap, ...]
    partial: bool
    exceeded: bool
    profiles: tuple[ProfileBurn, ...]
    not_judged: tuple[str, ...]


def burn_report(collection, profiles, *, period_minutes, expected_hosts=()):
    """Returns the BurnReport of a MinuteCollection.

    ``expected_hosts`` are the entry hosts registered with control; one without
    any minute makes the report partial.
    """
    problems = set(collection.problems)
    minutes = collection.minutes.values()
    hosts = tuple(sorted({item.host for item in minutes}))
    for host in sorted(set(expected_hosts) - set(hosts)):
        problems.add(
            SourceProblem(source=host, reason="registered, but its minutes are missing")
        )
    last = last_common_minute(minutes)
    first = last - period_minutes + 1
    complete_minutes = _complete_minutes(minutes, first, last)
    gaps = tuple(
        gap
        for host in hosts
        if (gap := _gap(host, complete_minutes[host], first, last))
    )
    records = merge_all(
        record
        for item in minutes
        if first <= item.minute <= last
        for record in item.records
    )
    burns = tuple(
        profile_burn(
            profile,
            [records[key] for key in sorted(records) if key[0] == profile.name],
            last_minute=last,
            complete_from=_complete_from(complete_minutes, hosts, first, last),
            sources_complete=bool(hosts) and not problems,
        )
        for profile in sorted(profiles, key=lambda item: item.name)
    )
    evaluated = {profile.name for profile in profiles}
    return BurnReport(
        first_minute=first,
        last_minute=last,
        hosts=hosts,
        problems=tuple(sorted(problems)),
        gaps=gaps,
        partial=bool(problems or gaps or not hosts),
        exceeded=any(burn.exceeded for burn in burns),
        profiles=burns,
        not_judged=tuple(sorted({key[0] for key in records} - evaluated)),
    )


def last_common_minute(minutes):
    """Returns the last minute of the report.

    Host clocks differ slightly, so that one host may not have closed the newest
    minute yet; the minute before is used then, but never an older one: a host
    that stopped recording is reported as a gap and does not delay the report.
    """
    newest_by_host = {}
    for item in minutes:
        newest = newest_by_host.get(item.host, 0)
        newest_by_host[item.host] = max(newest, item.minute)
    if not newest_by_host:
        return 0
    newest = max(newest_by_host.values())
    return newest if min(newest_by_host.values()) == newest else newest - 1


def _complete_minutes(minutes, first, last):
    complete_minutes = {}
    for item in minutes:
        of_host = complete_minutes.setdefault(item.host, set())
        if item.complete and first <= item.minute <= last:
            of_host.add(item.minute)
    return complete_minutes


def _gap(host, complete_minutes, first, last):
    missing = [
        minute for minute in range(first, last + 1) if minute not in complete_minutes
    ]
    if not missing:
        return None
    return HostGap(
        host=host,
        missing=len(missing),
        first_minute=missing[0],
        last_minute=missing[-1],
    )


def _complete_from(complete_minutes, hosts, first, last):
    """Returns the first minute from which on the minutes of all hosts are complete."""
    minute = last
    while minute >= first and all(minute in complete_minutes[host] for host in hosts):
        minute -= 1
    return minute + 1


def profile_burn(profile, records, *, last_minute, complete_from, sources_complete):
    """Returns the ProfileBurn of one profile's merged records."""
    requests = sum(record.requests for record in records)
    late = sum(record.late for record in records)
    allowed = profile.late_fraction * requests
    minutes = tuple(minute_burn(profile, record, allowed) for record in records)
    with_requests = [minute for minute in minutes if minute.requests]
    return ProfileBurn(
        profile=profile,
        requests=requests,
        late=late,
        below_promise=sum(record.below_promise for record in records),
        budget_burnt=budget_share(late, allowed),
        burn_rates=tuple(
            _burn_rate(
                profile, records, window, last_minute, complete_from, sources_complete
            )
            for window in BURN_WINDOWS_MINUTES
        ),
        worst_minute=max(with_requests, key=_severity, default=None),
        violated_minutes=sum(bool(minute.violations) for minute in minutes),
        minutes=minutes,
    )


def budget_share(late, allowed):
    """Returns late requests over allowed ones; None when none is allowed."""
    if not late:
        return 0.0
    return late / allowed if allowed else None


def _burn_rate(profile, records, window, last_minute, complete_from, sources_complete):
    first = last_minute - window + 1
    inside = [record for record in records if record.minute >= first]
    requests = sum(record.requests for record in inside)
    late = sum(record.late for record in inside)
    return BurnRate(
        window_minutes=window,
        requests=requests,
        late=late,
        rate=budget_share(late, profile.late_fraction * requests),
        complete=sources_complete and complete_from <= first,
    )


def minute_burn(profile, record: MinuteRecord, allowed):
    """Returns the MinuteBurn of a merged record."""
    refused = sum(
        item.count for item in record.refusals if item.code == COVERAGE_REFUSAL
    )
    below = record.below_promise - refused
    late_share = record.late / record.requests if record.requests else 0.0
    p50_ms, p99_ms, max_ms = _latencies(record)
    violations = []
    if record.late > profile.late_fraction * record.requests:
        violations.append(Violation.LATE)
    if below > 0:
        violations.append(Violation.COVERAGE)
    limit = profile.extra_load_limit * record.first_sub_requests
    if record.extra_sub_requests > limit:
        violations.append(Violation.EXTRA_LOAD)
    return MinuteBurn(
        minute=record.minute,
        requests=record.requests,
        late=record.late,
        late_share=late_share,
        below_promise=record.below_promise,
        answers_below_promise=below,
        extra_share=record.extra_sub_requests / max(record.first_sub_requests, 1),
        budget_share=budget_share(record.late, allowed),
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        max_ms=max_ms,
        violations=tuple(violations),
    )


def _latencies(record):
    histogram = decode_histogram(record.latency)
    if not histogram.total_count:
        return 0.0, 0.0, 0.0
    return (
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        histogram.get_max_value() / 1000,
    )


def _severity(minute):
    return (minute.late_share, minute.late, minute.p99_ms, minute.minute)


def minute_time(minute):
    """Returns the Unix time at which a minute begins."""
    return minute * MINUTE_S
