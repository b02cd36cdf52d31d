"""Which entry hosts get a configuration that has client accounts.

Hosts of releases before accounts would serve such a configuration without checking
keys. A host without a configuration would accept revoked keys if a replica that is cut
off from its group gave it an old one.
"""

from collections.abc import Callable

from plantainstage._messages.serving import SyncRequest
from plantainstage._registry.machine import ConfigurationMachine

# Hosts whose withheld configuration was logged; above the hosts of the largest tier.
MAX_LOGGED_HOSTS = 10_000


class Withholding:
    """Decides for each poll whether the newest document may be given to the host.

    ``has_accounts(document)`` reads a document, once for each that is committed.
    ``knows_leader()`` tells whether this replica is in contact with its group.
    """

    def __init__(
        self,
        *,
        machine: ConfigurationMachine,
        has_accounts: Callable[[bytes], bool],
        knows_leader: Callable[[], bool],
        events,
    ):
        self.machine = machine
        self.has_accounts = has_accounts
        self.knows_leader = knows_leader
        self.events = events
        self._examined = None  # PutConfiguration that was read last
        self._examined_has_accounts = False
        self._logged = set()  # ids of hosts, for the document examined

    def may_give(self, request: SyncRequest) -> bool:
        """Whether the host may have the newest document; logs it if it may never."""
        if not self._newest_has_accounts():
            return True
        if not request.knows_accounts:
            self._log(request.host_id)
            return False
        return request.version >= 0 or self.knows_leader()

    def _newest_has_accounts(self):
        newest = self.machine.newest
        if newest is not self._examined:
            self._examined = newest
            self._examined_has_accounts = self.has_accounts(newest.document)
            self._logged.clear()
        return self._examined_has_accounts

    def _log(self, host_id):
        if host_id in self._logged or len(self._logged) >= MAX_LOGGED_HOSTS:
            return
        self._logged.add(host_id)
        self.events.log_event(
            "configuration_withheld",
            entry_host=host_id,
            version=self.machine.newest.version,
        )
