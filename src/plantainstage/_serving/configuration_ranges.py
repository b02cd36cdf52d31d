"""Checks the numbers in a configuration before it is stored.

Entry hosts take any document that control has stored, so that a bound which is added
here later cannot take an accepted configuration out of force.
"""

from plantainstage._errors import ConfigurationProblem, InvalidConfigurationError
from plantainstage._serving import number_ranges as ranges
from plantainstage._serving.account_checks import place_of
from plantainstage._serving.account_keys import key_digest
from plantainstage._serving.configuration import (
    MAX_PROBLEMS,
    AllOf,
    OneOf,
    ServingConfiguration,
)

# Twice the accounts of the size to design for, and ten keys for each of these.
MAX_ACCOUNTS = 20_000
MAX_KEYS = 100_000  # of all accounts together
# Heads of requests and of calls to searchers have to hold them.
MAX_KEY_CHARACTERS = 512
MAX_NAME_CHARACTERS = 512


def check_number_ranges(configuration: ServingConfiguration):
    """Raises InvalidConfigurationError if a number or size is out of its range."""
    problems = (*_problems(configuration), *_account_problems(configuration.accounts))
    if problems:
        raise InvalidConfigurationError(problems=problems[:MAX_PROBLEMS])


def _problems(configuration):
    for place, name, value, allowed in _numbers(configuration):
        if not allowed.contains(value):
            yield ConfigurationProblem(place=place, detail=f"{name} must be {allowed}")


def _numbers(configuration):
    """Yields (place, name, value, range) of each number."""
    yield "document", "version", configuration.version, ranges.VERSION
    for route in configuration.routes:
        place = f"route {route.name}"
        yield place, "the timeout", route.timeout_ms, ranges.DURATION_MS
        yield place, "the target latency", route.aim_ms, ranges.DURATION_MS
        yield place, "attempts", route.attempts, ranges.COUNT
        yield place, "the priority", route.priority, ranges.SIGNED
        yield from _target_numbers(place, route.target)
    for service in configuration.services:
        place = f"service {service.name}"
        yield place, "connections", service.connections, ranges.SIGNED
        yield place, "the warm-up time", service.warm_up_s, ranges.WARM_UP_S
        yield place, "the warm-up rate", service.warm_up_rate_per_s, ranges.RATE
    for index, account in enumerate(configuration.accounts):
        place = place_of(index, account)
        yield place, "the rate", account.rate_per_s, ranges.RATE
        yield place, "the burst", account.burst, ranges.RATE
        if account.priority is not None:
            yield place, "the priority", account.priority, ranges.SIGNED
    limits = configuration.limits
    yield "limits", "the head limit", limits.head_bytes, ranges.SIGNED
    yield "limits", "the body limit", limits.body_bytes, ranges.SIGNED
    yield "limits", "the head timeout", limits.head_timeout_ms, ranges.SIGNED
    yield "limits", "the idle timeout", limits.idle_timeout_ms, ranges.SIGNED


def _target_numbers(place, target):
    match target:
        case OneOf(shares=shares):
            for share in shares:
                yield place, "a weight", share.weight, ranges.WEIGHT
        case AllOf(top_records=top_records, minimum_coverage=coverage):
            yield place, "the number of records", top_records, ranges.SIGNED
            yield place, "the coverage", coverage, ranges.WEIGHT


def _account_problems(accounts):
    """Yields the problems of the sizes of accounts."""
    if len(accounts) > MAX_ACCOUNTS:
        yield _problem("accounts", f"there must be at most {MAX_ACCOUNTS}")
    if sum(len(account.keys) for account in accounts) > MAX_KEYS:
        yield _problem("accounts", f"there must be at most {MAX_KEYS} keys in all")
    for index, account in enumerate(accounts):
        place = place_of(index, account)
        if account.burst and not account.rate_per_s:
            yield _problem(place, "a burst needs a rate")
        if len(account.name) > MAX_NAME_CHARACTERS:
            detail = f"the name must have at most {MAX_NAME_CHARACTERS} characters"
            yield _problem(place, detail)
        for key in account.keys:
            if len(key) > MAX_KEY_CHARACTERS:
                allowed = f"at most {MAX_KEY_CHARACTERS} characters"
                yield _problem(place, f"the key {key_digest(key)} must have {allowed}")


def _problem(place, detail):
    return ConfigurationProblem(place=place, detail=detail)
