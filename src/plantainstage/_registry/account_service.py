"""Answers the reports of entry hosts on client accounts, at the leader of the group."""

import asyncio
import math
from collections.abc import Callable

import msgspec

from plantainstage._errors import (
    InvalidConfigurationError,
    NotLeaderError,
    OutcomeUnknownError,
)
from plantainstage._messages.serving import (
    AccountGrant,
    AccountsReply,
    AccountsRequest,
    AccountUse,
)
from plantainstage._serving.account_bounds import QuotaBounds
from plantainstage._serving.boot_clock import boot_time
from plantainstage._serving.configuration import ConfigurationDecoder
from plantainstage._serving.quota_ledger import QuotaLedger
from plantainstage._serving.quota_permits import REPLY_LIMIT_S

# Two leaders may grant at the same time for this long; the slack of the bound covers
# it (QuotaAccount).
CONFIRMATION_LIFE_S = 0.15
SWEEP_INTERVAL_S = 0.1
MAX_LOGGED_CHANGES = 20  # in one sweep


def _admit_all(account: str, now: float) -> float:
    return 1.0


class AccountService:
    """Keeps the ledger while this replica leads, and replies to hosts.

    ``replica()`` returns the replica of the log or None. ``on_uses(host_id, uses,
    now)``, if set, is called once with each report, and ``room_share(account, now)``
    returns the share of an account's requests to admit for lack of capacity.
    """

    def __init__(
        self,
        *,
        process: str,
        machine,
        decode: ConfigurationDecoder,
        bounds: QuotaBounds,
        replica: Callable,
        sync_address_of: Callable[[str], str],
        events,
        clock: Callable[[], float] = boot_time,
    ):
        self.process = process
        self.machine = machine
        self.decode = decode
        self.bounds = bounds
        self.replica = replica
        self.sync_address_of = sync_address_of
        self.events = events
        self.clock = clock
        self.on_uses = None
        self.room_share = _admit_all
        self.ledger = None  # QuotaLedger, while this replica leads
        self.ledger_term = 0
        self.document = None  # the one whose accounts are in the ledger
        self.priorities = {}  # account -> its priority, of those that have one
        self.confirmed_term = 0
        self.confirmed_at = -math.inf  # start of the last confirmation
        self.confirming = None  # the confirmation in progress, a task

    # ---- Queries ------------------------------------------------------------------

    @property
    def leads(self) -> bool:
        """Whether this replica believes that it is the leader."""
        replica = self.replica()
        return replica is not None and replica.is_leader

    def leader(self) -> str:
        """Returns the sync address of the leader, empty while none is known."""
        replica = self.replica()
        address = "" if replica is None else replica.leader_address
        return self.sync_address_of(address) if address else ""

    @property
    def _is_confirmed(self):
        if not self.leads or self.replica().term != self.confirmed_term:
            return False
        return self.clock() - self.confirmed_at < CONFIRMATION_LIFE_S

    # ---- Running ------------------------------------------------------------------

    async def run(self):
        """Begins a ledger when this replica becomes the leader, and sweeps it.

        An account that is added later is then known to be new.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self.leads:
                self.ledger = None
            elif self.ledger is None or self.ledger_term != self.replica().term:
                if await self._confirm():
                    self._update_ledger()
            else:
                self._update_ledger()
                self.ledger.sweep(self.clock())
                self._log_changes()

    async def reply(self, request: AccountsRequest) -> AccountsReply:
        """Returns grants, or the leader if this replica does not lead."""
        if not await self._confirm():
            leader = "" if self.leads else self.leader()
            return AccountsReply(number=request.number, leader=leader)
        # From here on nothing is awaited, so that the confirmation is still valid.
        self._update_ledger()
        now = self.clock()
        grants = self.ledger.report(request, now)
        return AccountsReply(
            number=request.number,
            ledger=self.ledger.ledger_id,
            grants=self._with_room_shares(request, grants, now),
        )

    # ---- Leadership ---------------------------------------------------------------

    async def _confirm(self) -> bool:
        """Returns whether a majority has confirmed the leadership just now."""
        if self._is_confirmed:
            return True
        if not self.leads:
            return False
        if self.confirming is None:
            self.confirming = asyncio.create_task(self._confirm_once())
        await asyncio.shield(self.confirming)
        return self._is_confirmed

    async def _confirm_once(self):
        replica, term, began_at = self.replica(), self.replica().term, self.clock()
        try:
            async with asyncio.timeout(REPLY_LIMIT_S):
                await replica.confirm_leadership()
        except (TimeoutError, NotLeaderError, OutcomeUnknownError):
            return
        finally:
            self.confirming = None
        self.confirmed_term, self.confirmed_at = term, began_at

    # ---- Ledger -------------------------------------------------------------------

    def _update_ledger(self):
        """Begins a ledger for a new term, and puts a changed configuration in force.

        The first confirmation of a term has applied all that was committed before.
        """
        term = self.confirmed_term
        if self.ledger is None or self.ledger_term != term:
            self.ledger = QuotaLedger(
                ledger_id=f"{term}-{self.process}",
                bounds=self.bounds,
                now=self.clock(),
                on_uses=self._pass_uses,
            )
            self.ledger_term, self.document = term, None
            self.events.log_event("quota_ledger_begun", ledger=self.ledger.ledger_id)
        document = self.machine.newest
        if document is not self.document:
            self.document = document
            self._set_accounts(document)

    def _set_accounts(self, document):
        accounts = ()
        if document.document:
            try:
                accounts = self.decode(document.document).accounts
            except InvalidConfigurationError as error:
                # Stored by another release; hosts cannot read it either.
                self.events.log_event(
                    "accounts_unreadable",
                    version=document.version,
                    problems=len(error.problems),
                )
                return
        named = {account.name: account for account in accounts}
        self.priorities = {
            account.name: account.priority
            for account in accounts
            if account.priority is not None
        }
        self.ledger.set_accounts(named, self.clock())

    def _pass_uses(self, host_id: str, uses: tuple[AccountUse, ...], now: float):
        if self.on_uses is not None:
            self.on_uses(host_id, uses, now)

    def _with_room_shares(self, request, grants, now):
        """Adds the shares of accounts that do not have all the capacity they ask for.

        An account without a quota has a grant only if its share is below 1.
        """
        known = {grant.account: grant for grant in grants}
        for use in request.uses:
            share = self.room_share(use.account, now)
            if share < 1.0:
                grant = known.get(use.account, AccountGrant(account=use.account))
                known[use.account] = msgspec.structs.replace(grant, room_share=share)
        return tuple(known.values())

    def _log_changes(self):
        changes = self.ledger.take_changes()
        for change in changes[:MAX_LOGGED_CHANGES]:
            event = "quota_exhausted" if change.exhausted else "quota_available"
            self.events.log_event(event, account=change.account)
        if len(changes) > MAX_LOGGED_CHANGES:
            unlogged = len(changes) - MAX_LOGGED_CHANGES
            self.events.log_event("quota_changes_unlogged", count=unlogged)
