"""Plots the burn report as PNG or SVG."""

from datetime import UTC, datetime

import matplotlib

matplotlib.use("Agg")

import matplotlib.dates as mdates
from matplotlib.figure import Figure

from plantainstage._reports.burn import minute_time
from plantainstage._reports.burn_text import format_minute, format_share, summary_line

MAX_PROFILES = 8  # more rows are too small to read; the highest budget uses are drawn
ROW_HEIGHT_IN = 2.6
MEASURED_COLOUR = "#1f5a94"
LIMIT_COLOUR = "#b3261e"
VIOLATION_COLOUR = "#e07a1f"
MEDIAN_COLOUR = "#7fa8cc"


def draw_report(report, path):
    """Writes the plot to ``path``; the suffix determines the format."""
    burns = sorted(report.profiles, key=_budget_burnt, reverse=True)[:MAX_PROFILES]
    rows = max(len(burns), 1)
    figure = Figure(figsize=(15, 1.4 + ROW_HEIGHT_IN * rows), layout="constrained")
    figure.suptitle(_title(report, len(burns)), fontsize=12, x=0.01, ha="left")
    axes = figure.subplots(rows, 3, squeeze=False, sharex="all")
    for row, burn in zip(axes, burns, strict=False):
        _draw_profile(row, burn, report)
    for axis in axes[-1]:
        axis.set_xlabel("UTC", fontsize=8)
    if not burns:
        for axis in axes[0]:
            axis.set_axis_off()
    figure.savefig(path, dpi=110)


def _budget_burnt(burn):
    return float("inf") if burn.budget_burnt is None else burn.budget_burnt


def _title(report, drawn):
    period = (
        f"{format_minute(report.first_minute)} to "
        f"{format_minute(report.last_minute)} UTC"
    )
    hosts = f"{len(report.hosts)} entry hosts"
    profiles = f"{drawn} of {len(report.profiles)} profiles, highest budget use first"
    return f"{summary_line(report)}\n{period}, {hosts}, {profiles}"


def _draw_profile(axes, burn, report):
    profile = burn.profile
    times = [_time(minute.minute) for minute in burn.minutes]
    late, latency, extra = axes
    _draw_share(
        late,
        times,
        [100 * minute.late_share for minute in burn.minutes],
        100 * profile.late_fraction,
    )
    late.set_title(
        f"{profile.name}: budget burnt {format_share(burn.budget_burnt)}\n"
        "late answers, %",
        fontsize=9,
        loc="left",
    )
    latency.plot(
        times,
        [m.p99_ms for m in burn.minutes],
        color=MEASURED_COLOUR,
        marker=".",
        label="p99",
    )
    latency.plot(
        times,
        [m.p50_ms for m in burn.minutes],
        color=MEDIAN_COLOUR,
        ls="-",
        label="p50",
    )
    latency.axhline(profile.deadline_ms, color=LIMIT_COLOUR, ls="--", label="deadline")
    latency.set_title("latency of answers, ms", fontsize=9, loc="left")
    latency.set_ylim(bottom=0)
    _draw_share(
        extra,
        times,
        [100 * minute.extra_share for minute in burn.minutes],
        100 * profile.extra_load_limit,
    )
    extra.set_title("extra sub-requests, % of first", fontsize=9, loc="left")
    for axis in axes:
        _style(axis, report)


def _draw_share(axis, times, values, limit):
    width = 0.8 / (24 * 60)  # in days, the unit of the axis
    colours = [
        VIOLATION_COLOUR if value > limit else MEASURED_COLOUR for value in values
    ]
    axis.bar(times, values, width=width, color=colours)
    axis.axhline(limit, color=LIMIT_COLOUR, ls="--", label=f"limit {limit:.3g}%")
    if VIOLATION_COLOUR in colours:
        # A zero-height bar that only adds the legend entry.
        axis.bar(times[:1], [0], color=VIOLATION_COLOUR, label="over the limit")
    axis.set_ylim(0, max([*values, limit]) * 1.15 or 1)


def _style(axis, report):
    first, last = _time(report.first_minute), _time(report.last_minute + 1)
    axis.set_xlim(first, last)
    axis.xaxis.set_major_locator(mdates.AutoDateLocator(maxticks=8))
    axis.xaxis.set_major_formatter(mdates.DateFormatter("%H:%M"))
    axis.tick_params(labelsize=8)
    axis.grid(alpha=0.25)
    # Above the axes, so that it covers no data.
    axis.legend(
        fontsize=7,
        loc="lower right",
        bbox_to_anchor=(1, 0.98),
        ncols=3,
        frameon=False,
    )


def _time(minute):
    return datetime.fromtimestamp(minute_time(minute), UTC)
