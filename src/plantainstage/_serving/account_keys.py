"""Finds the client account of a request by the key in its Authorization header.

The table maps digests of keys to accounts, so that a lookup costs the same for any
number of accounts and compares no keys.
"""

import hashlib
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# The scheme is case-insensitive, and one or more spaces follow it (RFC 9110, 11.4).
_CREDENTIALS = re.compile("bearer +([!-~]+)", re.IGNORECASE)
_VISIBLE = re.compile("[!-~]+")
_VISIBLE_WITH_SPACES = re.compile("[!-~]+( +[!-~]+)*")
DIGEST_DIGITS = 12


def key_digest(key: str) -> str:
    """Returns what identifies a key in logs, errors and outputs of commands.

    For example, ``key_digest("k1")`` is ``"6ab9f1eb8f7d"``. Lookups use the whole hash:
    a second key with the same 12 digits can be found by trying.
    """
    return _hash(key).hex()[:DIGEST_DIGITS]


def is_header_token(text: str) -> bool:
    """Whether a text consists of visible ASCII characters, at least one."""
    return _VISIBLE.fullmatch(text) is not None


def is_header_text(text: str) -> bool:
    """Whether a header carries a text unchanged: visible ASCII with spaces inside."""
    return _VISIBLE_WITH_SPACES.fullmatch(text) is not None


def _hash(key):
    # Only keys of documents may have characters that UTF-8 cannot encode.
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()


@dataclass(frozen=True, kw_only=True)
class KnownKey:
    """The key of an account; ``account`` is a ClientAccount."""

    account: object
    digest: str


@dataclass(frozen=True, kw_only=True)
class UnknownKey:
    """A well-formed key that no account has."""

    digest: str


@dataclass(frozen=True, kw_only=True)
class MissingKey:
    """A request without an Authorization header."""


@dataclass(frozen=True, kw_only=True)
class MalformedKey:
    """Two Authorization headers, another scheme, or characters that no key has."""


KeyCheck = KnownKey | UnknownKey | MissingKey | MalformedKey

_MISSING = MissingKey()
_MALFORMED = MalformedKey()


class AccountKeys:
    """The keys of all accounts of one configuration.

    For example, with an account that has the key ``k1``::

        match keys.check(["Bearer k1"]):
            case KnownKey(account=account):
                print(account.name)
    """

    def __init__(self, *, accounts: Iterable):
        self._accounts = {
            _hash(key): account for account in accounts for key in account.keys
        }

    def check(self, credentials: Sequence[str]) -> KeyCheck:
        """Returns what the values of the Authorization headers of a request say."""
        if not credentials:
            return _MISSING
        if len(credentials) > 1:
            return _MALFORMED
        matched = _CREDENTIALS.fullmatch(credentials[0])
        if matched is None:
            return _MALFORMED
        hashed = _hash(matched[1])
        digest = hashed.hex()[:DIGEST_DIGITS]
        account = self._accounts.get(hashed)
        if account is None:
            return UnknownKey(digest=digest)
        return KnownKey(account=account, digest=digest)
