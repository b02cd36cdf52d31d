"""Says in one plain line why a request was refused, from its ``request`` event line."""

_ACCOUNTS_COMMAND = "plantainstage-ctl accounts"


def refusal_text(line: dict) -> str | None:
    """Returns why the request of a ``request`` line was refused, or None.

    Only refusals that concern client accounts have a text; the other outcomes are
    explained in docs/OPERATIONS.md. For example::

        refusal_text({"outcome": "over_quota", "account": "acme"})
    """
    match line.get("outcome"):
        case "key_missing":
            return "it carried no key, and its route needs one"
        case "key_malformed":
            return "it carried no key that can be read, and its route needs one"
        case "key_unknown":
            return _unknown_key(line)
        case "over_quota":
            return _over_quota(line)
        case "account_over_share":
            return _over_share(line)
        case "no_room_in_time" if line.get("account"):
            return (
                f"no searcher was expected to have room for {_account(line)} within "
                f"the time limit of the request; `{_ACCOUNTS_COMMAND}` tells who uses "
                "the capacity"
            )
    return None


def _unknown_key(line):
    digest = line.get("key")
    return (
        f"its key with the digest {digest} belongs to no account{_of_version(line)}: "
        f"it is unknown or was withdrawn; `{_ACCOUNTS_COMMAND}` lists those in force"
    )


def _over_quota(line):
    return (
        f"{_account(line)} had used up its quota over all hosts; "
        f"`{_show_account(line)}` shows the quota and what it asks for"
    )


def _over_share(line):
    return (
        f"upstreams could not serve all requests, and {_account(line)} was over its "
        f"share of the capacity; `{_show_account(line)}` shows the share"
    )


def _account(line):
    name = line.get("account")
    return f"account {name}" if name else "its account"


def _show_account(line):
    name = line.get("account")
    return f"{_ACCOUNTS_COMMAND} --account {name}" if name else _ACCOUNTS_COMMAND


def _of_version(line):
    version = line.get("version")
    return "" if version is None else f" of version {version}"
