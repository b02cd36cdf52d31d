"""Selects and formats client accounts for ``plantainstage-ctl accounts``."""

import msgspec

from plantainstage._messages.account_rows import AccountReport, AccountRow

COLUMNS = (
    "account",
    "asked/s",
    "served/s",
    "of all",
    "over quota/s",
    "no room/s",
    "room share",
    "quota/s",
    "burst",
    "permits",
    "hosts",
    "age",
    "keys",
)
NO_FIGURE = "-"


def worst_first(rows: tuple[AccountRow, ...]) -> tuple[AccountRow, ...]:
    """Sorts by refused requests, then by asked ones, the most first, then by name."""
    return tuple(
        sorted(rows, key=lambda row: (-row.refused_per_s, -row.asked_per_s, row.name))
    )


def select_accounts(
    report: AccountReport, *, name: str | None = None, top: int | None = None
) -> AccountReport:
    """Returns the report with the named account, or the ``top`` ones, worst first."""
    rows = worst_first(report.accounts)
    if name is not None:
        rows = tuple(row for row in rows if row.name == name)
    return msgspec.structs.replace(report, accounts=rows[:top])


def describe_accounts(report: AccountReport, shown: AccountReport) -> list[str]:
    """Returns the lines for the accounts in ``shown``, a part of ``report``.

    The column ``of all`` is an account's share of what all accounts are served, by
    which one sees who uses the capacity now.
    """
    if not report.accounts:
        return [f"version {report.version}: the configuration has no accounts"]
    served_per_s = sum(row.served_per_s for row in report.accounts)
    cells = [COLUMNS, *(_cells(row, served_per_s) for row in shown.accounts)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [_heading(report), *(_aligned(line, widths) for line in cells)]


def _heading(report):
    rows = report.accounts
    reported = sum(row.age_ms is not None for row in rows)
    asked = sum(row.asked_per_s for row in rows)
    refused = sum(row.refused_per_s for row in rows)
    return (
        f"version {report.version}: {len(rows)} accounts, {reported} with reports of "
        f"hosts; {asked:.1f} asked/s, {refused:.1f} refused/s"
    )


def _cells(row, served_per_s):
    figures = _figures(row, served_per_s)
    quota = f"{row.rate_per_s:g}" if row.rate_per_s else "no limit"
    return (
        row.name,
        *figures,
        quota,
        f"{row.burst:g}",
        str(row.permits),
        str(row.hosts),
        NO_FIGURE if row.age_ms is None else f"{row.age_ms} ms",
        " ".join(row.keys) or "none",
    )


def _figures(row, served_per_s):
    if row.age_ms is None:
        return (NO_FIGURE,) * 6
    of_all = row.served_per_s / served_per_s if served_per_s else 0.0
    return (
        f"{row.asked_per_s:.1f}",
        f"{row.served_per_s:.1f}",
        f"{of_all:.0%}",
        f"{row.over_quota_per_s:.1f}",
        f"{row.no_room_per_s:.1f}",
        f"{row.room_share:.2f}",
    )


def _aligned(line, widths):
    first, *middle, last = line
    cells = [first.ljust(widths[0])]
    cells += [
        cell.rjust(width) for cell, width in zip(middle, widths[1:], strict=False)
    ]
    return "  ".join([*cells, last])
