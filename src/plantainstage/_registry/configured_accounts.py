"""The rows of client accounts as far as the configuration alone gives them."""

from plantainstage._messages.account_rows import AccountRow
from plantainstage._registry.control_format import ConfigurationDecoder
from plantainstage._registry.machine import ConfigurationMachine
from plantainstage._serving.account_keys import key_digest
from plantainstage._serving.configuration import ClientAccount


def configured_row(account: ClientAccount) -> AccountRow:
    """Returns the row of an account that no host has reported on.

    A service that has reports replaces the other fields::

        msgspec.structs.replace(configured_row(account), asked_per_s=2.5, hosts=3)
    """
    return AccountRow(
        name=account.name,
        rate_per_s=account.rate_per_s,
        burst=account.burst,
        keys=tuple(map(key_digest, account.keys)),
    )


class ConfiguredAccounts:
    """An AccountRowSource without reports of hosts.

    A version is decoded once, since 10,000 accounts take the event loop a while.
    """

    def __init__(self, *, machine: ConfigurationMachine, decode: ConfigurationDecoder):
        self.machine = machine
        self.decode = decode
        self.version = -1
        self.rows = ()

    def account_rows(self) -> tuple[AccountRow, ...]:
        """Returns the rows of the newest committed configuration."""
        newest = self.machine.newest
        if newest.version != self.version:
            accounts = self.decode(newest.document).accounts
            self.rows = tuple(map(configured_row, accounts))
            self.version = newest.version
        return self.rows
