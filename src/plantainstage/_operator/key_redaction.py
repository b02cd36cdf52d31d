"""Removes the keys of client accounts from a configuration that is shown."""

import msgspec

from plantainstage._serving.account_keys import key_digest
from plantainstage._serving.configuration import has_accounts

HIDDEN = "accounts cannot be read and are not shown"


def without_keys(document: bytes) -> bytes:
    """Returns a document whose keys are replaced by ``{"digest": ...}``.

    It is no valid configuration, so that it cannot be sent by mistake, which would
    replace all keys. A document without accounts is returned as it is.
    """
    if not has_accounts(document):
        return document
    try:
        content = msgspec.json.decode(document)
        content["accounts"] = [_redacted(account) for account in content["accounts"]]
    except (msgspec.MsgspecError, TypeError, KeyError):
        return msgspec.json.encode({"error": HIDDEN})
    return msgspec.json.encode(content)


def _redacted(account):
    digests = [{"digest": key_digest(key)} for key in account.get("keys", ())]
    return {**account, "keys": digests}
