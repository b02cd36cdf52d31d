"""Whether a request may run, by the key of the client account that it carries."""

from dataclasses import dataclass

from plantainstage._serving.account_keys import (
    KnownKey,
    MalformedKey,
    MissingKey,
    UnknownKey,
)
from plantainstage._serving.configuration import Route
from plantainstage._serving.routes import RouteTable

AUTHORIZATION = "Authorization"


@dataclass(frozen=True, kw_only=True)
class Caller:
    """Who sent a request that may run.

    ``account`` is the name of the client account, empty if the key was checked and
    identifies none, and None if no key was checked as there are no accounts.
    ``priority`` is that of the account, None if the priority of the route applies.
    """

    account: str | None = None
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class RefusedKey:
    """A request that must not run; ``digest`` identifies a key that is unknown."""

    reason: str
    digest: str = ""


UNCHECKED = Caller()
UNIDENTIFIED = Caller(account="")


def check_key(table: RouteTable, route: Route, headers) -> Caller | RefusedKey:
    """Checks the key in the headers of a request that came from its caller."""
    if not table.accounts:
        return UNCHECKED
    checked = table.keys.check(headers.get_list(AUTHORIZATION))
    match checked:
        case KnownKey(account=account):
            return Caller(account=account.name, priority=account.priority)
        case _ if route.anonymous:
            return UNIDENTIFIED
        case UnknownKey(digest=digest):
            return RefusedKey(reason="key_unknown", digest=digest)
        case MissingKey():
            return RefusedKey(reason="key_missing")
        case MalformedKey():
            return RefusedKey(reason="key_malformed")


def relayed_caller(table: RouteTable, account: str) -> Caller:
    """Returns the caller whose key another host has checked.

    That host may have another version of the configuration, so that the account need
    not be known here.
    """
    known = table.accounts.get(account)
    return Caller(account=account, priority=None if known is None else known.priority)
