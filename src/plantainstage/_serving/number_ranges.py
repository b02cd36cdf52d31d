"""Ranges of the kinds of numbers that programs outside this package send.

A value that one boundary accepts has to fit into each message and file that carries it
further, and into the arithmetic of the entry hosts.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class NumberRange:
    """The least and the greatest value of one kind of number."""

    least: float
    greatest: float

    def contains(self, value: float) -> bool:
        """Whether a number is in the range; NaN is in none."""
        return self.least <= value <= self.greatest

    def __str__(self):
        return f"from {self.least} to {self.greatest}"


# Fits into 64 bits with a sign; a sequence may be a time in nanoseconds.
COUNTER = NumberRange(least=0, greatest=2**63 - 1)
# The messages between hosts and replicas carry no greater number.
VERSION = NumberRange(least=0, greatest=2**64 - 1)
COUNT = NumberRange(least=0, greatest=2**31 - 1)
SLOTS = NumberRange(least=1, greatest=2**31 - 1)
SIGNED = NumberRange(least=-(2**31), greatest=2**31 - 1)
DURATION_MS = NumberRange(least=0, greatest=2**31 - 1)
# A day; a searcher that warms up for longer cannot be told from a slow one.
WARM_UP_S = NumberRange(least=0, greatest=86_400)
# The sum over a route stays finite.
WEIGHT = NumberRange(least=0, greatest=1e100)
# Requests a second, and requests of a burst: far above what all hosts serve together.
RATE = NumberRange(least=0, greatest=1e9)
