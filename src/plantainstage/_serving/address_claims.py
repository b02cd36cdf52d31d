"""Which of the searchers that are announced at one address gets requests.

An address is used again by another searcher some time after the earlier one has ended,
whose announcements may still count. An announcement may also come from a process that
does not belong to this deployment and names the address of a searcher which runs.
"""

from collections.abc import Collection

from plantainstage._serving.searchers import Searcher


class AddressClaims:
    """The searchers announced as ready, by address.

    Of those at one address the one with the latest start counts, unless no
    configuration in force names its service: such an announcement says nothing of the
    others. Those that do not count are kept, since the one before them may turn out not
    to be there. For example::

        claims = AddressClaims()
        claims.set_services({"cards"})
        claims.put(card_searcher)  # at 10.0.0.1:80, started at 1000
        claims.put(other_searcher)  # the same address, of "unknown", started at 2000
        claims.holder("10.0.0.1:80")  # card_searcher
    """

    def __init__(self):
        self.services = frozenset()  # names in the configuration in force
        self.by_address = {}  # address -> searcher id -> Searcher
        self.addresses = {}  # searcher id -> address

    def put(self, searcher: Searcher):
        """Adds a searcher, or replaces what it announced before."""
        if self.addresses.get(searcher.searcher_id) != searcher.address:
            self.remove(searcher.searcher_id)
        self.addresses[searcher.searcher_id] = searcher.address
        claimants = self.by_address.setdefault(searcher.address, {})
        claimants[searcher.searcher_id] = searcher

    def remove(self, searcher_id: str) -> str | None:
        """Removes a searcher; returns its address, or None if it is not known."""
        address = self.addresses.pop(searcher_id, None)
        if address is None:
            return None
        claimants = self.by_address[address]
        del claimants[searcher_id]
        if not claimants:
            del self.by_address[address]
        return address

    def set_services(self, services: Collection[str]) -> tuple[str, ...]:
        """Sets the services that exist; returns addresses with several searchers."""
        self.services = frozenset(services)
        return tuple(
            address
            for address, claimants in self.by_address.items()
            if len(claimants) > 1
        )

    def at(self, address: str) -> tuple[Searcher, ...]:
        """Returns all searchers at an address."""
        return tuple(self.by_address.get(address, {}).values())

    def holder(self, address: str) -> Searcher | None:
        """Returns the searcher at an address that gets requests."""
        holder = None
        for searcher in self.at(address):
            # The last one announced of those with one start.
            if holder is None or self._rank(searcher) >= self._rank(holder):
                holder = searcher
        return holder

    def _rank(self, searcher):
        return (searcher.service in self.services, searcher.started_at_ms)
