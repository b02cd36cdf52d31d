"""Checks the client accounts of a configuration.

All checks take linear time in the number of accounts and keys. No problem contains a
key: a key is identified by its digest.
"""

from collections import Counter
from collections.abc import Iterator, Sequence

from plantainstage._errors import ConfigurationProblem
from plantainstage._serving.account_keys import (
    is_header_text,
    is_header_token,
    key_digest,
)

MAX_NAME_SHOWN = 80  # characters of a name in a problem


def account_problems(accounts: Sequence) -> Iterator[ConfigurationProblem]:
    """Yields the problems of names and keys, for example a key of two accounts."""
    names = Counter(account.name for account in accounts)
    for name, count in names.items():
        if count > 1 and is_header_text(name):
            yield _problem(f"account {_shown(name)}", "is defined twice")
    owners = {}  # key -> place of the first account that has it
    for index, account in enumerate(accounts):
        place = place_of(index, account)
        yield from _name_problems(place, account.name)
        yield from _key_problems(place, account.keys, owners)


def place_of(index: int, account) -> str:
    """Returns the place of problems of an account: its name, or else its position."""
    if is_header_text(account.name):
        return f"account {_shown(account.name)}"
    return f"accounts[{index}]"


def _name_problems(place, name):
    if not name:
        yield _problem(place, "has no name")
    elif not is_header_text(name):
        yield _problem(place, "the name must be valid in a header (visible ASCII)")


def _key_problems(place, keys, owners):
    own = set()
    for key in keys:
        if not key:
            yield _problem(place, "has an empty key")
        elif not is_header_token(key):
            detail = f"the key {key_digest(key)} must be visible ASCII without spaces"
            yield _problem(place, detail)
        elif key in own:
            yield _problem(place, f"the key {key_digest(key)} is listed twice")
        elif key in owners:
            detail = f"the key {key_digest(key)} is also a key of {owners[key]}"
            yield _problem(place, detail)
        own.add(key)
        owners.setdefault(key, place)


def _shown(name):
    return name if len(name) <= MAX_NAME_SHOWN else name[:MAX_NAME_SHOWN] + "..."


def _problem(place, detail):
    return ConfigurationProblem(place=place, detail=detail)
