"""What a control replica tells operators about client accounts, as JSON.

These types are also the interface between the HTTP handler and the leader's service,
which adds up the reports of the entry hosts.
"""

from typing import Protocol

import msgspec


class AccountRow(msgspec.Struct, frozen=True, kw_only=True):
    """One client account over all entry hosts.

    ``rate_per_s`` and ``burst`` are its quota (a rate of 0 is no limit), ``keys`` the
    digests of its keys in force. Of the requests a second that were ``asked``,
    ``served`` ones got a success, ``over_quota`` ones were refused with 429 and
    ``no_room`` ones for lack of capacity. ``room_share`` is the share of its requests
    that is admitted while upstreams cannot serve all. ``permits`` are outstanding at
    hosts. ``hosts`` have reported on it, the newest one ``age_ms`` ago, which is None
    without a report: the figures then say nothing.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    keys: tuple[str, ...] = ()
    asked_per_s: float = 0.0
    served_per_s: float = 0.0
    over_quota_per_s: float = 0.0
    no_room_per_s: float = 0.0
    room_share: float = 1.0
    permits: int = 0
    hosts: int = 0
    age_ms: int | None = None

    @property
    def refused_per_s(self):
        """Requests a second refused by quota or for lack of capacity."""
        return self.over_quota_per_s + self.no_room_per_s


class AccountReport(msgspec.Struct, frozen=True, kw_only=True):
    """All accounts of the configuration with this version."""

    version: int
    accounts: tuple[AccountRow, ...] = ()


class AccountRowSource(Protocol):
    """What the leader's service for client accounts offers to the HTTP interface."""

    def account_rows(self) -> tuple[AccountRow, ...]:
        """Returns a row for each account in force."""
