"""The rows of client accounts, with what hosts have reported to this leader."""

import msgspec

from plantainstage._messages.account_rows import AccountRow
from plantainstage._registry.account_service import AccountService
from plantainstage._registry.configured_accounts import ConfiguredAccounts
from plantainstage._serving.fair_room import FairRoom


class ReportedAccounts:
    """An AccountRowSource of the leader's ledger and of its shares of capacity."""

    def __init__(
        self,
        *,
        configured: ConfiguredAccounts,
        service: AccountService,
        fair_room: FairRoom,
    ):
        self.configured = configured
        self.service = service
        self.fair_room = fair_room

    def account_rows(self) -> tuple[AccountRow, ...]:
        """Returns a row for each account in force."""
        reported_at = self.service.clock()
        totals = {
            total.account: total for total in self.fair_room.totals.totals(reported_at)
        }
        return tuple(
            self._with_total(row, totals.get(row.name), reported_at)
            for row in self.configured.account_rows()
        )

    def _with_total(self, row, total, now):
        if total is None:
            return row
        return msgspec.structs.replace(
            row,
            asked_per_s=round(total.asked_per_s, 2),
            served_per_s=round(total.served_per_s, 2),
            over_quota_per_s=round(total.over_quota_per_s, 2),
            no_room_per_s=round(total.no_room_per_s + total.over_share_per_s, 2),
            room_share=round(self.fair_room.room_share(row.name, now), 3),
            permits=self._outstanding(row.name),
            hosts=total.hosts,
            age_ms=round(total.age_s * 1000),
        )

    def _outstanding(self, name):
        ledger = self.service.ledger
        account = None if ledger is None else ledger.accounts.get(name)
        return 0 if account is None else account.outstanding
