"""Decimal numbers in headers of searchers and callers."""

import re
from dataclasses import dataclass

# Fewer digits than the limit above which int() raises ValueError.
_COUNT = re.compile(r"[0-9]{1,20}")
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")


def parse_count(text: str) -> int | None:
    """Returns a whole number of up to 20 digits; None for any other text."""
    text = text.strip()
    return int(text) if _COUNT.fullmatch(text) else None


@dataclass(frozen=True, kw_only=True)
class StatedNumber:
    """What a header states, as text and as a number.

    ``value`` is None if the text is not a decimal number without sign and exponent; a
    header that was sent twice is none.
    """

    text: str
    value: float | None

    @classmethod
    def parse(cls, text: str):
        """Parses a header value."""
        text = text.strip()
        valid = _DECIMAL.fullmatch(text) is not None
        return cls(text=text, value=float(text) if valid else None)
