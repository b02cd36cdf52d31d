"""Validation of profiles, for the operator's command and the state machine."""

import re
from dataclasses import dataclass

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
# The upper bound limits takeovers of searchers, which wait for the longest deadline.
DEADLINE_RANGE_MS = (1, 60_000)
LATE_FRACTION_RANGE = (0.0, 1.0)
COVERAGE_RANGE = (0.0, 1.0)
EXTRA_LOAD_RANGE = (0.0, 1.0)
WEIGHT_RANGE = (1, 1000)
_NAME_TEXT = "1 to 63 of [A-Za-z0-9_.-], the first a letter or a digit"


@dataclass(frozen=True, kw_only=True)
class ProfileFault:
    """A field of a profile whose value is invalid, for example ``deadline_ms``."""

    name: str
    value: str
    expected: str

    def describe(self):
        """Returns the fault as one phrase."""
        return f"{self.name} is {self.value!r}, expected {self.expected}"


def profile_faults(profile):
    """Returns a ProfileFault for each invalid field, to report all of them at once."""
    faults = [
        ProfileFault(name=name, value=value, expected=_NAME_TEXT)
        for name, value in (("name", profile.name), ("index", profile.index))
        if not NAME_PATTERN.fullmatch(value)
    ]
    ranges = (
        ("deadline_ms", profile.deadline_ms, DEADLINE_RANGE_MS, "milliseconds"),
        ("late_fraction", profile.late_fraction, LATE_FRACTION_RANGE, "of requests"),
        (
            "minimum_coverage",
            profile.minimum_coverage,
            COVERAGE_RANGE,
            "of documents",
        ),
        (
            "extra_load_limit",
            profile.extra_load_limit,
            EXTRA_LOAD_RANGE,
            "of first sub-requests",
        ),
        ("weight", profile.weight, WEIGHT_RANGE, "(share under overload)"),
    )
    for name, value, (low, high), unit in ranges:
        if not low <= value <= high:
            faults.append(
                ProfileFault(
                    name=name, value=str(value), expected=f"{low} to {high} {unit}"
                )
            )
    return faults
