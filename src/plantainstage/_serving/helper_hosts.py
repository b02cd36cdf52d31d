"""Which entry hosts help one that is cut off from the searchers.

A host keeps a few addresses, in its own data centre if possible, and not a list of all
hosts. The hosts that are cut off spread over those that are not.
"""

from collections.abc import Collection, Iterable
from functools import partial

import xxhash

from plantainstage._serving.spreading import spread_weight

HELPERS = 3  # addresses that a host keeps
# A helper that refused or failed is asked again after this time.
AVOID_S = 1.0


def choose_helpers(
    host_id: str, near: Iterable[str], far: Iterable[str]
) -> tuple[str, ...]:
    """Returns the addresses for a host: near ones first, each host its own few."""

    def spread(addresses):
        return sorted(set(addresses), key=partial(spread_weight, host_id))

    chosen = spread(near)[:HELPERS]
    chosen += [address for address in spread(far) if address not in chosen]
    return tuple(chosen[:HELPERS])


def helpers_digest(addresses: Collection[str]) -> int:
    """Returns a hash of addresses, 0 for none."""
    return xxhash.xxh32_intdigest(" ".join(addresses).encode()) if addresses else 0


class HelperHosts:
    """The helpers of one host, with its requests at each of them.

    The one with the fewest requests of this host is chosen, in the order in which
    control lists them, so that a host whose helpers all work does not swing.
    """

    def __init__(self):
        self.addresses = ()
        self.in_progress = {}  # address -> requests
        self.avoided_until = {}

    def update(self, addresses: tuple[str, ...]):
        """Replaces the addresses; requests in progress go on."""
        self.addresses = addresses

    def choose(self, *, tried: Collection[str], now: float) -> str | None:
        """Returns the helper for the next request, or None."""
        usable = [
            address
            for address in self.addresses
            if address not in tried and now >= self.avoided_until.get(address, now)
        ]
        return min(usable, key=lambda a: self.in_progress.get(a, 0), default=None)

    def started(self, address: str):
        """Counts a request at a helper."""
        self.in_progress[address] = self.in_progress.get(address, 0) + 1

    def ended(self, address: str):
        """Counts the end of a request at a helper."""
        self.in_progress[address] -= 1
        if not self.in_progress[address]:
            del self.in_progress[address]

    def avoid(self, address: str, now: float):
        """Prefers the other helpers for a while."""
        self.avoided_until = {
            known: until for known, until in self.avoided_until.items() if until > now
        }
        self.avoided_until[address] = now + AVOID_S
