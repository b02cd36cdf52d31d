"""Formats the burn report as text and as JSON."""

from datetime import UTC, datetime

import msgspec

from plantainstage._reports.burn import minute_time

MINUTE_HEADER = (
    f"  {'minute':<17}{'requests':>9}{'late':>7}{'late %':>8}{'below':>7}"
    f"{'extra %':>9}{'budget %':>10}{'p50 ms':>9}{'p99 ms':>9}{'max ms':>9}  violated"
)


def report_json(report):
    """Returns the report as one JSON document."""
    return msgspec.json.format(msgspec.json.encode(report), indent=1).decode()


def report_text(report):
    """Returns the report as text, with the overall result in the first line."""
    lines = [summary_line(report), *_scope_lines(report), ""]
    for burn in report.profiles:
        lines += _profile_lines(burn)
    if report.not_judged:
        names = ", ".join(
            name or "(no published profile)" for name in report.not_judged
        )
        lines.append(f"Recorded, but not evaluated for lack of a profile: {names}.")
    return "\n".join(lines).rstrip() + "\n"


def summary_line(report):
    """Returns the first line; it states nothing about data that was not read."""
    if report.partial:
        result = "exceeded" if report.exceeded else "not exceeded"
        return (
            f"PARTIAL: some data is missing; in the data read the budget is {result}."
        )
    if report.exceeded:
        return "EXCEEDED: at least one profile did not meet its objectives."
    return "WITHIN BUDGET: every profile met its objectives in every minute."


def _scope_lines(report):
    lines = []
    if report.hosts:
        lines.append(
            f"Period {format_minute(report.first_minute)} to "
            f"{format_minute(report.last_minute)} UTC, "
            f"{report.last_minute - report.first_minute + 1} minutes, "
            f"{len(report.hosts)} entry hosts: {', '.join(report.hosts)}."
        )
    for problem in report.problems:
        lines.append(f"Not read: {problem.source}: {problem.reason}.")
    for gap in report.gaps:
        lines.append(
            f"Incomplete: {gap.host} lacks {gap.missing} minutes between "
            f"{format_minute(gap.first_minute)} and {format_minute(gap.last_minute)}."
        )
    return lines


def _profile_lines(burn):
    profile = burn.profile
    lines = [
        f"{profile.name}: deadline {profile.deadline_ms} ms, late at most "
        f"{profile.late_fraction:.2%}, coverage at least "
        f"{profile.minimum_coverage:.2%}, extra load at most "
        f"{profile.extra_load_limit:.2%}",
        f"  {burn.requests} requests, {burn.late} late, {burn.below_promise} below the "
        f"minimum coverage; error budget burnt: {format_share(burn.budget_burnt)}; "
        f"violated minutes: {burn.violated_minutes}",
        "  burn rate: " + "; ".join(_rate_text(rate) for rate in burn.burn_rates),
    ]
    if burn.worst_minute is None:
        return [*lines, "  no requests in the period", ""]
    worst = burn.worst_minute
    lines.append(
        f"  worst minute: {format_minute(worst.minute)} with {worst.late} of "
        f"{worst.requests} late ({worst.late_share:.2%}), p99 {worst.p99_ms:.1f} ms"
    )
    lines.append(MINUTE_HEADER)
    return [*lines, *(_minute_line(minute) for minute in burn.minutes), ""]


def _rate_text(rate):
    value = "no budget" if rate.rate is None else f"{rate.rate:.2f}"
    missing = "" if rate.complete else " (partial)"
    return f"{rate.window_minutes} min {value}{missing}"


def _minute_line(minute):
    violated = ", ".join(item.value for item in minute.violations)
    return (
        f"  {format_minute(minute.minute):<17}{minute.requests:>9}{minute.late:>7}"
        f"{minute.late_share:>8.2%}{minute.below_promise:>7}{minute.extra_share:>9.2%}"
        f"{format_share(minute.budget_share):>10}{minute.p50_ms:>9.1f}"
        f"{minute.p99_ms:>9.1f}{minute.max_ms:>9.1f}  {violated}"
    ).rstrip()


def format_share(share):
    """Returns a share as a percentage, or ``no budget`` for None."""
    return "no budget" if share is None else f"{share:.1%}"


def format_minute(minute):
    """Returns the UTC time at which a minute begins, ``2026-01-31 09:59``."""
    return datetime.fromtimestamp(minute_time(minute), UTC).strftime("%Y-%m-%d %H:%M")
