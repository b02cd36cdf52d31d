"""Reads a profile from flags and a JSON file and reports all errors at once."""

import msgspec

from plantainstage._membership.profiles import (
    COVERAGE_RANGE,
    DEADLINE_RANGE_MS,
    EXTRA_LOAD_RANGE,
    LATE_FRACTION_RANGE,
    WEIGHT_RANGE,
)
from plantainstage._messages.configuration import Profile
from plantainstage._settings.base import SettingsCheck

FIELDS = Profile.__struct_fields__
DEFAULTS = {
    "late_fraction": 0.01,
    "minimum_coverage": 1.0,
    "extra_load_limit": 0.05,
    "weight": 1,
}


def read_profile(*, name, flags, data):
    """Returns a Profile; a flag takes precedence over the file.

    ``flags`` maps field names to texts or None, ``data`` is the content of a
    JSON file or None. Raises SettingsError.
    """
    check = SettingsCheck()
    values = dict(DEFAULTS)
    if data is not None:
        values.update(_read_file(check, data))
    values.update({key: value for key, value in flags.items() if value is not None})
    if name:
        values["name"] = name
    for field in ("name", "index"):
        check.name(flag=_flag(field), value=str(values.get(field, "")))
    numbers = {
        "deadline_ms": _integer(check, values, "deadline_ms", DEADLINE_RANGE_MS, "ms"),
        "late_fraction": _number(
            check, values, "late_fraction", LATE_FRACTION_RANGE, "of requests"
        ),
        "minimum_coverage": _number(
            check, values, "minimum_coverage", COVERAGE_RANGE, "of documents"
        ),
        "extra_load_limit": _number(
            check, values, "extra_load_limit", EXTRA_LOAD_RANGE, "of sub-requests"
        ),
        "weight": _integer(check, values, "weight", WEIGHT_RANGE, ""),
    }
    check.raise_errors()
    return Profile(name=values["name"], index=values["index"], **numbers)


def _flag(field):
    return "NAME" if field == "name" else "--" + field.replace("_", "-")


def _read_file(check, data):
    """Returns the fields in a JSON object, with errors for unknown ones."""
    try:
        values = msgspec.json.decode(data, type=dict[str, str | int | float])
    except msgspec.MsgspecError as error:
        check.require(
            flag="--file",
            value=str(error),
            condition=False,
            expected=f"a JSON object with fields of {', '.join(FIELDS)}",
            remedy="Correct the file; plantainstage-ctl profile show prints one.",
        )
        return {}
    for field in values:
        check.require(
            flag="--file",
            value=field,
            condition=field in FIELDS,
            expected=f"a field of {', '.join(FIELDS)}",
            remedy="Remove or rename the field.",
        )
    return {key: value for key, value in values.items() if key in FIELDS}


def _integer(check, values, field, limits, unit):
    low, high = limits
    value = values.get(field, "")
    # As text, since int(2.5) would silently drop the fraction.
    text = str(value)
    return check.integer(flag=_flag(field), value=text, low=low, high=high, unit=unit)


def _number(check, values, field, limits, unit):
    low, high = limits
    value = values.get(field, "")
    return check.number(flag=_flag(field), value=value, low=low, high=high, unit=unit)
