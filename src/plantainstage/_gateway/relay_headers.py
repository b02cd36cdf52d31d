"""Headers between two entry hosts, one of which passes a request on to the other.

The listener for other hosts alone reads them; they are never sent to searchers.
"""

from dataclasses import dataclass

from plantainstage._serving.decimals import parse_count

RELAYED_BY = "X-Relayed-By"
RELAYED_VERSION = "X-Relayed-Version"
# The host that passes the request on has counted it for the retry budgets.
RELAYED_COUNTED = "X-Relayed-Counted"
RELAYED_ROUTE = "X-Relayed-Route"
# The name of the client account, empty if the key was checked and identifies none.
# Without it, as from a release before accounts, the helper checks the key itself.
RELAYED_ACCOUNT = "X-Relayed-Account"
# Of a 503: why the helper does not take the request; another one may.
RELAY_REFUSED = "X-Relay-Refused"
# Of an answer whose status promises that the request has not run: the helper itself has
# made sure of it. A helper of an earlier release forwards such a status of a searcher.
RELAY_NOT_RUN = "X-Relay-Not-Run"
OLDER_CONFIGURATION = "older_configuration"
NEWER_CONFIGURATION = "newer_configuration"
NO_ROUTE = "no_route"
OUT_OF_REACH = "out_of_reach"
RELAY_HEADERS = frozenset(
    {RELAYED_BY, RELAYED_VERSION, RELAYED_COUNTED, RELAYED_ROUTE, RELAYED_ACCOUNT}
)


@dataclass(frozen=True, kw_only=True)
class RelayOrigin:
    """The host that passed a request on, with its version and a digest of the route.

    A helper with another version takes the request only if its route is the same.
    ``account`` is None if that host has not checked a key.
    """

    host_id: str
    version: int
    route: str
    counted: bool
    account: str | None = None

    @classmethod
    def of(cls, headers):
        """Reads the origin from the headers of a request; None if it is malformed."""
        host_id = headers.get(RELAYED_BY, "")
        version = parse_count(headers.get(RELAYED_VERSION, ""))
        if not host_id or version is None:
            return None
        counted = headers.get(RELAYED_COUNTED, "") == "1"
        route = headers.get(RELAYED_ROUTE, "")
        return cls(
            host_id=host_id,
            version=version,
            route=route,
            counted=counted,
            account=headers.get(RELAYED_ACCOUNT),
        )

    def lines(self) -> str:
        """Returns the header lines of a request that is passed on."""
        account = ""
        if self.account is not None:
            account = f"{RELAYED_ACCOUNT}: {self.account}\r\n"
        return (
            f"{RELAYED_BY}: {self.host_id}\r\n"
            f"{RELAYED_VERSION}: {self.version}\r\n"
            f"{RELAYED_ROUTE}: {self.route}\r\n"
            f"{RELAYED_COUNTED}: {int(self.counted)}\r\n"
            f"{account}"
        )
