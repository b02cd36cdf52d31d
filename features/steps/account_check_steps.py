"""Steps for the checks of client accounts, and for the lookup of keys."""

import json

from behave import given, then, when

from plantainstage._errors import InvalidConfigurationError
from plantainstage._registry.control_format import ControlFormat
from plantainstage._serving.account_checks import account_problems
from plantainstage._serving.account_keys import (
    AccountKeys,
    KnownKey,
    MalformedKey,
    MissingKey,
    UnknownKey,
    key_digest,
)
from plantainstage._serving.configuration import (
    ClientAccount,
    ServingConfiguration,
    decode_configuration,
)
from plantainstage._serving.configuration_ranges import check_number_ranges
from steps.platform_folder_steps import in_folder

KEY = "s3cr3t-key-of-account-a"
VISIBLE = "".join(map(chr, range(0x21, 0x7F)))


def many(accounts, keys):
    """Returns accounts whose keys are divided evenly; the last one has the rest."""
    each = keys // accounts
    names = [
        [f"key-{number}-{key}" for key in range(each)] for number in range(accounts)
    ]
    names[-1] += [f"more-{number}" for number in range(keys - each * accounts)]
    return [
        {"name": f"account-{number}", "keys": listed}
        for number, listed in enumerate(names)
    ]


def second(**changes):
    """Returns two accounts, the second of which is changed."""
    return [{"name": "a", "keys": [KEY]}, {"name": "b", **changes}]


def accounts_with(content):
    match content.split():
        case ["a", "key", "of", count, "characters"]:
            return second(keys=["k" * int(count)])
        case ["a", "name", "of", count, "characters"]:
            return [{"name": "a"}, {"name": "b" * int(count)}]
        case [count, "accounts"]:
            return many(int(count), 1)
        case [count, "keys"] if count.isdigit():
            return many(10, int(count))
    return CONTENTS[content]


CONTENTS = {
    "a key of two accounts": second(keys=["other", KEY]),
    "a key twice in one account": [{"name": "a", "keys": [KEY, "other", KEY]}],
    "an account without a name": [{"name": "a"}, {"name": ""}],
    "a name with a line break": [{"name": "a"}, {"name": "b\r\nX-Other: 1"}],
    "a name with a space at its end": [{"name": "a"}, {"name": "b "}],
    "a name beyond ASCII": [{"name": "a"}, {"name": "\u00e9"}],
    "two accounts of one name": [{"name": "a", "keys": [KEY]}, {"name": "a"}],
    "an empty key": second(keys=[""]),
    "a key with a space": second(keys=["secret key"]),
    "a key with a control character": second(keys=["secret\x01key"]),
    "a key beyond ASCII": second(keys=["secret-k\u00e9y"]),
    "a negative rate": second(rate_per_s=-1),
    "a rate of 1e308": second(rate_per_s=1e308),
    "a rate that is not a number": second(rate_per_s=float("nan")),
    "an infinite rate": second(rate_per_s=float("inf")),
    "a rate of 1e400": second(rate_per_s="NUMBER"),
    "a negative burst": second(rate_per_s=1, burst=-1),
    "a burst of 1e308": second(rate_per_s=1, burst=1e308),
    "a burst without a rate": second(burst=5),
    "a priority of 2 to the 31": second(priority=2**31),
    "keys that are numbers": second(keys=[5]),
    "no keys": second(keys=[]),
    "a key of all visible ASCII": second(keys=[VISIBLE]),
    "a name with a space inside": [{"name": "Acme Ltd"}],
    "a priority below 0": second(priority=-1),
    "a rate of 0 and a burst of 0": second(rate_per_s=0, burst=0),
}


def check(context, work):
    context.error = None
    try:
        work()
    except InvalidConfigurationError as error:
        context.error = str(error)


@when("client accounts with {content} are checked")
def step_check(context, content):
    accounts = accounts_with(content)
    context.keys = [str(key) for account in accounts for key in account.get("keys", ())]
    document = json.dumps({"version": 1, "accounts": accounts})
    document = document.replace('"NUMBER"', "1e400").encode()
    check(context, lambda: check_number_ranges(decode_configuration(document)))


@when("the ranges of an account whose rate {number} are checked")
def step_check_ranges(context, number):
    rate = float("nan" if number == "is not a number" else "inf")
    accounts = (ClientAccount(name="a", rate_per_s=rate),)
    context.keys = []
    configuration = ServingConfiguration(version=1, accounts=accounts)
    check(context, lambda: check_number_ranges(configuration))


@then('they are refused with "{text}" and without any key')
def step_refused(context, text):
    assert context.error is not None, "the accounts were accepted"
    before, _, after = text.partition("DIGEST")
    digests = [key_digest(key) for key in context.keys] if after else [""]
    expected = [before + digest + after for digest in digests]
    assert any(part in context.error for part in expected), context.error
    # Shorter keys may be parts of words of the text.
    shown = [key for key in context.keys if len(key) > 8 and key in context.error]
    assert not shown, context.error


@then("they are accepted")
def step_accepted(context):
    assert context.error is None, context.error


class CountedText(str):
    """A text that counts its comparisons with others of its kind."""

    comparisons = 0
    __hash__ = str.__hash__

    def __eq__(self, other):
        CountedText.comparisons += 1
        return str.__eq__(self, other)


@when("{accounts:d} accounts with {keys:d} keys are checked, with comparisons counted")
def step_check_counted(context, accounts, keys):
    counted = [
        ClientAccount(
            name=CountedText(account["name"]),
            keys=tuple(map(CountedText, account["keys"])),
        )
        for account in many(accounts, keys)
    ]
    CountedText.comparisons = 0
    assert not list(account_problems(counted))


@then("texts were compared at most {count:d} times")
def step_comparisons(context, count):
    assert CountedText.comparisons <= count, CountedText.comparisons


# ---- Documents ------------------------------------------------------------------------

DOCUMENTS = {
    "a document with an account": '{"version": 1, "FIELD": [{"name": "a"}]}',
    "a document with an empty list": '{"version": 1, "FIELD": [ ]}',
    "a document without the field": '{"version": 1, "routes": [{}]}',
    "a document that cannot be read": '{"version": 1, "FIELD": [',
    "a document with accounts as a number": '{"version": 1, "FIELD": 1}',
}


@then("{document}: it {has} accounts, in the product's format and in the platform's")
def step_has_accounts(context, document, has):
    content = DOCUMENTS[document].replace("FIELD", "accounts").encode()
    assert ControlFormat().has_accounts(content) == (has == "has"), content
    content = DOCUMENTS[document].replace("FIELD", "tenants").encode()
    code = f"""
from control_formats import CONTROL_FORMAT
print(CONTROL_FORMAT.has_accounts({content!r}))
"""
    assert in_folder(code) == str(has == "has"), content


# ---- Lookup ---------------------------------------------------------------------------


@given('the account "{name}" with the key "{key}"')
def step_account(context, name, key):
    context.account = ClientAccount(name=name, keys=(key,))
    context.account_keys = AccountKeys(accounts=(context.account,))


@then("Authorization {headers} is {result}")
def step_lookup(context, headers, result):
    found = context.account_keys.check(json.loads(headers))
    match found:
        case KnownKey(account=account, digest=digest):
            assert account is context.account, found
            assert digest == key_digest(account.keys[0]), found
            named = "known"
        case UnknownKey(digest=digest):
            assert len(digest) == 12, found
            named = "unknown"
        case MissingKey():
            named = "missing"
        case MalformedKey():
            named = "malformed"
    assert named == result, found


@then('an account with the key "{key}" is printed without it, also in a configuration')
def step_printed(context, key):
    account = ClientAccount(name="acme", keys=(key,))
    configuration = ServingConfiguration(version=1, accounts=(account,))
    for value in (account, configuration, KnownKey(account=account, digest="d")):
        for text in (repr(value), str(value), f"{value}"):
            assert "acme" in text and key not in text, text
